//! When an entry appends a snapshot or a restart.

use std::time::Duration;

use celeryshed_base::{LogOffset, UnixMillis};

use super::replica::SnapshotPosition;

/// Maximum delay per rank. Two polling intervals, so that an entry has read the snapshot of the
/// entry ranked before it when its own delay ends.
const MAX_RANK_DELAY: Duration = Duration::from_secs(4);

/// Decides when an entry appends a snapshot.
///
/// A snapshot is due when the newest usable snapshot is older than a quarter of the retention
/// period, or when the log has no usable snapshot. Each entry then waits in proportion to its
/// rendezvous rank, so that usually only one entry appends a snapshot.
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
    /// Append time of the newest usable snapshot.
    snapshot_at: Option<UnixMillis>,
    no_snapshot_since: Option<UnixMillis>,
    records_missing_since: Option<UnixMillis>,
}

impl SnapshotSchedule {
    /// A schedule for a log that retains records for `retention`.
    pub fn new(retention: Duration) -> Self {
        let log_now = UnixMillis(0);
        Self {
            retention,
            log_now,
            snapshot_at: None,
            no_snapshot_since: None,
            records_missing_since: None,
        }
    }

    /// Records the newest snapshot, the oldest record and the log's current time after a read that
    /// found no missing records.
    pub fn observe(
        &mut self,
        newest: Option<SnapshotPosition>,
        oldest: LogOffset,
        log_now: UnixMillis,
    ) {
        self.log_now = log_now;
        self.records_missing_since = None;
        let usable = newest.filter(|position| position.folded_to >= oldest);
        self.snapshot_at = usable.map(|position| position.appended_at);
        self.no_snapshot_since = match self.snapshot_at {
            Some(_) => None,
            None => self.no_snapshot_since.or(Some(log_now)),
        };
    }

    /// Whether the entry with this rank, from 0, among `entries` entries appends a snapshot now.
    pub fn is_due(&self, rank: usize, entries: usize) -> bool {
        let delay = self.rank_delay(entries) * u32::try_from(rank).unwrap_or(u32::MAX);
        match (self.snapshot_at, self.no_snapshot_since) {
            (Some(at), _) => self.log_now.since(at) >= self.retention / 4 + delay,
            (None, Some(since)) => self.log_now.since(since) >= delay,
            (None, None) => false,
        }
    }

    /// Records that this entry has missing records at the log's current time `log_now`.
    pub fn observe_missing(&mut self, log_now: UnixMillis) {
        self.log_now = log_now;
        self.records_missing_since = self.records_missing_since.or(Some(log_now));
    }

    /// Whether the entry with this rank, from 0, among `entries` entries appends a restart now.
    ///
    /// An entry without missing records appends a snapshot within an eighth of the retention
    /// period, the sum of all rank delays. No usable snapshot during a quarter therefore shows
    /// that every entry has missing records.
    pub fn restart_is_due(&self, rank: usize, entries: usize) -> bool {
        let delay = self.rank_delay(entries) * u32::try_from(rank).unwrap_or(u32::MAX);
        let since = self.records_missing_since;
        since.is_some_and(|since| self.log_now.since(since) >= self.retention / 4 + delay)
    }

    /// Delay per rank; the delays of all ranks sum up to an eighth of the retention period or less.
    fn rank_delay(&self, entries: usize) -> Duration {
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        MAX_RANK_DELAY.min(self.retention / 8 / entries)
    }
}
