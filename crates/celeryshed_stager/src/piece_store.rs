//! The pieces that a sidecar holds, by version.
//!
//! Load pattern: a version is declared while an earlier one spreads or waits for its load. The
//! endpoint stores the pieces of a single version, so pieces are kept in memory until the endpoint
//! has loaded them: a later version spreads meanwhile, and an endpoint whose turn comes late loads
//! the later one alone. Pieces of a version that doesn't fit into the memory leave it as soon as the
//! endpoint stores them; no other version is collected beside it.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::sync::Arc;

use bytes::Bytes;
use celeryshed_base::common_derives;
use celeryshed_dispatch::{PeerAudience, PieceSet, StageManifest};

common_derives! { value:
    /// The pieces of one version that were received and verified.
    pub(crate) struct VersionPieces {
        pub(crate) manifest: Arc<StageManifest>,
        /// Pieces in memory, by number; empty once the endpoint has loaded the version.
        pub(crate) in_memory: BTreeMap<u32, Bytes>,
        /// Pieces that have left the memory early and are read from the endpoint.
        released: BTreeSet<u32>,
    }

    /// The pieces of all versions that the sidecar holds, and what its endpoint has of them.
    #[derive(Default)]
    pub(crate) struct PieceStore {
        /// By version; all belong to the endpoint's model.
        versions: BTreeMap<u64, VersionPieces>,
        /// The version whose pieces are all stored at the endpoint.
        at_endpoint: Option<u64>,
        /// Loaded version of each model, as last reported by the endpoint.
        loaded: BTreeMap<String, u64>,
        /// Number of pieces that each audience was not known to have when they arrived.
        unknown_pieces: BTreeMap<PeerAudience, u64>,
        /// Whether the endpoint was asked for its state since this process started.
        pub(crate) endpoint_asked: bool,
    }

    /// Where a piece is read from.
    pub(crate) enum PieceLocation {
        Memory(Bytes),
        Endpoint,
    }
}

impl VersionPieces {
    /// Numbers of the pieces that are in memory or were released.
    fn held(&self) -> impl Iterator<Item = u32> {
        self.in_memory.keys().chain(&self.released).copied()
    }

    fn memory_bytes(&self) -> usize {
        self.in_memory.values().map(Bytes::len).sum()
    }
}

impl PieceStore {
    /// Starts to collect the pieces of a version, and returns whether its manifest is new. Pieces
    /// that were collected under another manifest are dropped. The pieces of the version replace those
    /// of others at the endpoint.
    pub(crate) fn begin(&mut self, manifest: &Arc<StageManifest>) -> bool {
        let version = manifest.version();
        self.forget_released(version);
        if self.versions.get(&version).is_some_and(|known| known.manifest == *manifest) {
            return false;
        }
        self.at_endpoint.take_if(|at_endpoint| *at_endpoint == version);
        let pieces = VersionPieces {
            manifest: manifest.clone(),
            in_memory: BTreeMap::new(),
            released: BTreeSet::new(),
        };
        self.versions.insert(version, pieces);
        true
    }

    /// Forgets the released pieces of all versions but `kept`.
    fn forget_released(&mut self, kept: u64) {
        for (version, pieces) in &mut self.versions {
            if *version != kept {
                pieces.released.clear();
            }
        }
    }

    /// Drops a version that is no longer collected.
    pub(crate) fn abandon(&mut self, version: u64) {
        self.versions.remove(&version);
    }

    /// Adds a verified piece of a version that is being collected. The `uninformed` audiences may
    /// not know of any sidecar that has it.
    pub(crate) fn insert(
        &mut self,
        version: u64,
        piece: u32,
        bytes: Bytes,
        uninformed: &[PeerAudience],
    ) {
        for audience in uninformed {
            *self.unknown_pieces.entry(*audience).or_default() += 1;
        }
        if let Some(pieces) = self.versions.get_mut(&version) {
            pieces.released.remove(&piece);
            pieces.in_memory.insert(piece, bytes);
        }
    }

    /// Drops a piece that the endpoint stores from the memory.
    pub(crate) fn release(&mut self, version: u64, piece: u32) {
        if let Some(pieces) = self.versions.get_mut(&version)
            && pieces.in_memory.remove(&piece).is_some()
        {
            pieces.released.insert(piece);
        }
    }

    /// Number of pieces so far that an audience was not known to have.
    pub(crate) fn unknown_pieces(&self, audience: PeerAudience) -> u64 {
        self.unknown_pieces.get(&audience).copied().unwrap_or_default()
    }

    /// The manifest of a version that is or was collected.
    pub(crate) fn manifest(&self, version: u64) -> Option<&Arc<StageManifest>> {
        self.versions.get(&version).map(|pieces| &pieces.manifest)
    }

    /// Whether all pieces of a version are in memory or at the endpoint.
    pub(crate) fn is_complete(&self, version: u64) -> bool {
        self.versions.get(&version).is_some_and(|pieces| {
            self.at_endpoint == Some(version)
                || pieces.held().count() == pieces.manifest.piece_count() as usize
        })
    }

    /// Whether pieces of any version are missing.
    pub(crate) fn lacks_pieces(&self) -> bool {
        self.versions.keys().any(|version| !self.is_complete(*version))
    }

