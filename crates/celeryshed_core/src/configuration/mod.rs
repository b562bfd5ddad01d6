//! The accepted configuration: contracts, services and model versions.
//!
//! [`ConfigurationReplica`] applies the records of stream `configuration` in offset order and
//! returns a [`ChangeVerdict`] for each change. A verdict depends only on the records, so all
//! processes that read the same records reach the same verdicts.

mod change;
mod replica;
mod rules;
mod schedule;
mod state;
mod verdict;

#[cfg(test)]
mod tests;

pub use change::{ChangeKind, ChangeRecord, LogRecord, PositionedRecord, UNCONTRACTED};
pub use replica::{
    ConfigurationLogPage, ConfigurationReplica, ReplayProgress, ReplayReport, SnapshotPosition,
};
pub use schedule::SnapshotSchedule;
pub use state::{
    ConfigurationState, EndpointKind, ModelVersion, ScarcityPolicy, ServiceDefinition, TeamContract,
};
pub use verdict::{ChangeOutcome, ChangeVerdict, RefusalReason};
