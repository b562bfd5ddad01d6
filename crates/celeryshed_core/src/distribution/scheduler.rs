//! What to fetch next, and from whom.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use celeryshed_base::{ByteCount, ContentDigest, InstanceName, MonoTime, common_derives};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::items::{FetchClass, MissingItem};
use super::options::{DistributionGoal, FetchOptions};
use super::penalties::SenderPenalties;
use super::plan::{ChunkRoute, ChunkSource, DistributionPlan};
use super::versions::{ChunkRef, DesiredVersion, VersionTable};

/// Factor of [`FetchOptions::stuck_limit`] per level. With four, twice as many sidecars per level
/// ask half as often in total, so that a long outage of the store costs few extra copies.
const STUCK_FACTOR: u32 = 4;

/// Levels after which the stuck limit no longer grows.
const STUCK_LEVELS: u32 = 8;

/// How many times shorter the waits before asking outside of the tree are with
/// [`DistributionGoal::Time`].
const TIME_HASTE: u32 = 4;

/// Positions after which the random delay before asking outside no longer grows.
const SPACING_POSITIONS: usize = 30;

/// Shortest wait that is asked of the caller's timer.
const TIMER_STEP: Duration = Duration::from_millis(1);

common_derives! { value:
    /// Why a fetch failed.
    #[derive(Copy)]
    pub enum FetchFailure {
        /// The bytes don't have the digest.
        Corrupt,
        /// The sender neither holds nor wants the chunk.
        NotWanted,
        /// The sender waits for the chunk itself.
        Pending,
        /// The transfer stalled.
        TimedOut,
        /// No connection, or a broken one.
        Unreachable,
        /// The sender asks for a pause.
        Busy(Duration),
    }
}

/// What the scheduler is told.
#[derive(Clone, Debug)]
pub enum FetchEvent {
    /// These versions are wanted now, the selected one first.
    VersionsWanted(Vec<DesiredVersion>),
    /// A manifest was read and agrees with the configuration.
    ManifestRead {
        /// Its digest.
        manifest: ContentDigest,
        /// The chunks, in order.
        chunks: Vec<ChunkRef>,
    },
    /// A manifest has the right digest but contradicts the configuration.
    ManifestRejected {
        /// Its digest.
        manifest: ContentDigest,
    },
    /// The membership changed.
    PlanChanged(DistributionPlan),
    /// A chunk or manifest arrived and was verified.
    ChunkArrived {
        /// Its digest.
        chunk: ContentDigest,
        /// Its size.
        size: ByteCount,
        /// Its sender.
        source: ChunkSource,
    },
    /// A sidecar says that it holds a chunk; a hint that saves a poll.
    ChunkOffered {
        /// The chunk.
        chunk: ContentDigest,
        /// The sidecar.
        source: ChunkSource,
    },
    /// A fetch ended without the chunk.
    FetchFailed {
        /// The chunk.
        chunk: ContentDigest,
        /// The sender.
        source: ChunkSource,
        /// Why.
        failure: FetchFailure,
    },
    /// The time that [`FetchScheduler::next_timer`] named has come.
    TimerFired,
}

common_derives! { value:
    /// What the scheduler asks for.
    pub enum FetchAction {
        /// Fetch a chunk.
        Fetch {
            /// Its digest.
            chunk: ContentDigest,
            /// From where.
            source: ChunkSource,
        },
        /// Tell a sidecar below in the tree that a chunk is held.
        Offer {
            /// Its digest.
            chunk: ContentDigest,
            /// The sidecar.
            instance: InstanceName,
        },
        /// Stop fetching a chunk.
        Cancel {
            /// Its digest.
            chunk: ContentDigest,
        },
        /// Free a chunk's memory.
        Drop {
            /// Its digest.
            chunk: ContentDigest,
        },
        /// Every chunk of a wanted version is held.
        VersionComplete {
            /// Digest of its manifest.
            manifest: ContentDigest,
        },
        /// A wanted version doesn't fit into memory.
        VersionTooLarge {
            /// Digest of its manifest.
            manifest: ContentDigest,
            /// Its size.
            size: ByteCount,
        },
    }
}

