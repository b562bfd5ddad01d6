//! The replica that applies stream `configuration`.

use celeryshed_base::{ConfigRevision, LogOffset, UnixMillis, common_derives};

use super::change::{ChangeRecord, LogRecord, PositionedRecord};
use super::rules::state_after;
use super::state::ConfigurationState;
use super::verdict::{ChangeOutcome, ChangeVerdict, RefusalReason};

common_derives! { value:
    /// Reply to one read of the log.
    pub struct ConfigurationLogPage {
        /// Offset of the oldest record that the log retains.
        pub oldest: LogOffset,
        /// Offset that the next appended record will get.
        pub end: LogOffset,
        /// Records in offset order, starting at the requested offset.
        pub records: Vec<PositionedRecord>,
    }

    /// Result of applying one log page.
    pub struct ReplayReport {
        /// Verdicts on the changes in the page, in offset order.
        pub verdicts: Vec<ChangeVerdict>,
        /// Whether to read the log again.
        pub progress: ReplayProgress,
    }

    /// How far the replica has read the log.
    #[derive(Copy)]
    pub enum ReplayProgress {
        /// Every record of the log is applied.
        CaughtUp,
        /// The log has further records; read again at the next offset.
        Behind,
        /// The log trimmed records before they were applied; the replica needs a snapshot, a peer's
        /// state or a restart record to continue.
        RecordsMissing,
        /// The log ends before records that are already applied; the replica keeps its state.
        LogShortened,
    }

    /// Position and coverage of a snapshot in the log.
    #[derive(Copy)]
    pub struct SnapshotPosition {
        /// Offset of the snapshot's record.
        pub offset: LogOffset,
        /// The snapshot's state includes all records below this offset.
        pub folded_to: LogOffset,
        /// Time of the append, by the log's clock.
        pub appended_at: UnixMillis,
    }
}

/// A restart at offset `n` sets the revision to `(n + 1)` times this number.
///
/// At most `n` changes are accepted below offset `n`, so this revision is higher than any that a
/// process can have reached from the records before the restart.
const RESTART_REVISION_STRIDE: u64 = 1 << 20;

/// Applies configuration records in offset order.
///
/// In any order of reads, trims, snapshots and states installed from peers, the state always equals
/// the result of applying all records below `folded_to`, and its revision never decreases.
///
/// ```
/// use celeryshed_core::configuration::{
///     ConfigurationLogPage, ConfigurationReplica, ReplayProgress,
/// };
/// use celeryshed_base::LogOffset;
/// let mut replica = ConfigurationReplica::default();
/// assert_eq!(replica.revision(), None);
/// let empty = ConfigurationLogPage { oldest: LogOffset(0), end: LogOffset(0), records: vec![] };
/// assert_eq!(replica.apply(&empty).progress, ReplayProgress::CaughtUp);
/// assert!(replica.revision().is_some());
/// ```
#[derive(Clone, Debug, Default)]
pub struct ConfigurationReplica {
    state: ConfigurationState,
    /// Set once the log was read to its end or a peer's state was installed.
    is_initialized: bool,
    records_missing: bool,
    /// End of the search for a usable snapshot; meaningful while records are missing.
    scanned_to: LogOffset,
    newest_snapshot: Option<SnapshotPosition>,
    #[cfg(test)]
    pub(super) skip_snapshot_checks: bool,
}

impl ConfigurationReplica {
    /// The current state; `None` until the log has been read to its end once or a peer's state has
    /// been installed.
    pub fn state(&self) -> Option<&ConfigurationState> {
        self.is_initialized.then_some(&self.state)
    }

    /// The current revision; `None` under the same condition as [`Self::state`].
    pub fn revision(&self) -> Option<ConfigRevision> {
        self.state().map(|state| state.revision)
    }

    /// The revision to send to peers; `None` asks a peer for its state at any revision.
    ///
    /// A replica with missing records needs a state with a later `folded_to`, which may have the
    /// same revision as its own.
    pub fn revision_for_peers(&self) -> Option<ConfigRevision> {
        if self.records_missing { None } else { self.revision() }
    }

    /// Whether the log trimmed records before this replica applied them.
    pub fn records_missing(&self) -> bool {
        self.records_missing
    }

    /// Offset at which to read the log next.
    pub fn next_offset(&self) -> LogOffset {
        if self.records_missing { self.scanned_to } else { self.state.folded_to }
    }

    /// The snapshot with the highest offset read from the log; `None` before the first one.
    pub fn newest_snapshot(&self) -> Option<SnapshotPosition> {
        self.newest_snapshot
    }

    /// The state for a restart record at offset `end`, the end of the log.
    ///
    /// `None` unless the replica has a state, lacks trimmed records and found neither a usable
    /// snapshot nor a restart below `end`. Readers ignore the restart record if another record
    /// gets that offset first.
    pub fn restart_state(&self, end: LogOffset) -> Option<ConfigurationState> {
        let needs_restart = self.records_missing && self.is_initialized && self.scanned_to == end;
        needs_restart.then(|| ConfigurationState { folded_to: end, ..self.state.clone() })
    }

