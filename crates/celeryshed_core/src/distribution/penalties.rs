//! Senders that are avoided after failures.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::MonoTime;

use super::plan::ChunkSource;

/// Backoff after the first failure of a sender.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);

/// Backoff after the first stall of a sidecar. Longer than the 5 s that a stall delays a transfer:
/// with a backoff of 0.5 s, transfers spent most of their time at stalling senders, and 3 of 8
/// versions were not live within 120 s.
const FIRST_STALL_BACKOFF: Duration = Duration::from_secs(8);

/// Maximum backoff of a sidecar.
const PEER_BACKOFF_LIMIT: Duration = Duration::from_secs(30);

/// Maximum backoff of an external source. Shorter than that of a sidecar, because all sidecars in a
/// chunk's tree wait for the root, which uses the external source.
const EXTERNAL_BACKOFF_LIMIT: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
struct SenderPenalty {
    until: MonoTime,
    backoff: Duration,
}

/// Senders with recent failures, and until when each is avoided.
#[derive(Clone, Debug, Default)]
pub(super) struct SenderPenalties {
    penalties: BTreeMap<ChunkSource, SenderPenalty>,
}

impl SenderPenalties {
    /// Avoids `source` after a failure that took no time to detect, for twice as long as the last
    /// time.
    pub(super) fn record_failure(&mut self, source: &ChunkSource, now: MonoTime) {
        self.record(source, FIRST_BACKOFF, now);
    }

    /// Avoids `source` after a stalled transfer, for twice as long as the last time.
    pub(super) fn record_stall(&mut self, source: &ChunkSource, now: MonoTime) {
        let first = match source {
            ChunkSource::Peer(_) => FIRST_STALL_BACKOFF,
            ChunkSource::External(_) => FIRST_BACKOFF,
        };
        self.record(source, first, now);
    }

    fn record(&mut self, source: &ChunkSource, first: Duration, now: MonoTime) {
        let limit = match source {
            ChunkSource::Peer(_) => PEER_BACKOFF_LIMIT,
            ChunkSource::External(_) => EXTERNAL_BACKOFF_LIMIT,
        };
        // Concurrent fetches from one sender fail together and count as one failure.
        match self.penalties.get_mut(source) {
            Some(penalty) if penalty.until > now => {}
            Some(penalty) => {
                penalty.backoff = (penalty.backoff * 2).max(first).min(limit);
                penalty.until = now + penalty.backoff;
            }
            None => {
                let penalty = SenderPenalty { until: now + first, backoff: first };
                self.penalties.insert(source.clone(), penalty);
            }
        }
    }

    /// Avoids `source` for the pause that it requested, up to `PEER_BACKOFF_LIMIT`.
    pub(super) fn record_busy(&mut self, source: &ChunkSource, pause: Duration, now: MonoTime) {
        let backoff = self.penalties.get(source).map_or(FIRST_BACKOFF, |penalty| penalty.backoff);
        let pause = pause.min(PEER_BACKOFF_LIMIT);
        self.penalties.insert(source.clone(), SenderPenalty { until: now + pause, backoff });
    }

    /// Clears the failures of `source`.
    pub(super) fn record_success(&mut self, source: &ChunkSource) {
        self.penalties.remove(source);
    }

    /// Time at which `source` may be used again; `None` if it may be used now.
    pub(super) fn avoided_until(&self, source: &ChunkSource, now: MonoTime) -> Option<MonoTime> {
        self.penalties.get(source).map(|penalty| penalty.until).filter(|until| *until > now)
    }
}
