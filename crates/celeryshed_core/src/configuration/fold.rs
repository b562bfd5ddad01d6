//! The replica of stream `configuration`.

use celeryshed_base::{ConfigRevision, LogOffset, UnixMillis, common_derives};

use super::change::{ChangeRecord, LogRecord, PositionedRecord};
use super::rules::changed_state;
use super::state::ConfigurationState;
use super::verdict::{ChangeOutcome, ChangeVerdict, RefusalReason};

common_derives! { value:
    /// One read of the log.
    pub struct ConfigurationLogPage {
        /// Offset of the oldest record that the log still keeps.
        pub oldest: LogOffset,
        /// Offset that the next record will get.
        pub end: LogOffset,
        /// Records in offset order, from the asked offset on.
        pub records: Vec<PositionedRecord>,
    }

    /// What a read came to.
    pub struct ReplayReport {
        /// Verdicts on the changes that were folded.
        pub verdicts: Vec<ChangeVerdict>,
        /// How far the replay is.
        pub progress: ReplayProgress,
    }

    /// How far the replay is.
    #[derive(Copy)]
    pub enum ReplayProgress {
        /// Every record of the log is folded in.
        CaughtUp,
        /// More records are in the log; read again.
        Behind,
        /// Records that were not folded are no longer kept; a snapshot or a peer must help.
        RecordsMissing,
        /// The log ends before records that were already folded; the state is kept.
        LogShortened,
    }

    /// Position of a snapshot in the log.
    #[derive(Copy)]
    pub struct SnapshotPosition {
        /// Its offset.
        pub offset: LogOffset,
        /// The records below this offset are part of it.
        pub folded_to: LogOffset,
        /// When the log took it.
        pub appended_at: UnixMillis,
    }
}

/// Factor between offsets and the revisions that restarts give.
///
/// Below offset `n` at most `n` changes can be accepted, so a restart at a later offset always has
/// a higher revision than any process can have reached, whatever it has read.
const RESTART_STRIDE: u64 = 1 << 20;

/// Folds configuration records in offset order.
///
/// Whatever order reads, trims, snapshots and adopted states come in, the state is always the one
/// that the records below `folded_to` lead to, and its revision never goes down.
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
    known: bool,
    missing: bool,
    scanned_to: LogOffset,
    newest_snapshot: Option<SnapshotPosition>,
    #[cfg(test)]
    pub(super) trust_any_snapshot: bool,
}

impl ConfigurationReplica {
    /// The state in force; `None` until the log was read to its end once or a peer's state taken.
    pub fn state(&self) -> Option<&ConfigurationState> {
        self.known.then_some(&self.state)
    }

    /// The revision in force; `None` until one is known.
    pub fn revision(&self) -> Option<ConfigRevision> {
        self.state().map(|state| state.revision)
    }

    /// The revision to tell peers; `None` asks for their state whatever its revision.
    ///
    /// A replica that misses records needs a state with a later `folded_to`, which may have the
    /// same revision.
    pub fn revision_for_peers(&self) -> Option<ConfigRevision> {
        if self.missing { None } else { self.revision() }
    }

    /// Whether records were trimmed before this replica read them.
    pub fn records_missing(&self) -> bool {
        self.missing
    }

    /// Offset to read the log from next.
    pub fn next_offset(&self) -> LogOffset {
        if self.missing { self.scanned_to } else { self.state.folded_to }
    }

    /// The newest snapshot seen in the log.
    pub fn newest_snapshot(&self) -> Option<SnapshotPosition> {
        self.newest_snapshot
    }

    /// The state for a restart record, to be appended at `end`.
    ///
    /// Given only by a replica that knows a state, misses records and found neither a usable
    /// snapshot nor a restart up to `end`. When another record takes that offset, the restart is void.
    pub fn restart_state(&self, end: LogOffset) -> Option<ConfigurationState> {
        let stuck = self.missing && self.known && self.scanned_to == end;
        stuck.then(|| ConfigurationState { folded_to: end, ..self.state.clone() })
    }

    /// Folds one read of the log in.
    pub fn apply(&mut self, page: &ConfigurationLogPage) -> ReplayReport {
        if page.end < self.state.folded_to {
            return ReplayReport { verdicts: Vec::new(), progress: ReplayProgress::LogShortened };
        }
        self.missing = page.oldest > self.state.folded_to;
        if self.missing {
            self.scanned_to = self.scanned_to.max(page.oldest);
        }
        let mut verdicts = Vec::new();
        for entry in &page.records {
            self.mark_snapshot(entry);
            if !self.missing {
                verdicts.extend(self.fold_next(entry));
            } else if self.scan(entry, page.oldest) {
                break;
            }
        }
        ReplayReport { verdicts, progress: self.progress(page.end) }
    }

