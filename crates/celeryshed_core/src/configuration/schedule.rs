//! When an entry appends a snapshot.

use std::time::Duration;

use celeryshed_base::{LogOffset, UnixMillis};

use super::fold::SnapshotPosition;

/// Longest pause between the turns of two entries: two polls, so that the next one sees the
/// snapshot of the one before it.
const MAX_TURN: Duration = Duration::from_secs(4);

/// Decides when an entry appends a snapshot.
///
/// A snapshot is due when the newest usable one is older than a quarter of the retention period,
/// or when there is none. Entries then take turns in the order of their rendezvous rank, so that
/// usually one writes.
///
/// ```
/// use celeryshed_base::{LogOffset, UnixMillis};
/// use celeryshed_core::configuration::{SnapshotPosition, SnapshotSchedule};
/// use std::time::Duration;
/// let mut schedule = SnapshotSchedule::new(Duration::from_secs(4000));
/// let position = SnapshotPosition {
///     offset: LogOffset(9),
///     folded_to: LogOffset(9),
///     appended_at: UnixMillis(0),
/// };
/// let mut due = |at_s: u64, rank| {
///     schedule.observe(Some(position), LogOffset(0), UnixMillis(at_s * 1000));
///     schedule.is_due(rank, 20)
/// };
/// assert!(!due(999, 0));
/// assert!(due(1000, 0));
/// assert!(!due(1000, 1));
/// assert!(due(1004, 1));
/// ```
#[derive(Clone, Debug)]
pub struct SnapshotSchedule {
    retention: Duration,
    log_now: UnixMillis,
    appended_at: Option<UnixMillis>,
    lacking_since: Option<UnixMillis>,
    missing_since: Option<UnixMillis>,
}

impl SnapshotSchedule {
    /// A schedule for a log that keeps records for `retention`.
    pub fn new(retention: Duration) -> Self {
        let log_now = UnixMillis(0);
        Self { retention, log_now, appended_at: None, lacking_since: None, missing_since: None }
    }

    /// Takes note of the newest snapshot, the oldest record and the time at the log.
    pub fn observe(
        &mut self,
        newest: Option<SnapshotPosition>,
        oldest: LogOffset,
        log_now: UnixMillis,
    ) {
        self.log_now = log_now;
        self.missing_since = None;
        let usable = newest.filter(|position| position.folded_to >= oldest);
        self.appended_at = usable.map(|position| position.appended_at);
        self.lacking_since = match self.appended_at {
            Some(_) => None,
            None => self.lacking_since.or(Some(log_now)),
        };
    }

    /// Whether the entry with this rank among `entries` appends a snapshot now.
    pub fn is_due(&self, rank: usize, entries: usize) -> bool {
        let turn = self.turn(entries) * u32::try_from(rank).unwrap_or(u32::MAX);
        match (self.appended_at, self.lacking_since) {
            (Some(at), _) => self.log_now.since(at) >= self.retention / 4 + turn,
            (None, Some(since)) => self.log_now.since(since) >= turn,
            (None, None) => false,
        }
    }

    /// Takes note that this entry misses records at this time of the log.
    pub fn observe_missing(&mut self, log_now: UnixMillis) {
        self.log_now = log_now;
        self.missing_since = self.missing_since.or(Some(log_now));
    }

    /// Whether the entry with this rank among `entries` appends a restart now.
    ///
    /// An entry that still follows the log appends a snapshot within an eighth of the retention
    /// period, the time of all turns, so a quarter without one shows that no entry follows it.
    pub fn restart_is_due(&self, rank: usize, entries: usize) -> bool {
        let turn = self.turn(entries) * u32::try_from(rank).unwrap_or(u32::MAX);
        let since = self.missing_since;
        since.is_some_and(|since| self.log_now.since(since) >= self.retention / 4 + turn)
    }

    /// All turns together take at most an eighth of the retention period.
    fn turn(&self, entries: usize) -> Duration {
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        MAX_TURN.min(self.retention / 8 / entries)
    }
}
