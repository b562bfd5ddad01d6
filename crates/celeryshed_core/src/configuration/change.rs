//! Validated records of stream `configuration`.

use celeryshed_base::{
    ConfigRevision, LogOffset, RecordId, ServiceName, TeamName, UnixMillis, VersionName,
    common_derives,
};

use super::state::{ConfigurationState, ModelVersion, ServiceDefinition, TeamContract};

/// Name in a contract's `displaces` list that stands for work without a contract; no team may
/// have this name.
pub const UNCONTRACTED: &str = "uncontracted";

common_derives! { value:
    /// A change, with the revision that it is based on.
    pub struct ChangeRecord {
        /// Set by the operator's command, which finds the verdict by this id.
        pub record_id: RecordId,
        /// Revision that the operator read before the change; a change based on any other revision
        /// than the current one is refused.
        pub base_revision: ConfigRevision,
        /// What to change.
        pub change: ChangeKind,
    }

    /// An operator's change to the configuration.
    pub enum ChangeKind {
        /// Defines or replaces a service; a definition without a version keeps the selected
        /// version.
        PutService(ServiceName, ServiceDefinition),
        /// Creates or replaces a team's contract.
        PutContract(TeamName, TeamContract),
        /// Ends a team's contract.
        RemoveContract(TeamName),
        /// Publishes a model version, so that services can select it.
        PublishModel(VersionName, ModelVersion),
        /// Selects the version that a service runs, newer or older than the current one.
        SelectVersion(ServiceName, VersionName),
    }

    /// Content of a record in stream `configuration`.
    pub enum LogRecord {
        /// An operator's change; accepted or refused when it is read.
        Change(ChangeRecord),
        /// The state after all records below its `folded_to`, for readers that missed records.
        Snapshot(ConfigurationState),
        /// The state to continue from after the log trimmed records that no process had read;
        /// ignored unless its `folded_to` is the offset of this record.
        Restart(ConfigurationState),
        /// A record that could not be decoded or validated; always refused.
        Malformed {
            /// Id of the record; `None` when the id could not be decoded either.
            record_id: Option<RecordId>,
            /// Why the record could not be decoded or validated.
            reason: String,
        },
    }

    /// A record with its position in the log.
    pub struct PositionedRecord {
        /// Offset that the log assigned.
        pub offset: LogOffset,
        /// Time of the append, by the log's clock.
        pub appended_at: UnixMillis,
        /// The decoded content.
        pub record: LogRecord,
    }
}
