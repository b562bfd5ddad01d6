//! The accepted configuration: contracts, services and model versions.
//!
//! [`ConfigurationReplica`] takes the records of stream `configuration` in offset order and gives a
//! [`ChangeVerdict`] for each change. The verdict depends on the records alone, so every process
//! that reads the same records reaches the same verdicts.

mod change;
mod fold;
mod rules;
mod schedule;
mod state;
mod verdict;

#[cfg(test)]
mod tests;

pub use change::{ChangeKind, ChangeRecord, LogRecord, PositionedRecord, UNCONTRACTED};
pub use fold::{
    ConfigurationLogPage, ConfigurationReplica, ReplayProgress, ReplayReport, SnapshotPosition,
};
pub use schedule::SnapshotSchedule;
pub use state::{
    ConfigurationState, EndpointKind, ModelVersion, ScarcityPolicy, ServiceDefinition, TeamContract,
};
pub use verdict::{ChangeOutcome, ChangeVerdict, RefusalReason};