enum SourceChoice {
    Use(ChunkSource),
    WaitUntil(MonoTime),
}

/// Decides what one sidecar fetches.
#[derive(Clone, Debug)]
pub struct FetchScheduler {
    options: FetchOptions,
    plan: Option<DistributionPlan>,
    versions: VersionTable,
    held: BTreeMap<ContentDigest, u64>,
    held_bytes: u64,
    missing: BTreeMap<ContentDigest, MissingItem>,
    in_flight: BTreeMap<FetchClass, usize>,
    penalties: SenderPenalties,
    random: StdRng,
}

impl FetchScheduler {
    /// A scheduler that holds nothing; `seed` decides its random delays.
    pub fn new(options: FetchOptions, seed: u64) -> Self {
        Self {
            options,
            plan: None,
            versions: VersionTable::default(),
            held: BTreeMap::new(),
            held_bytes: 0,
            missing: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            penalties: SenderPenalties::default(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Takes an event and returns what to do.
    pub fn handle(&mut self, event: FetchEvent, now: MonoTime) -> Vec<FetchAction> {
        let mut actions = Vec::new();
        match event {
            FetchEvent::VersionsWanted(wanted) => self.want(&wanted, now, &mut actions),
            FetchEvent::ManifestRead { manifest, chunks } => {
                if let Some(entry) = self.versions.get_mut(&manifest) {
                    entry.chunks = Some(chunks);
                }
                self.refresh_missing(now, &mut actions);
            }
            FetchEvent::ManifestRejected { manifest } => {
                if let Some(entry) = self.versions.get_mut(&manifest) {
                    entry.rejected = true;
                }
                self.refresh_missing(now, &mut actions);
            }
            FetchEvent::PlanChanged(plan) => self.change_plan(plan),
            FetchEvent::ChunkArrived { chunk, size, source } => {
                self.penalties.record_success(&source);
                self.take_chunk(chunk, size, &mut actions);
                self.announce_complete(&mut actions);
            }
            FetchEvent::ChunkOffered { chunk, source } => self.take_offer(&chunk, source, now),
            FetchEvent::FetchFailed { chunk, source, failure } => {
                self.record_failure(&chunk, &source, failure, now);
            }
            FetchEvent::TimerFired => {}
        }
        self.start_fetches(now, &mut actions);
        actions
    }

    /// Whether the chunk is held.
    pub fn holds(&self, chunk: &ContentDigest) -> bool {
        self.held.contains_key(chunk)
    }

    /// Whether the chunk may arrive here: it is missing, or a manifest is still to come that may
    /// name it.
    pub fn expects(&self, chunk: &ContentDigest) -> bool {
        self.missing.contains_key(chunk) || self.versions.awaits_manifest()
    }

    /// Size of a missing chunk; `None` for a manifest, whose size isn't known.
    pub fn size_of(&self, chunk: &ContentDigest) -> Option<ByteCount> {
        let item = self.missing.get(chunk)?;
        (item.size > 0).then_some(ByteCount(item.size))
    }

    /// Bytes of the chunks and manifests held.
    pub fn held_bytes(&self) -> ByteCount {
        ByteCount(self.held_bytes)
    }

    /// The chunks of a complete version that is wanted, in order.
    pub fn complete_chunks(&self, manifest: &ContentDigest) -> Option<&[ChunkRef]> {
        let entry = self.versions.wanted.iter().find(|entry| entry.wanted.manifest == *manifest)?;
        if entry.complete { entry.chunks.as_deref() } else { None }
    }

    /// When to send [`FetchEvent::TimerFired`] at the latest; `None` while nothing waits.
    ///
    /// Items that could be fetched already wait for a slot, which another event frees.
    pub fn next_timer(&self, now: MonoTime) -> Option<MonoTime> {
        let waiting = self.missing.values().filter(|item| item.in_flight.is_none());
        waiting.map(|item| item.not_before).filter(|time| *time > now).min()
    }

    fn want(&mut self, wanted: &[DesiredVersion], now: MonoTime, actions: &mut Vec<FetchAction>) {
        for version in self.versions.replace(wanted, self.options.memory) {
            let DesiredVersion { manifest, size } = version;
            actions.push(FetchAction::VersionTooLarge { manifest, size });
        }
        let complete = self.versions.wanted.iter().filter(|entry| entry.complete);
        actions.extend(
            complete.map(|entry| FetchAction::VersionComplete { manifest: entry.wanted.manifest }),
        );
        self.refresh_missing(now, actions);
    }

    /// Brings the missing chunks in line with the wanted versions.
    fn refresh_missing(&mut self, now: MonoTime, actions: &mut Vec<FetchAction>) {
        let mut previous = std::mem::take(&mut self.missing);
        let open = self.versions.wanted.iter().enumerate().filter(|(_, entry)| !entry.rejected);
        for (rank, entry) in open {
            let manifest = ChunkRef { digest: entry.wanted.manifest, size: ByteCount(0) };
            let mut offset = 0;
            for chunk in std::iter::once(&manifest).chain(entry.chunks.iter().flatten()) {
                let release = release_delay(self.options.external_bytes_per_s, offset);
                offset += chunk.size.0;
                if self.held.contains_key(&chunk.digest) || self.missing.contains_key(&chunk.digest)
                {
                    continue;
                }
                let item = match previous.remove(&chunk.digest) {
                    Some(item) => MissingItem { rank, ..item },
                    None => {
                        let mut item = MissingItem::new(chunk.size.0, rank, now);
                        item.not_before = now + release;
                        place(&mut item, &chunk.digest, self.plan.as_ref());
                        item
                    }
                };
                self.missing.insert(chunk.digest, item);
            }
        }
        let dropped = previous.iter().filter(|(_, item)| item.in_flight.is_some());
        actions.extend(dropped.map(|(chunk, _)| FetchAction::Cancel { chunk: *chunk }));
        self.count_in_flight();
        self.announce_complete(actions);
        self.free_memory(actions);
    }

    fn change_plan(&mut self, plan: DistributionPlan) {
        if self.plan.as_ref() == Some(&plan) {
            return;
        }
        for (chunk, item) in &mut self.missing {
            place(item, chunk, Some(&plan));
            item.forget_senders();
        }
        self.plan = Some(plan);
    }

    fn take_chunk(
        &mut self,
        chunk: ContentDigest,
        size: ByteCount,
        actions: &mut Vec<FetchAction>,
    ) {
        // A chunk that arrives after it was cancelled isn't counted as held.
        if self.missing.remove(&chunk).is_some() {
            self.held.insert(chunk, size.0);
            self.held_bytes += size.0;
            let children = self.plan.as_ref().map(|plan| plan.children(&chunk));
            let offers = children.into_iter().flatten();
            actions.extend(offers.map(|instance| FetchAction::Offer { chunk, instance }));
        }
        self.count_in_flight();
    }

    fn take_offer(&mut self, chunk: &ContentDigest, source: ChunkSource, now: MonoTime) {
        let Some(item) = self.missing.get_mut(chunk) else { return };
        if self.penalties.avoided_until(&source, now).is_none() {
            item.offered = Some(source);
            item.not_before = now;
        }
    }

    fn announce_complete(&mut self, actions: &mut Vec<FetchAction>) {
        let completed = self.versions.complete(&self.held);
        let announce = |manifest| FetchAction::VersionComplete { manifest };
        actions.extend(completed.into_iter().map(announce));
    }

    fn record_failure(
        &mut self,
        chunk: &ContentDigest,
        source: &ChunkSource,
        failure: FetchFailure,
        now: MonoTime,
    ) {
        match failure {
            FetchFailure::Corrupt | FetchFailure::Unreachable => {
                self.penalties.record_failure(source, now);
            }
            FetchFailure::TimedOut => self.penalties.record_stall(source, now),
            FetchFailure::Busy(pause) => self.penalties.record_busy(source, pause, now),
            FetchFailure::NotWanted | FetchFailure::Pending => {}
        }
        let Some(item) = self.missing.get_mut(chunk) else { return };
        if item.in_flight.as_ref() != Some(source) {
            return;
        }
        item.in_flight = None;
        item.not_before = now;
        if item.offered.as_ref() == Some(source) && failure != FetchFailure::Pending {
            item.offered = None;
        }
        match failure {
            FetchFailure::NotWanted => item.avoid(source, now),
            FetchFailure::Pending => item.record_pending(source, self.options.patience, now),
            FetchFailure::Corrupt
            | FetchFailure::TimedOut
            | FetchFailure::Unreachable
            | FetchFailure::Busy(_) => item.sender_pending_since = None,
        }
        self.count_in_flight();
    }

    /// Frees chunks of no version, and then retained versions, until the rest fits.
    fn free_memory(&mut self, actions: &mut Vec<FetchAction>) {
        let missing: u64 = self.missing.values().map(|item| item.size).sum();
        let needed = |held: u64| held.saturating_add(missing);
        // Unknown chunks of a version without a manifest may be among those held.
        let over = needed(self.held_bytes) > self.options.memory.0;
        if self.versions.awaits_manifest() && !over {
            return;
        }
        loop {
            let referenced = self.versions.referenced();
            let unused: Vec<_> =
                self.held.keys().filter(|chunk| !referenced.contains(chunk)).copied().collect();
            for chunk in unused {
                self.held_bytes -= self.held.remove(&chunk).unwrap_or_default();
                actions.push(FetchAction::Drop { chunk });
            }
            if needed(self.held_bytes) <= self.options.memory.0
                || self.versions.retained.pop().is_none()
            {
                return;
            }
        }
    }

    fn start_fetches(&mut self, now: MonoTime, actions: &mut Vec<FetchAction>) {
        let Some(plan) = self.plan.take() else { return };
        let ready = self
            .missing
            .iter()
            .filter(|(_, item)| item.is_ready(now) && self.has_slot(item.class()));
        let ready = ready.map(|(chunk, item)| Reverse((item.order(chunk), *chunk)));
        let mut ready: BinaryHeap<_> = ready.collect();
        while let Some(Reverse((_, chunk))) = ready.pop() {
            let class = self.missing.get(&chunk).map(MissingItem::class);
            if !class.is_some_and(|class| self.has_slot(class)) {
                continue;
            }
            let route = plan.route(&chunk);
            let choice = self.choose(&chunk, &route, plan.weighing(), now);
            let Some(item) = self.missing.get_mut(&chunk) else { continue };
            match choice {
                SourceChoice::Use(source) => {
                    item.in_flight = Some(source.clone());
                    *self.in_flight.entry(item.class()).or_default() += 1;
                    actions.push(FetchAction::Fetch { chunk, source });
                }
                // Always later than now, so that the caller's timer doesn't spin.
                SourceChoice::WaitUntil(time) => item.not_before = time.max(now + TIMER_STEP),
            }
        }
        self.plan = Some(plan);
    }

    fn has_slot(&self, class: FetchClass) -> bool {
        let limit = match class {
            FetchClass::Offered => self.options.parallel_fetches,
            FetchClass::External => self.options.parallel_external,
            FetchClass::Poll => self.options.parallel_polls,
        };
        self.in_flight.get(&class).is_none_or(|in_flight| *in_flight < limit)
    }

    fn choose(
        &mut self,
        chunk: &ContentDigest,
        route: &ChunkRoute,
        weighing: DistributionGoal,
        now: MonoTime,
    ) -> SourceChoice {
        let Some(item) = self.missing.get_mut(chunk) else {
            return SourceChoice::WaitUntil(now + self.options.settle);
        };
        let peers = |names: &[InstanceName]| -> Vec<ChunkSource> {
            names.iter().cloned().map(ChunkSource::Peer).collect()
        };
        let external: Vec<_> =
            self.options.external_sources.iter().copied().map(ChunkSource::External).collect();
        let far = peers(&route.far);
        let (inside, outside) = if route.near.is_empty() {
            (far, external)
        } else {
            (peers(&route.near), [far, external].concat())
        };
        // With `Time` the waits before asking outside of the tree are shorter.
        let haste = match weighing {
            DistributionGoal::Time => TIME_HASTE,
            DistributionGoal::OriginBytes => 1,
        };
        let stuck = is_stuck(item, &self.options, now, haste);
        let free = |item: &MissingItem, source: &ChunkSource| {
            let penalty = self.penalties.avoided_until(source, now);
            penalty.max(item.avoided_until(source, now))
        };
        if let Some(source) = item.offered.clone() {
            if free(item, &source).is_none() {
                return SourceChoice::Use(source);
            }
            item.offered = None;
        }
        if !stuck && let Some(source) = inside.iter().find(|source| free(item, source).is_none()) {
            return SourceChoice::Use(source.clone());
        }
        let inside_at = inside.iter().filter_map(|source| free(item, source)).min();
        // Only senders that fail let the item go outside; a live one that waits itself doesn't.
        let failing = inside.iter().all(|source| {
            self.penalties.avoided_until(source, now).is_some() || !item.is_waiting(source, now)
        });
        if !inside.is_empty() && !stuck && !failing {
            return SourceChoice::WaitUntil(inside_at.unwrap_or(now));
        }
        if !inside.is_empty() && !stuck {
            let delay = outside_delay(&self.options, item, &mut self.random) / haste;
            let earliest = item.wanted_at + self.options.settle / haste;
            let outside_at = *item.outside_at.get_or_insert(earliest.max(now) + delay);
            if outside_at > now {
                return SourceChoice::WaitUntil(
                    inside_at.map_or(outside_at, |at| at.min(outside_at)),
                );
            }
        }
        item.pending_since = None;
        item.outside_at = None;
        match outside.iter().find(|source| free(item, source).is_none()) {
            Some(source) => SourceChoice::Use(source.clone()),
            None => {
                let outside_at = outside.iter().filter_map(|source| free(item, source)).min();
                SourceChoice::WaitUntil(outside_at.min(inside_at.or(outside_at)).unwrap_or(now))
            }
        }
    }

    fn count_in_flight(&mut self) {
        self.in_flight.clear();
        for item in self.missing.values().filter(|item| item.in_flight.is_some()) {
            *self.in_flight.entry(item.class()).or_default() += 1;
        }
    }
}

/// Updates position and depth of `item`.
fn place(item: &mut MissingItem, chunk: &ContentDigest, plan: Option<&DistributionPlan>) {
    if let Some(plan) = plan {
        (item.position, item.depth) = plan.place(chunk);
    }
}

/// When the external source, at its rate, gets to the byte at `offset`.
fn release_delay(external_bytes_per_s: Option<ByteCount>, offset: u64) -> Duration {
    match external_bytes_per_s {
        Some(rate) => Duration::from_secs_f64(offset as f64 / rate.0.max(1) as f64),
        None => Duration::ZERO,
    }
}

/// Whether live senders have been without the chunk for so long that one below them tries the
/// outside. The first of a tree doesn't wait: it asks outside anyway.
fn is_stuck(item: &MissingItem, options: &FetchOptions, now: MonoTime, haste: u32) -> bool {
    let level = item.depth.min(STUCK_LEVELS).saturating_sub(1);
    let limit = options.stuck_limit * STUCK_FACTOR.pow(level) / haste;
    item.pending_since.is_some_and(|since| now - since >= limit)
}

/// Random delay before asking outside of the tree; the first positions tend to go first.
fn outside_delay(options: &FetchOptions, item: &MissingItem, random: &mut StdRng) -> Duration {
    let positions = item.position.clamp(1, SPACING_POSITIONS) as u32;
    options.outside_spacing.mul_f64(random.random::<f64>()) * positions
}