    /// Takes over the state of a peer, unless the own one is as new; returns whether it was taken.
    pub fn install_state(&mut self, state: &ConfigurationState) -> bool {
        self.known = true;
        let newer = state.revision > self.state.revision
            || (state.revision == self.state.revision && state.folded_to > self.state.folded_to);
        if newer {
            self.replace(state);
        }
        newer
    }

    fn replace(&mut self, state: &ConfigurationState) {
        self.state = state.clone();
        self.missing = false;
    }

    fn progress(&mut self, end: LogOffset) -> ReplayProgress {
        if self.missing {
            let unscanned = self.scanned_to < end;
            return if unscanned { ReplayProgress::Behind } else { ReplayProgress::RecordsMissing };
        }
        if self.state.folded_to < end {
            return ReplayProgress::Behind;
        }
        self.known = true;
        ReplayProgress::CaughtUp
    }

    fn mark_snapshot(&mut self, entry: &PositionedRecord) {
        let LogRecord::Snapshot(state) = &entry.record else { return };
        let position = SnapshotPosition {
            offset: entry.offset,
            folded_to: state.folded_to,
            appended_at: entry.appended_at,
        };
        if self.newest_snapshot.is_none_or(|newest| newest.offset < position.offset) {
            self.newest_snapshot = Some(position);
        }
    }

    /// Looks for a usable snapshot; when one is taken, reading goes on at its `folded_to`.
    fn scan(&mut self, entry: &PositionedRecord, oldest: LogOffset) -> bool {
        if entry.offset < self.scanned_to {
            return false;
        }
        self.scanned_to = entry.offset.next();
        match &entry.record {
            LogRecord::Snapshot(state) if self.is_usable(state, entry.offset, oldest) => {
                self.replace(state);
                true
            }
            LogRecord::Restart(state) => {
                self.restart(state, entry.offset);
                false
            }
            _ => false,
        }
    }

    /// Goes on from a restart's state, unless another record took the offset that it was for.
    fn restart(&mut self, state: &ConfigurationState, at: LogOffset) {
        if state.folded_to != at {
            return;
        }
        self.replace(state);
        self.state.folded_to = at.next();
        self.state.revision = ConfigRevision(at.next().0 * RESTART_STRIDE);
    }

    /// A snapshot is usable when it has every record from its `folded_to` on behind it in the log
    /// and holds nothing older than the own state.
    fn is_usable(&self, state: &ConfigurationState, at: LogOffset, oldest: LogOffset) -> bool {
        #[cfg(test)]
        if self.trust_any_snapshot {
            return true;
        }
        (oldest..=at).contains(&state.folded_to)
            && state.folded_to > self.state.folded_to
            && state.revision >= self.state.revision
    }

    fn fold_next(&mut self, entry: &PositionedRecord) -> Option<ChangeVerdict> {
        if entry.offset != self.state.folded_to {
            return None;
        }
        self.state.folded_to = entry.offset.next();
        let (record_id, outcome) = match &entry.record {
            LogRecord::Change(change) => (Some(change.record_id), self.judge(change)),
            LogRecord::Malformed { record_id, reason } => {
                (*record_id, ChangeOutcome::Refused(RefusalReason::Malformed(reason.clone())))
            }
            LogRecord::Restart(state) => {
                self.restart(state, entry.offset);
                return None;
            }
            LogRecord::Snapshot(_snapshot) => {
                // The replica holds every record before the snapshot, so it can only repeat them.
                #[cfg(test)]
                if self.trust_any_snapshot {
                    let folded_to = self.state.folded_to;
                    self.state = ConfigurationState { folded_to, ..(*_snapshot).clone() };
                }
                return None;
            }
        };
        Some(ChangeVerdict { record_id, offset: entry.offset, outcome })
    }

    fn judge(&mut self, record: &ChangeRecord) -> ChangeOutcome {
        let current = self.state.revision;
        if record.base_revision != current {
            let base = record.base_revision;
            return ChangeOutcome::Refused(RefusalReason::StaleBase { base, current });
        }
        match changed_state(&self.state, &record.change) {
            Ok(state) => {
                self.state = state;
                self.state.revision = current.next();
                ChangeOutcome::Accepted(self.state.revision)
            }
            Err(reason) => ChangeOutcome::Refused(reason),
        }
    }
}
