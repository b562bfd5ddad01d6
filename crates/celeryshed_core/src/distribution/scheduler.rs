//! The scheduler of a sidecar's fetches.

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

/// Factor of [`FetchOptions::stuck_limit`] per level of the tree. Each level has twice as many
/// sidecars, so with a factor of four a level sends half as many requests as the one above it, and
/// a long outage of the store costs few extra copies.
const STUCK_LIMIT_FACTOR: u32 = 4;

/// Level of the tree below which the stuck limit no longer grows.
const STUCK_LIMIT_LEVELS: u32 = 8;

/// Divisor of the waits before asking outside of the tree under [`DistributionGoal::Time`].
const TIME_GOAL_DIVISOR: u32 = 4;

/// Position after which the random delay before asking outside of the tree no longer grows.
const OUTSIDE_DELAY_POSITIONS: usize = 30;

/// Minimum wait that the scheduler requests from the caller's timer.
const MIN_TIMER_WAIT: Duration = Duration::from_millis(1);

common_derives! { value:
    /// Why a fetch failed.
    #[derive(Copy)]
    pub enum FetchFailure {
        /// The digest of the received bytes is wrong.
        Corrupt,
        /// The sender neither holds nor expects the chunk.
        NotExpected,
        /// The sender expects the chunk but doesn't hold it yet.
        Pending,
        /// The transfer made no progress within the stall timeout.
        TimedOut,
        /// The connection failed or was closed.
        Unreachable,
        /// The sender refuses requests for this long.
        Busy(Duration),
    }
}

/// Input of [`FetchScheduler::handle`].
#[derive(Clone, Debug)]
pub enum FetchEvent {
    /// The configuration assigns these versions, in order of priority; replaces the previous list.
    VersionsDesired(Vec<DesiredVersion>),
    /// A manifest was decoded and agrees with the configuration.
    ManifestRead {
        /// Digest of the manifest.
        manifest: ContentDigest,
        /// The chunks that the manifest lists, in order.
        chunks: Vec<ChunkRef>,
    },
    /// A manifest has the right digest but contradicts the configuration.
    ManifestRejected {
        /// Digest of the manifest.
        manifest: ContentDigest,
    },
    /// The plan was recomputed because the membership or the services that share a version changed.
    PlanChanged(DistributionPlan),
    /// A chunk or manifest arrived and was verified.
    ChunkArrived {
        /// Digest of the chunk or manifest.
        chunk: ContentDigest,
        /// Size of the received content.
        size: ByteCount,
        /// Sender of the content.
        source: ChunkSource,
    },
    /// A sidecar offers a chunk that it holds, which saves polling for the chunk.
    ChunkOffered {
        /// Digest of the offered chunk.
        chunk: ContentDigest,
        /// Sidecar that holds the chunk.
        source: ChunkSource,
    },
    /// A fetch ended without the chunk.
    FetchFailed {
        /// Digest of the requested chunk.
        chunk: ContentDigest,
        /// Sender that was asked.
        source: ChunkSource,
        /// Why the chunk didn't arrive; decides when the sender is asked again.
        failure: FetchFailure,
    },
    /// The time returned by [`FetchScheduler::next_timer`] has been reached.
    TimerFired,
}

common_derives! { value:
    /// An action that the caller of [`FetchScheduler::handle`] carries out.
    pub enum FetchAction {
        /// Fetch a chunk or manifest.
        Fetch {
            /// Digest of the item to fetch.
            chunk: ContentDigest,
            /// Sender to ask.
            source: ChunkSource,
        },
        /// Tell a child in the tree that this sidecar holds a chunk.
        Offer {
            /// Digest of the held chunk.
            chunk: ContentDigest,
            /// Sidecar to tell.
            instance: InstanceName,
        },
        /// Abort the fetch of a chunk that is no longer needed.
        Cancel {
            /// Digest of the chunk.
            chunk: ContentDigest,
        },
        /// Free the memory of a held chunk.
        Drop {
            /// Digest of the chunk.
            chunk: ContentDigest,
        },
        /// All chunks of a desired version are held.
        VersionComplete {
            /// Digest of the version's manifest.
            manifest: ContentDigest,
        },
        /// A desired version doesn't fit into memory and is not fetched.
        VersionTooLarge {
            /// Digest of the version's manifest.
            manifest: ContentDigest,
            /// Size of the version, from the configuration.
            size: ByteCount,
        },
    }
}

