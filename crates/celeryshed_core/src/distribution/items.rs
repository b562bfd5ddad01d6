//! Missing chunks and manifests.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{ContentDigest, MonoTime, common_derives};

use super::plan::ChunkSource;

/// Delay before a request for a chunk is repeated to a sender that refused it once.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum of the delay, which doubles with each refusal.
const REFUSAL_BACKOFF_LIMIT: Duration = Duration::from_secs(30);

/// A sender that is not asked for one item until a given time.
#[derive(Clone, Copy, Debug)]
pub(super) struct AvoidedSender {
    until: MonoTime,
    backoff: Duration,
    /// Whether the sender is avoided because it doesn't hold the item yet, not because it refused.
    is_pending: bool,
}

common_derives! { index:
    /// Kinds of fetches; each has its own limit of fetches in progress.
    pub(super) enum FetchClass {
        /// From a sender that has offered the item.
        Offered,
        /// By the root of the home region's tree, from an external source.
        External,
        /// Long poll of a sender that may not hold the item yet.
        Poll,
    }
}

/// A missing chunk or manifest.
#[derive(Clone, Debug)]
pub(super) struct MissingItem {
    /// Size in bytes; 0 for a manifest, whose size isn't known.
    pub(super) size: u64,
    /// Priority of the most urgent version that contains the item; 0 is the most urgent.
    pub(super) version_rank: usize,
    pub(super) added_at: MonoTime,
    /// Earliest time of the next request for the item.
    pub(super) not_before: MonoTime,
    /// Source of the fetch in progress.
    pub(super) in_flight: Option<ChunkSource>,
    /// A sender that has offered the item.
    pub(super) offered: Option<ChunkSource>,
    /// Position of this sidecar in the item's tree.
    pub(super) position: usize,
    /// Depth of this sidecar in the item's tree.
    pub(super) depth: u32,
    /// Number of long polls that ended without the item.
    pub(super) polls: u32,
    /// Time of the first answer, from any sender, that it doesn't hold the item yet; `None` after a
    /// request outside of the tree.
    pub(super) pending_since: Option<MonoTime>,
    /// Time of the first such answer from the current sender.
    pub(super) sender_pending_since: Option<MonoTime>,
    /// Earliest time of a request outside of the tree; `None` until all senders in the tree have
    /// failed.
    pub(super) outside_at: Option<MonoTime>,
    /// Senders that are not asked for the item for some time.
    pub(super) avoided: BTreeMap<ChunkSource, AvoidedSender>,
}

impl MissingItem {
    pub(super) fn new(size: u64, version_rank: usize, now: MonoTime) -> Self {
        Self {
            size,
            version_rank,
            added_at: now,
            not_before: now,
            in_flight: None,
            offered: None,
            position: 0,
            depth: 0,
            polls: 0,
            pending_since: None,
            sender_pending_since: None,
            outside_at: None,
            avoided: BTreeMap::new(),
        }
    }

    /// Whether a fetch of the item may start now.
    pub(super) fn is_ready(&self, now: MonoTime) -> bool {
        self.in_flight.is_none() && self.not_before <= now
    }

    /// The kind of fetch, which determines the limit that applies.
    pub(super) fn class(&self) -> FetchClass {
        match (&self.offered, self.depth) {
            (Some(_), _) => FetchClass::Offered,
            (None, 0) => FetchClass::External,
            (None, _) => FetchClass::Poll,
        }
    }

    /// Sort key for fetches, lowest first: urgent versions, then items that a sender is known to
    /// hold, then a small depth. Each unsuccessful poll counts as one more level of depth, so that
    /// unavailable items don't occupy all poll slots.
    pub(super) fn order(&self, digest: &ContentDigest) -> (usize, bool, u32, u64) {
        let is_poll = self.class() == FetchClass::Poll;
        let level = if is_poll { self.depth + self.polls } else { self.depth };
        (self.version_rank, is_poll, level, digest.leading_u64() ^ self.position as u64)
    }

    /// Avoids `source` for this item, each time for twice as long.
    pub(super) fn avoid(&mut self, source: &ChunkSource, now: MonoTime) {
        let previous = self.avoided.get(source).map(|avoided| avoided.backoff * 2);
        let backoff = previous.unwrap_or(REFUSAL_BACKOFF).min(REFUSAL_BACKOFF_LIMIT);
        let avoided = AvoidedSender { until: now + backoff, backoff, is_pending: false };
        self.avoided.insert(source.clone(), avoided);
    }

    /// Records an answer of `source` that it doesn't hold the item yet. If `source` has answered so
    /// for `limit`, it is avoided for as long, so that the next source is asked.
    pub(super) fn record_pending(&mut self, source: &ChunkSource, limit: Duration, now: MonoTime) {
        self.polls += 1;
        self.outside_at = None;
        self.pending_since.get_or_insert(now);
        let since = *self.sender_pending_since.get_or_insert(now);
        if now - since >= limit {
            let backoff = REFUSAL_BACKOFF / 2;
            let avoided = AvoidedSender { until: now + limit, backoff, is_pending: true };
            self.avoided.insert(source.clone(), avoided);
            self.sender_pending_since = None;
        }
    }

    /// Whether `source` is avoided because it doesn't hold the item yet.
    pub(super) fn is_pending_at(&self, source: &ChunkSource, now: MonoTime) -> bool {
        self.avoided.get(source).is_some_and(|avoided| avoided.is_pending && avoided.until > now)
    }

    /// Time at which `source` may be asked for this item again; `None` if it may be asked now.
    pub(super) fn avoided_until(&self, source: &ChunkSource, now: MonoTime) -> Option<MonoTime> {
        self.avoided.get(source).map(|avoided| avoided.until).filter(|until| *until > now)
    }

    /// Clears the records about senders, which a changed plan may no longer include.
    pub(super) fn clear_senders(&mut self) {
        self.avoided.clear();
        self.outside_at = None;
        self.sender_pending_since = None;
    }
}