    /// Applies the records of one log page.
    pub fn apply(&mut self, page: &ConfigurationLogPage) -> ReplayReport {
        if page.end < self.state.folded_to {
            return ReplayReport { verdicts: Vec::new(), progress: ReplayProgress::LogShortened };
        }
        self.records_missing = page.oldest > self.state.folded_to;
        if self.records_missing {
            self.scanned_to = self.scanned_to.max(page.oldest);
        }
        let mut verdicts = Vec::new();
        for positioned in &page.records {
            self.track_newest_snapshot(positioned);
            if !self.records_missing {
                verdicts.extend(self.apply_next(positioned));
            } else if self.scan_for_state(positioned, page.oldest) {
                break;
            }
        }
        ReplayReport { verdicts, progress: self.progress_at(page.end) }
    }

    /// Installs a peer's state if it is newer than the local state; returns whether it was
    /// installed.
    pub fn install_state(&mut self, state: &ConfigurationState) -> bool {
        self.is_initialized = true;
        let is_newer = state.revision > self.state.revision
            || (state.revision == self.state.revision && state.folded_to > self.state.folded_to);
        if is_newer {
            self.replace_state(state);
        }
        is_newer
    }

    fn replace_state(&mut self, state: &ConfigurationState) {
        self.state = state.clone();
        self.records_missing = false;
    }

    fn progress_at(&mut self, end: LogOffset) -> ReplayProgress {
        if self.records_missing {
            let has_unscanned = self.scanned_to < end;
            return if has_unscanned {
                ReplayProgress::Behind
            } else {
                ReplayProgress::RecordsMissing
            };
        }
        if self.state.folded_to < end {
            return ReplayProgress::Behind;
        }
        self.is_initialized = true;
        ReplayProgress::CaughtUp
    }

    fn track_newest_snapshot(&mut self, positioned: &PositionedRecord) {
        let LogRecord::Snapshot(state) = &positioned.record else { return };
        let position = SnapshotPosition {
            offset: positioned.offset,
            folded_to: state.folded_to,
            appended_at: positioned.appended_at,
        };
        if self.newest_snapshot.is_none_or(|newest| newest.offset < position.offset) {
            self.newest_snapshot = Some(position);
        }
    }

    /// Searches for a usable snapshot or restart while records are missing. Returns whether a
    /// snapshot was installed, after which reading continues at its `folded_to`.
    fn scan_for_state(&mut self, positioned: &PositionedRecord, oldest: LogOffset) -> bool {
        if positioned.offset < self.scanned_to {
            return false;
        }
        self.scanned_to = positioned.offset.next();
        match &positioned.record {
            LogRecord::Snapshot(state) if self.is_usable(state, positioned.offset, oldest) => {
                self.replace_state(state);
                true
            }
            LogRecord::Restart(state) => {
                self.apply_restart(state, positioned.offset);
                false
            }
            _ => false,
        }
    }

    /// Continues from a restart's state, unless the record was appended at another offset than
    /// its author expected.
    fn apply_restart(&mut self, state: &ConfigurationState, at: LogOffset) {
        if state.folded_to != at {
            return;
        }
        self.replace_state(state);
        self.state.folded_to = at.next();
        self.state.revision = ConfigRevision(at.next().0 * RESTART_REVISION_STRIDE);
    }

    /// Whether the log retains every record from the snapshot's `folded_to` on, and the snapshot
    /// is newer than the local state.
    fn is_usable(&self, state: &ConfigurationState, at: LogOffset, oldest: LogOffset) -> bool {
        #[cfg(test)]
        if self.skip_snapshot_checks {
            return true;
        }
        (oldest..=at).contains(&state.folded_to)
            && state.folded_to > self.state.folded_to
            && state.revision >= self.state.revision
    }

    fn apply_next(&mut self, positioned: &PositionedRecord) -> Option<ChangeVerdict> {
        if positioned.offset != self.state.folded_to {
            return None;
        }
        self.state.folded_to = positioned.offset.next();
        let (record_id, outcome) = match &positioned.record {
            LogRecord::Change(change) => (Some(change.record_id), self.apply_change(change)),
            LogRecord::Malformed { record_id, reason } => {
                (*record_id, ChangeOutcome::Refused(RefusalReason::Malformed(reason.clone())))
            }
            LogRecord::Restart(state) => {
                self.apply_restart(state, positioned.offset);
                return None;
            }
            LogRecord::Snapshot(_snapshot) => {
                // All records before the snapshot are applied, so the snapshot adds nothing.
                #[cfg(test)]
                if self.skip_snapshot_checks {
                    let folded_to = self.state.folded_to;
                    self.state = ConfigurationState { folded_to, ..(*_snapshot).clone() };
                }
                return None;
            }
        };
        Some(ChangeVerdict { record_id, offset: positioned.offset, outcome })
    }

    fn apply_change(&mut self, record: &ChangeRecord) -> ChangeOutcome {
        let current = self.state.revision;
        if record.base_revision != current {
            let base = record.base_revision;
            return ChangeOutcome::Refused(RefusalReason::StaleBase { base, current });
        }
        match state_after(&self.state, &record.change) {
            Ok(state) => {
                self.state = state;
                self.state.revision = current.next();
                ChangeOutcome::Accepted(self.state.revision)
            }
            Err(reason) => ChangeOutcome::Refused(reason),
        }
    }
}
