//! The versions that a sidecar wants or still holds.

use std::collections::{BTreeMap, BTreeSet};

use celeryshed_base::{ByteCount, ContentDigest, common_derives};

common_derives! { value:
    /// A version that the configuration asks for.
    #[derive(Copy)]
    pub struct DesiredVersion {
        /// Digest of its manifest.
        pub manifest: ContentDigest,
        /// Size of its weights.
        pub size: ByteCount,
    }

    /// A chunk of a version.
    #[derive(Copy)]
    pub struct ChunkRef {
        /// Its digest.
        pub digest: ContentDigest,
        /// Its size.
        pub size: ByteCount,
    }

    /// State of one version.
    pub(super) struct VersionEntry {
        pub(super) wanted: DesiredVersion,
        /// `None` until the manifest has been read.
        pub(super) chunks: Option<Vec<ChunkRef>>,
        pub(super) complete: bool,
        /// Set when its manifest contradicts the configuration or it doesn't fit into memory.
        pub(super) rejected: bool,
    }
}

impl VersionEntry {
    fn new(wanted: DesiredVersion) -> Self {
        Self { wanted, chunks: None, complete: false, rejected: false }
    }

    /// The manifest and the chunks, as far as they are known.
    pub(super) fn digests(&self) -> impl Iterator<Item = ContentDigest> + '_ {
        let chunks = self.chunks.iter().flatten().map(|chunk| chunk.digest);
        std::iter::once(self.wanted.manifest).chain(chunks)
    }
}

/// Wanted versions in order of priority, and complete ones kept for a roll-back.
#[derive(Clone, Debug, Default)]
pub(super) struct VersionTable {
    pub(super) wanted: Vec<VersionEntry>,
    /// Complete versions that are no longer wanted, the most recent first.
    pub(super) retained: Vec<VersionEntry>,
}

impl VersionTable {
    /// Replaces the wanted versions; returns those that don't fit into `memory`.
    pub(super) fn replace(
        &mut self,
        wanted: &[DesiredVersion],
        memory: ByteCount,
    ) -> Vec<DesiredVersion> {
        let mut known = std::mem::take(&mut self.wanted);
        known.append(&mut self.retained);
        let mut refused = Vec::new();
        let mut used = 0u64;
        for version in wanted {
            let mut entry = match known.iter().position(|entry| entry.wanted == *version) {
                Some(index) => known.remove(index),
                None => VersionEntry::new(*version),
            };
            let fits = used.saturating_add(version.size.0) <= memory.0;
            if fits {
                used += version.size.0;
            } else {
                entry.rejected = true;
                refused.push(*version);
            }
            self.wanted.push(entry);
        }
        self.retained = known.into_iter().filter(|entry| entry.complete).collect();
        refused
    }

    pub(super) fn get_mut(&mut self, manifest: &ContentDigest) -> Option<&mut VersionEntry> {
        self.wanted.iter_mut().find(|entry| entry.wanted.manifest == *manifest)
    }

    /// Marks wanted versions complete whose chunks are all held; returns the new ones.
    pub(super) fn complete(&mut self, held: &BTreeMap<ContentDigest, u64>) -> Vec<ContentDigest> {
        let mut completed = Vec::new();
        for entry in self.wanted.iter_mut().filter(|entry| !entry.complete && !entry.rejected) {
            let whole = entry.chunks.is_some() && entry.digests().all(|d| held.contains_key(&d));
            if whole {
                entry.complete = true;
                completed.push(entry.wanted.manifest);
            }
        }
        completed
    }

    /// Whether a wanted version has no manifest yet, so that its chunks are unknown.
    pub(super) fn awaits_manifest(&self) -> bool {
        self.wanted.iter().any(|entry| entry.chunks.is_none() && !entry.rejected)
    }

    /// Digests that belong to a wanted or retained version.
    pub(super) fn referenced(&self) -> BTreeSet<ContentDigest> {
        self.wanted.iter().chain(&self.retained).flat_map(VersionEntry::digests).collect()
    }
}
