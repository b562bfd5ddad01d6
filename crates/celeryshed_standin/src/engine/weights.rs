//! Weights, which are put chunk by chunk and verified against their manifest.

use std::collections::{BTreeMap, BTreeSet};

use celeryshed_base::ContentDigest;
use celeryshed_wire::{EngineCommandFailure, MANIFEST_CHUNK_INDEX, WeightManifest};

/// Versions that are being put and versions that are loaded.
#[derive(Debug, Default)]
pub(super) struct EngineWeights {
    pending: BTreeMap<ContentDigest, PendingVersion>,
    loaded: BTreeSet<ContentDigest>,
}

/// Version that is being put. Only the digest and the size in bytes of each chunk are stored.
#[derive(Debug, Default)]
struct PendingVersion {
    manifest: Option<WeightManifest>,
    chunks: BTreeMap<u32, (ContentDigest, u64)>,
}

impl EngineWeights {
    /// Stores a chunk or the manifest. `version` is the digest of the manifest, so a manifest with
    /// another digest is rejected.
    pub(super) fn put(
        &mut self,
        version: ContentDigest,
        index: u32,
        content: &[u8],
    ) -> Result<(), String> {
        let digest = ContentDigest::of(content);
        if index != MANIFEST_CHUNK_INDEX {
            let pending = self.pending.entry(version).or_default();
            pending.chunks.insert(index, (digest, content.len() as u64));
            return Ok(());
        }
        if digest != version {
            return Err(format!("manifest has digest {digest}, not {version}"));
        }
        let manifest = celeryshed_wire::decode(content).map_err(|error| error.to_string())?;
        self.pending.entry(version).or_default().manifest = Some(manifest);
        Ok(())
    }

    /// Whether new streams can use the version.
    pub(super) fn is_loaded(&self, version: &ContentDigest) -> bool {
        self.loaded.contains(version)
    }

    /// Checks that a version can be loaded. A version that is already loaded needs no chunks.
    pub(super) fn verify(
        &self,
        version: &ContentDigest,
        chunks: u32,
    ) -> Result<(), EngineCommandFailure> {
        if self.is_loaded(version) {
            return Ok(());
        }
        let pending = self.pending.get(version);
        match pending.and_then(|pending| Some((pending, pending.manifest.as_ref()?))) {
            Some((pending, manifest)) => pending.verify(manifest, chunks),
            None => Err(EngineCommandFailure {
                reason: "the manifest was not put".to_owned(),
                missing: vec![MANIFEST_CHUNK_INDEX],
                corrupted: Vec::new(),
            }),
        }
    }

    /// Marks a verified version as loaded and drops its chunks.
    pub(super) fn mark_loaded(&mut self, version: ContentDigest) {
        self.pending.remove(&version);
        self.loaded.insert(version);
    }

    /// Removes a version and all chunks put for the version.
    pub(super) fn unload(&mut self, version: &ContentDigest) {
        self.pending.remove(version);
        self.loaded.remove(version);
    }
}

impl PendingVersion {
    fn verify(&self, manifest: &WeightManifest, chunks: u32) -> Result<(), EngineCommandFailure> {
        let mut failure = EngineCommandFailure {
            reason: String::new(),
            missing: Vec::new(),
            corrupted: Vec::new(),
        };
        for (index, expected) in (0..).zip(&manifest.chunks) {
            match self.chunks.get(&index) {
                None => failure.missing.push(index),
                Some((digest, _)) if digest != expected => failure.corrupted.push(index),
                Some(_) => {}
            }
        }
        let total: u64 = self.chunks.values().map(|(_, size)| size).sum();
        if !failure.missing.is_empty() || !failure.corrupted.is_empty() {
            failure.reason = "chunks are missing or corrupted".to_owned();
        } else if manifest.chunks.len() != chunks as usize {
            let listed = manifest.chunks.len();
            failure.reason = format!("the manifest lists {listed} chunks, the command {chunks}");
        } else if total != manifest.total_bytes {
            let listed = manifest.total_bytes;
            failure.reason = format!("the manifest lists {listed} bytes, {total} were put");
        } else {
            return Ok(());
        }
        Err(failure)
    }
}