    /// The newest complete version above `loaded`.
    pub(crate) fn newest_complete(&self, loaded: u64) -> Option<u64> {
        let newer = self.versions.range((Bound::Excluded(loaded), Bound::Unbounded));
        let newer = newer.rev().map(|(version, _)| *version);
        newer.into_iter().find(|version| self.is_complete(*version))
    }

    /// The pieces of a version in memory, by number.
    pub(crate) fn in_memory(&self, version: u64) -> BTreeMap<u32, Bytes> {
        self.versions.get(&version).map(|pieces| pieces.in_memory.clone()).unwrap_or_default()
    }

    /// Numbers of the pieces of a version that are in memory or were released.
    pub(crate) fn held(&self, version: u64) -> BTreeSet<u32> {
        self.versions.get(&version).map(|pieces| pieces.held().collect()).unwrap_or_default()
    }

    /// Bytes of all pieces in memory.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.versions.values().map(VersionPieces::memory_bytes).sum()
    }

    /// Whether a version of `bytes` may be collected with a memory of `limit`: it fits beside the other
    /// versions, or there is no piece of any.
    pub(crate) fn has_room(&self, version: u64, bytes: usize, limit: usize) -> bool {
        let others = || self.versions.iter().filter(|(other, _)| **other != version);
        let released = others().any(|(_, pieces)| !pieces.released.is_empty());
        let held: usize = others().map(|(_, pieces)| pieces.memory_bytes()).sum();
        !released && (held == 0 || held + bytes <= limit)
    }

    /// The collected versions with the pieces that other sidecars can fetch here.
    pub(crate) fn inventories(&self) -> Vec<(&Arc<StageManifest>, PieceSet)> {
        let held = self.versions.iter().map(|(version, pieces)| {
            let numbers: PieceSet = if self.at_endpoint == Some(*version) {
                (0..pieces.manifest.piece_count()).collect()
            } else {
                pieces.held().collect()
            };
            (&pieces.manifest, numbers)
        });
        held.collect()
    }

    /// Where a piece that another sidecar asks for is read from; `None` if it isn't held.
    pub(crate) fn locate(&self, model: &str, version: u64, piece: u32) -> Option<PieceLocation> {
        match self.versions.get(&version).filter(|pieces| pieces.manifest.model() == model) {
            Some(pieces) => match pieces.in_memory.get(&piece) {
                Some(bytes) => Some(PieceLocation::Memory(bytes.clone())),
                None => (self.at_endpoint == Some(version) || pieces.released.contains(&piece))
                    .then_some(PieceLocation::Endpoint),
            },
            // A sidecar that restarted knows from its endpoint alone what is stored there.
            None => (self.versions.is_empty() && self.loaded.get(model) == Some(&version))
                .then_some(PieceLocation::Endpoint),
        }
    }

    /// Records that the pieces at the endpoint are being replaced by those of a version.
    pub(crate) fn record_staging(&mut self, version: u64) {
        self.at_endpoint = None;
        self.forget_released(version);
    }

    /// Records that pieces of a version at the endpoint are damaged. The version is dropped if no other
    /// piece of it is held.
    pub(crate) fn record_damaged(&mut self, version: u64, damaged: &[u32]) {
        self.at_endpoint.take_if(|at_endpoint| *at_endpoint == version);
        let Some(pieces) = self.versions.get_mut(&version) else { return };
        pieces.released.retain(|piece| !damaged.contains(piece));
        if pieces.held().next().is_none() {
            self.abandon(version);
        }
    }

    /// Records that all pieces of a version are stored at the endpoint.
    pub(crate) fn record_staged(&mut self, version: u64) {
        self.at_endpoint = Some(version);
    }

    /// The version of a model that the endpoint has loaded; `None` if it has loaded none.
    pub(crate) fn loaded_version(&self, model: &str) -> Option<u64> {
        self.loaded.get(model).copied()
    }

    /// Records what the endpoint has loaded, and returns whether that is news. Pieces of versions
    /// that it has loaded, or of earlier ones, leave the memory.
    pub(crate) fn record_loaded(&mut self, loaded: &BTreeMap<String, u64>) -> bool {
        let was_asked = std::mem::replace(&mut self.endpoint_asked, true);
        if self.loaded == *loaded {
            return !was_asked;
        }
        self.loaded = loaded.clone();
        let at_endpoint = self.at_endpoint;
        self.versions.retain(|version, pieces| {
            let newest = loaded.get(pieces.manifest.model()).copied().unwrap_or(0);
            if *version == newest && at_endpoint == Some(newest) {
                pieces.in_memory.clear();
                pieces.released.clear();
            }
            *version >= newest
        });
        true
    }

    /// Records that the endpoint doesn't reply: what it stored may be lost.
    pub(crate) fn record_endpoint_lost(&mut self) -> bool {
        for pieces in self.versions.values_mut() {
            pieces.released.clear();
        }
        if let Some(version) = self.at_endpoint.take()
            && self.in_memory(version).is_empty()
        {
            self.versions.remove(&version);
        }
        let had_loaded = !std::mem::take(&mut self.loaded).is_empty();
        !std::mem::replace(&mut self.endpoint_asked, true) || had_loaded
    }
}
