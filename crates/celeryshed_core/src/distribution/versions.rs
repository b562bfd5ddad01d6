//! The versions that a sidecar must hold, and those that it retains.

use std::collections::{BTreeMap, BTreeSet};

use celeryshed_base::{ByteCount, ContentDigest, common_derives};

common_derives! { value:
    /// A version that the configuration assigns to the sidecar.
    #[derive(Copy)]
    pub struct DesiredVersion {
        /// Digest of the manifest, which lists the chunks.
        pub manifest: ContentDigest,
        /// Size of all chunks together.
        pub size: ByteCount,
    }

    /// A chunk of a version.
    #[derive(Copy)]
    pub struct ChunkRef {
        /// Digest of the content, which also identifies the chunk.
        pub digest: ContentDigest,
        /// Size of the content.
        pub size: ByteCount,
    }

    /// Progress of one version.
    pub(super) struct VersionEntry {
        pub(super) version: DesiredVersion,
        /// `None` until the manifest has been read.
        pub(super) chunks: Option<Vec<ChunkRef>>,
        pub(super) complete: bool,
        /// Set if the manifest contradicts the configuration or the version doesn't fit into
        /// memory.
        pub(super) rejected: bool,
    }
}

impl VersionEntry {
    fn new(version: DesiredVersion) -> Self {
        Self { version, chunks: None, complete: false, rejected: false }
    }

    /// Digests of the manifest and of the chunks, if these are known.
    pub(super) fn digests(&self) -> impl Iterator<Item = ContentDigest> + '_ {
        let chunks = self.chunks.iter().flatten().map(|chunk| chunk.digest);
        std::iter::once(self.version.manifest).chain(chunks)
    }
}

/// Desired versions in order of priority, and complete versions retained for a rollback.
#[derive(Clone, Debug, Default)]
pub(super) struct VersionTable {
    pub(super) desired: Vec<VersionEntry>,
    /// Complete versions that are no longer desired, the most recent first.
    pub(super) retained: Vec<VersionEntry>,
}

impl VersionTable {
    /// Replaces the desired versions; returns those that don't fit into `memory`.
    pub(super) fn replace(
        &mut self,
        desired: &[DesiredVersion],
        memory: ByteCount,
    ) -> Vec<DesiredVersion> {
        let mut known = std::mem::take(&mut self.desired);
        known.append(&mut self.retained);
        let mut refused = Vec::new();
        let mut used = 0u64;
        for version in desired {
            let mut entry = match known.iter().position(|entry| entry.version == *version) {
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
            self.desired.push(entry);
        }
        self.retained = known.into_iter().filter(|entry| entry.complete).collect();
        refused
    }

    pub(super) fn get_mut(&mut self, manifest: &ContentDigest) -> Option<&mut VersionEntry> {
        self.desired.iter_mut().find(|entry| entry.version.manifest == *manifest)
    }

    /// Marks desired versions whose chunks are all held as complete; returns the newly complete
    /// ones.
    pub(super) fn mark_complete(
        &mut self,
        held: &BTreeMap<ContentDigest, u64>,
    ) -> Vec<ContentDigest> {
        let mut completed = Vec::new();
        for entry in self.desired.iter_mut().filter(|entry| !entry.complete && !entry.rejected) {
            let is_complete =
                entry.chunks.is_some() && entry.digests().all(|d| held.contains_key(&d));
            if is_complete {
                entry.complete = true;
                completed.push(entry.version.manifest);
            }
        }
        completed
    }

    /// Whether the manifest of a desired version has not been read, so that its chunks are unknown.
    pub(super) fn awaits_manifest(&self) -> bool {
        self.desired.iter().any(|entry| entry.chunks.is_none() && !entry.rejected)
    }

    /// Digests that belong to a desired or retained version.
    pub(super) fn referenced(&self) -> BTreeSet<ContentDigest> {
        self.desired.iter().chain(&self.retained).flat_map(VersionEntry::digests).collect()
    }
}