enum SourceChoice {
    Use(ChunkSource),
    WaitUntil(MonoTime),
}

/// Decides which chunks one sidecar fetches, when and from which source.
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
    /// A scheduler without any chunks; `seed` determines its random delays.
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

    /// Processes an event and returns the resulting actions.
    pub fn handle(&mut self, event: FetchEvent, now: MonoTime) -> Vec<FetchAction> {
        let mut actions = Vec::new();
        match event {
            FetchEvent::VersionsDesired(desired) => self.set_desired(&desired, now, &mut actions),
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
                self.record_arrival(chunk, size, &mut actions);
                self.report_complete(&mut actions);
            }
            FetchEvent::ChunkOffered { chunk, source } => self.record_offer(&chunk, source, now),
            FetchEvent::FetchFailed { chunk, source, failure } => {
                self.record_failure(&chunk, &source, failure, now);
            }
            FetchEvent::TimerFired => {}
        }
        self.start_fetches(now, &mut actions);
        actions
    }

    /// Whether this sidecar holds the chunk or manifest.
    pub fn holds(&self, chunk: &ContentDigest) -> bool {
        self.held.contains_key(chunk)
    }

    /// Whether the chunk may still arrive: it is missing, or it may be listed in a manifest that
    /// has not been read yet.
    pub fn expects(&self, chunk: &ContentDigest) -> bool {
        self.missing.contains_key(chunk) || self.versions.awaits_manifest()
    }

    /// Size of a missing chunk; `None` for other chunks, and for manifests, whose size isn't known.
    pub fn size_of(&self, chunk: &ContentDigest) -> Option<ByteCount> {
        let item = self.missing.get(chunk)?;
        (item.size > 0).then_some(ByteCount(item.size))
    }

    /// Size of all held chunks and manifests.
    pub fn held_bytes(&self) -> ByteCount {
        ByteCount(self.held_bytes)
    }

    /// The chunks of a desired version in order; `None` while the version is incomplete.
    pub fn complete_chunks(&self, manifest: &ContentDigest) -> Option<&[ChunkRef]> {
        let entry =
            self.versions.desired.iter().find(|entry| entry.version.manifest == *manifest)?;
        if entry.complete { entry.chunks.as_deref() } else { None }
    }

    /// Time at which the caller must send [`FetchEvent::TimerFired`]; `None` if no item is delayed.
    ///
    /// Items whose delay is over wait for a fetch slot, which another event frees.
    pub fn next_timer(&self, now: MonoTime) -> Option<MonoTime> {
        let waiting = self.missing.values().filter(|item| item.in_flight.is_none());
        waiting.map(|item| item.not_before).filter(|time| *time > now).min()
    }

    fn set_desired(
        &mut self,
        desired: &[DesiredVersion],
        now: MonoTime,
        actions: &mut Vec<FetchAction>,
    ) {
        for version in self.versions.replace(desired, self.options.memory) {
            let DesiredVersion { manifest, size } = version;
            actions.push(FetchAction::VersionTooLarge { manifest, size });
        }
        let complete = self.versions.desired.iter().filter(|entry| entry.complete);
        actions.extend(
            complete.map(|entry| FetchAction::VersionComplete { manifest: entry.version.manifest }),
        );
        self.refresh_missing(now, actions);
    }

    /// Recomputes the missing items from the desired versions.
    fn refresh_missing(&mut self, now: MonoTime, actions: &mut Vec<FetchAction>) {
        let mut previous = std::mem::take(&mut self.missing);
        let accepted =
            self.versions.desired.iter().enumerate().filter(|(_, entry)| !entry.rejected);
        for (version_rank, entry) in accepted {
            let manifest = ChunkRef { digest: entry.version.manifest, size: ByteCount(0) };
            let mut offset = 0;
            for chunk in std::iter::once(&manifest).chain(entry.chunks.iter().flatten()) {
                let release = release_delay(self.options.external_bytes_per_s, offset);
                offset += chunk.size.0;
                if self.held.contains_key(&chunk.digest) || self.missing.contains_key(&chunk.digest)
                {
                    continue;
                }
                let item = match previous.remove(&chunk.digest) {
                    Some(item) => MissingItem { version_rank, ..item },
                    None => {
                        let mut item = MissingItem::new(chunk.size.0, version_rank, now);
                        item.not_before = now + release;
                        set_tree_position(&mut item, &chunk.digest, self.plan.as_ref());
                        item
                    }
                };
                self.missing.insert(chunk.digest, item);
            }
        }
        let dropped = previous.iter().filter(|(_, item)| item.in_flight.is_some());
        actions.extend(dropped.map(|(chunk, _)| FetchAction::Cancel { chunk: *chunk }));
        self.count_in_flight();
        self.report_complete(actions);
        self.free_memory(actions);
    }

    fn change_plan(&mut self, plan: DistributionPlan) {
        if self.plan.as_ref() == Some(&plan) {
            return;
        }
        for (chunk, item) in &mut self.missing {
            set_tree_position(item, chunk, Some(&plan));
            item.clear_senders();
        }
        self.plan = Some(plan);
    }

    fn record_arrival(
        &mut self,
        chunk: ContentDigest,
        size: ByteCount,
        actions: &mut Vec<FetchAction>,
    ) {
        // A chunk that arrives after its fetch was cancelled is not counted as held.
        if self.missing.remove(&chunk).is_some() {
            self.held.insert(chunk, size.0);
            self.held_bytes += size.0;
            let children = self.plan.as_ref().map(|plan| plan.children(&chunk));
            let offers = children.into_iter().flatten();
            actions.extend(offers.map(|instance| FetchAction::Offer { chunk, instance }));
        }
        self.count_in_flight();
    }

    fn record_offer(&mut self, chunk: &ContentDigest, source: ChunkSource, now: MonoTime) {
        let Some(item) = self.missing.get_mut(chunk) else { return };
        if self.penalties.avoided_until(&source, now).is_none() {
            item.offered = Some(source);
            item.not_before = now;
        }
    }

    fn report_complete(&mut self, actions: &mut Vec<FetchAction>) {
        let completed = self.versions.mark_complete(&self.held);
        let action_for = |manifest| FetchAction::VersionComplete { manifest };
        actions.extend(completed.into_iter().map(action_for));
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
            FetchFailure::NotExpected | FetchFailure::Pending => {}
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
            FetchFailure::NotExpected => item.avoid(source, now),
            FetchFailure::Pending => item.record_pending(source, self.options.pending_limit, now),
            FetchFailure::Corrupt
            | FetchFailure::TimedOut
            | FetchFailure::Unreachable
            | FetchFailure::Busy(_) => item.sender_pending_since = None,
        }
        self.count_in_flight();
    }

    /// Drops chunks that belong to no version, then the oldest retained versions, until the held
    /// and missing chunks fit into memory.
    fn free_memory(&mut self, actions: &mut Vec<FetchAction>) {
        let missing: u64 = self.missing.values().map(|item| item.size).sum();
        let needed = |held: u64| held.saturating_add(missing);
        // Held chunks may belong to a version whose manifest has not been read.
        let is_over = needed(self.held_bytes) > self.options.memory.0;
        if self.versions.awaits_manifest() && !is_over {
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
            let choice = self.choose(&chunk, &route, plan.goal(), now);
            let Some(item) = self.missing.get_mut(&chunk) else { continue };
            match choice {
                SourceChoice::Use(source) => {
                    item.in_flight = Some(source.clone());
                    *self.in_flight.entry(item.class()).or_default() += 1;
                    actions.push(FetchAction::Fetch { chunk, source });
                }
                // Later than now, so that the caller's timer doesn't fire in a busy loop.
                SourceChoice::WaitUntil(time) => item.not_before = time.max(now + MIN_TIMER_WAIT),
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
        goal: DistributionGoal,
        now: MonoTime,
    ) -> SourceChoice {
        let Some(item) = self.missing.get_mut(chunk) else {
            return SourceChoice::WaitUntil(now + self.options.propagation_time);
        };
        let peers = |names: &[InstanceName]| -> Vec<ChunkSource> {
            names.iter().cloned().map(ChunkSource::Peer).collect()
        };
        let external: Vec<_> =
            self.options.external_sources.iter().copied().map(ChunkSource::External).collect();
        let remote_peers = peers(&route.remote_peers);
        let (tree_sources, outside_sources) = if route.region_peers.is_empty() {
            (remote_peers, external)
        } else {
            (peers(&route.region_peers), [remote_peers, external].concat())
        };
        // Waits before asking outside of the tree are divided by this number.
        let wait_divisor = match goal {
            DistributionGoal::Time => TIME_GOAL_DIVISOR,
            DistributionGoal::OriginBytes => 1,
        };
        let stuck = is_stuck(item, &self.options, now, wait_divisor);
        let avoided_until = |item: &MissingItem, source: &ChunkSource| {
            let penalty = self.penalties.avoided_until(source, now);
            penalty.max(item.avoided_until(source, now))
        };
        if let Some(source) = item.offered.clone() {
            if avoided_until(item, &source).is_none() {
                return SourceChoice::Use(source);
            }
            item.offered = None;
        }
        if !stuck
            && let Some(source) =
                tree_sources.iter().find(|source| avoided_until(item, source).is_none())
        {
            return SourceChoice::Use(source.clone());
        }
        let tree_retry_at =
            tree_sources.iter().filter_map(|source| avoided_until(item, source)).min();
        // A request goes outside of the tree only if all senders in the tree have failed. A
        // reachable sender that doesn't hold the item yet has not failed.
        let all_failed = tree_sources.iter().all(|source| {
            self.penalties.avoided_until(source, now).is_some() || !item.is_pending_at(source, now)
        });
        if !tree_sources.is_empty() && !stuck && !all_failed {
            return SourceChoice::WaitUntil(tree_retry_at.unwrap_or(now));
        }
        if !tree_sources.is_empty() && !stuck {
            let delay = outside_delay(&self.options, item, &mut self.random) / wait_divisor;
            let earliest = item.added_at + self.options.propagation_time / wait_divisor;
            let outside_at = *item.outside_at.get_or_insert(earliest.max(now) + delay);
            if outside_at > now {
                return SourceChoice::WaitUntil(
                    tree_retry_at.map_or(outside_at, |at| at.min(outside_at)),
                );
            }
        }
        item.pending_since = None;
        item.outside_at = None;
        match outside_sources.iter().find(|source| avoided_until(item, source).is_none()) {
            Some(source) => SourceChoice::Use(source.clone()),
            None => {
                let outside_at =
                    outside_sources.iter().filter_map(|source| avoided_until(item, source)).min();
                SourceChoice::WaitUntil(outside_at.min(tree_retry_at.or(outside_at)).unwrap_or(now))
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

/// Sets the position and depth of `item` from the plan.
fn set_tree_position(
    item: &mut MissingItem,
    chunk: &ContentDigest,
    plan: Option<&DistributionPlan>,
) {
    if let Some(plan) = plan {
        (item.position, item.depth) = plan.tree_position(chunk);
    }
}

/// Time that the external source needs, at its rate, for the bytes before `offset`.
fn release_delay(external_bytes_per_s: Option<ByteCount>, offset: u64) -> Duration {
    match external_bytes_per_s {
        Some(rate) => Duration::from_secs_f64(offset as f64 / rate.0.max(1) as f64),
        None => Duration::ZERO,
    }
}

/// Whether reachable senders have not held the item for so long that this sidecar asks outside of
/// the tree. The root of the home region always asks outside.
fn is_stuck(item: &MissingItem, options: &FetchOptions, now: MonoTime, wait_divisor: u32) -> bool {
    let level = item.depth.min(STUCK_LIMIT_LEVELS).saturating_sub(1);
    let limit = options.stuck_limit * STUCK_LIMIT_FACTOR.pow(level) / wait_divisor;
    item.pending_since.is_some_and(|since| now - since >= limit)
}

/// Random delay before asking outside of the tree; shorter on average near the root.
fn outside_delay(options: &FetchOptions, item: &MissingItem, random: &mut StdRng) -> Duration {
    let positions = item.position.clamp(1, OUTSIDE_DELAY_POSITIONS) as u32;
    options.outside_delay.mul_f64(random.random::<f64>()) * positions
}
