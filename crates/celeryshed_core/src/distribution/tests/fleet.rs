//! Simulation of several sidecars whose schedulers exchange chunks without I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{
    AvailabilityZone, ByteCount, ContentDigest, InstanceName, MonoTime, RegionName, ServiceName,
};

use crate::distribution::{
    ChunkRef, ChunkSource, DesiredVersion, DistributionGoal, DistributionPlan, FetchAction,
    FetchEvent, FetchFailure, FetchOptions, FetchScheduler,
};
use crate::membership::{MemberState, MembershipView, SideMember};

/// Duration of a transfer, and of an unsuccessful poll.
const TRANSFER_TIME: Duration = Duration::from_millis(50);

pub(super) fn instance(index: usize) -> InstanceName {
    InstanceName::try_from(format!("side-{index}")).unwrap()
}

pub(super) fn region(index: usize) -> RegionName {
    RegionName::try_from(format!("region-{}", index % 3)).unwrap()
}

pub(super) fn service() -> ServiceName {
    ServiceName::try_from("copywriter").unwrap()
}

pub(super) fn digest(index: usize) -> ContentDigest {
    ContentDigest::of(&index.to_be_bytes())
}

/// A view that includes the sidecars with these indices.
pub(super) fn view(indices: impl IntoIterator<Item = usize>) -> MembershipView {
    let mut view = MembershipView::default();
    for index in indices {
        let side = SideMember {
            address: format!("127.0.0.1:{index}"),
            incarnation: None,
            zone: AvailabilityZone::try_from("zone").unwrap(),
            region: region(index),
            service: service(),
            state: MemberState::Live,
        };
        view.sides.insert(instance(index), side);
    }
    view
}

pub(super) fn plan(own: usize, view: &MembershipView) -> DistributionPlan {
    DistributionPlan::new(
        view,
        &instance(own),
        &region(own),
        &BTreeSet::from([service()]),
        &region(0),
        DistributionGoal::OriginBytes,
    )
}

pub(super) struct SimulatedFleet {
    pub(super) now: MonoTime,
    pub(super) sides: Vec<FetchScheduler>,
    pub(super) dead: BTreeSet<usize>,
    /// Chunk, sender and receiver of each completed transfer.
    pub(super) transfers: Vec<(ContentDigest, ChunkSource, usize)>,
    pending_transfers: BTreeMap<(MonoTime, u64), (usize, ContentDigest, ChunkSource)>,
    sequence: u64,
    chunks: Vec<ChunkRef>,
    manifest: ContentDigest,
}

impl SimulatedFleet {
    pub(super) fn new(views: &[MembershipView], chunk_count: usize, seed: u64) -> Self {
        let manifest = digest(usize::MAX);
        let chunks: Vec<_> = (0..chunk_count)
            .map(|index| ChunkRef { digest: digest(index), size: ByteCount(100) })
            .collect();
        let size = ByteCount(100 * chunk_count as u64);
        let mut fleet = Self {
            now: MonoTime::ZERO,
            sides: Vec::new(),
            dead: BTreeSet::new(),
            transfers: Vec::new(),
            pending_transfers: BTreeMap::new(),
            sequence: 0,
            chunks,
            manifest,
        };
        for (own, view) in views.iter().enumerate() {
            let side = FetchScheduler::new(FetchOptions::default(), seed ^ own as u64);
            fleet.sides.push(side);
            fleet.send_event(own, FetchEvent::PlanChanged(plan(own, view)));
            let desired = vec![DesiredVersion { manifest, size }];
            fleet.send_event(own, FetchEvent::VersionsDesired(desired));
        }
        fleet
    }

    fn send_event(&mut self, side: usize, event: FetchEvent) {
        for action in self.sides[side].handle(event, self.now) {
            match action {
                FetchAction::Fetch { chunk, source } => {
                    self.sequence += 1;
                    let key = (self.now + TRANSFER_TIME, self.sequence);
                    self.pending_transfers.insert(key, (side, chunk, source));
                }
                FetchAction::Offer { chunk, instance: to } if !self.dead.contains(&side) => {
                    let to = (0..self.sides.len()).find(|index| instance(*index) == to).unwrap();
                    let source = ChunkSource::Peer(instance(side));
                    self.send_event(to, FetchEvent::ChunkOffered { chunk, source });
                }
                _ => {}
            }
        }
    }

    fn end_fetch(&mut self, side: usize, chunk: ContentDigest, source: ChunkSource) {
        let sender =
            (0..self.sides.len()).find(|index| source == ChunkSource::Peer(instance(*index)));
        let failure = match sender {
            None => None,
            Some(sender) if self.dead.contains(&sender) => Some(FetchFailure::Unreachable),
            Some(sender) if self.sides[sender].holds(&chunk) => None,
            Some(sender) if self.sides[sender].expects(&chunk) => Some(FetchFailure::Pending),
            Some(_) => Some(FetchFailure::NotExpected),
        };
        if let Some(failure) = failure {
            self.send_event(side, FetchEvent::FetchFailed { chunk, source, failure });
            return;
        }
        self.transfers.push((chunk, source.clone(), side));
        self.send_event(side, FetchEvent::ChunkArrived { chunk, size: ByteCount(100), source });
        if chunk == self.manifest {
            let (manifest, chunks) = (self.manifest, self.chunks.clone());
            self.send_event(side, FetchEvent::ManifestRead { manifest, chunks });
        }
    }

    /// Runs until all sidecars that aren't dead hold the version; returns `false` if this takes
    /// longer than `limit`.
    pub(super) fn run(&mut self, limit: Duration) -> bool {
        while self.now < MonoTime::ZERO + limit {
            let alive = (0..self.sides.len()).filter(|side| !self.dead.contains(side));
            let manifest = self.manifest;
            if alive.clone().all(|side| self.sides[side].complete_chunks(&manifest).is_some()) {
                return true;
            }
            let timers = alive.clone().filter_map(|side| self.sides[side].next_timer(self.now));
            let next = self.pending_transfers.keys().next().map(|(time, _)| *time);
            let Some(next) = timers.chain(next).min() else { return false };
            self.now = next;
            let alive: Vec<_> = alive.collect();
            for side in alive {
                self.send_event(side, FetchEvent::TimerFired);
            }
            while let Some(entry) = self.pending_transfers.first_entry()
                && entry.key().0 <= self.now
            {
                let (side, chunk, source) = entry.remove();
                if !self.dead.contains(&side) {
                    self.end_fetch(side, chunk, source);
                }
            }
        }
        false
    }

    /// Bytes transferred from external sources, in copies of the version.
    pub(super) fn external_copies(&self) -> f64 {
        let external = self
            .transfers
            .iter()
            .filter(|(_, source, _)| matches!(source, ChunkSource::External(_)));
        external.count() as f64 / (self.chunks.len() + 1) as f64
    }
}
