//! Experiment `scarcity`: the product's admission and routing decisions over simulated engines when
//! instances are scarce.
//!
//! Entries run [`celeryshed_entry::completions::decisions::EntryDecisions`] and sidecars run
//! [`celeryshed_core::admission::SlotTable`]; engines, links and callers are
//! simulated on the paused clock of a Tokio runtime, so the result of a run depends only on its
//! options.

mod engine;
mod events;
mod faults;
mod options;
mod report;
mod simulation;
mod traffic;

#[cfg(test)]
mod tests;

pub use options::{ScarcityOptions, ScarcityScenario, ScenarioError};
pub use report::{ScarcityReport, TeamResult};
pub use simulation::run_scarcity;
