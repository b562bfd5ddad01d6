//! Chunks that are still missing.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{ContentDigest, MonoTime, common_derives};

use super::plan::ChunkSource;

/// First pause before a sender that refused a chunk is asked for it again.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(500);

/// Longest such pause.
const REFUSAL_BACKOFF_LIMIT: Duration = Duration::from_secs(30);

/// A sender that isn't asked for this item for a while.
#[derive(Clone, Copy, Debug)]
pub(super) struct AvoidedSender {
    until: MonoTime,
    backoff: Duration,
    /// Whether it is alive and waits for the item itself.
    waits: bool,
}

common_derives! { index:
    /// Kinds of fetches with limits of their own.
    pub(super) enum FetchClass {
        /// A sender has said that it holds the chunk.
        Offered,
        /// By the first of a tree from an external source.
        External,
        /// Asks whether the chunk is there yet.
        Poll,
    }
}

/// A missing chunk or manifest.
#[derive(Clone, Debug)]
pub(super) struct MissingItem {
    /// Size; 0 for a manifest, whose size isn't known.
    pub(super) size: u64,
    /// Rank of the most urgent version that needs it, from 0.
    pub(super) rank: usize,
    pub(super) wanted_at: MonoTime,
    /// Not asked for before.
    pub(super) not_before: MonoTime,
    pub(super) in_flight: Option<ChunkSource>,
    /// A sender that says it holds the item.
    pub(super) offered: Option<ChunkSource>,
    pub(super) position: usize,
    pub(super) depth: u32,
    /// Long polls that ended without the chunk.
    pub(super) polls: u32,
    /// Since when live senders answer that they don't hold it yet.
    pub(super) pending_since: Option<MonoTime>,
    /// Since when the current sender answers so.
    pub(super) sender_pending_since: Option<MonoTime>,
    /// When it may be asked for outside of the tree.
    pub(super) outside_at: Option<MonoTime>,
    pub(super) avoided: BTreeMap<ChunkSource, AvoidedSender>,
}

impl MissingItem {
    pub(super) fn new(size: u64, rank: usize, now: MonoTime) -> Self {
        Self {
            size,
            rank,
            wanted_at: now,
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

    /// Whether it may be asked for now.
    pub(super) fn is_ready(&self, now: MonoTime) -> bool {
        self.in_flight.is_none() && self.not_before <= now
    }

    /// The limit that applies to it.
    pub(super) fn class(&self) -> FetchClass {
        match (&self.offered, self.depth) {
            (Some(_), _) => FetchClass::Offered,
            (None, 0) => FetchClass::External,
            (None, _) => FetchClass::Poll,
        }
    }

    /// Order of fetching: urgent versions, items that certainly wait somewhere, then short distances from the source; each poll
    /// without success puts the item behind one more level, so that waiting items don't hold
    /// all slots.
    pub(super) fn order(&self, digest: &ContentDigest) -> (usize, bool, u32, u64) {
        let polled = self.class() == FetchClass::Poll;
        let level = if polled { self.depth + self.polls } else { self.depth };
        (self.rank, polled, level, digest.leading_u64() ^ self.position as u64)
    }

    /// Avoids `source` for this item, longer each time.
    pub(super) fn avoid(&mut self, source: &ChunkSource, now: MonoTime) {
        let last = self.avoided.get(source).map(|avoided| avoided.backoff * 2);
        let backoff = last.unwrap_or(REFUSAL_BACKOFF).min(REFUSAL_BACKOFF_LIMIT);
        let avoided = AvoidedSender { until: now + backoff, backoff, waits: false };
        self.avoided.insert(source.clone(), avoided);
    }

    /// Records that `source` is alive and doesn't hold the item yet. After `patience` the next
    /// source is asked for as long.
    pub(super) fn record_pending(
        &mut self,
        source: &ChunkSource,
        patience: Duration,
        now: MonoTime,
    ) {
        self.polls += 1;
        self.outside_at = None;
        self.pending_since.get_or_insert(now);
        let since = *self.sender_pending_since.get_or_insert(now);
        if now - since >= patience {
            let backoff = REFUSAL_BACKOFF / 2;
            let avoided = AvoidedSender { until: now + patience, backoff, waits: true };
            self.avoided.insert(source.clone(), avoided);
            self.sender_pending_since = None;
        }
    }

    /// Whether `source` is alive and waits for the item itself.
    pub(super) fn is_waiting(&self, source: &ChunkSource, now: MonoTime) -> bool {
        self.avoided.get(source).is_some_and(|avoided| avoided.waits && avoided.until > now)
    }

    /// When `source` may be asked for this item again; `None` when now.
    pub(super) fn avoided_until(&self, source: &ChunkSource, now: MonoTime) -> Option<MonoTime> {
        self.avoided.get(source).map(|avoided| avoided.until).filter(|until| *until > now)
    }

    /// Forgets what was learned from senders that may no longer be asked.
    pub(super) fn forget_senders(&mut self) {
        self.avoided.clear();
        self.outside_at = None;
        self.sender_pending_since = None;
    }
}
