//! Experiment `overload`: the decisions of the thin entries over models of engines, at loads near and
//! beyond what the engines carry.
//!
//! Each entry runs a [`celeryshed_dispatch::EntryDispatcher`] and hears the load of the others as
//! late as in a deployment; plain policies serve as baselines. Time is simulated, so that a run
//! depends only on its options.

mod callers;
mod engine;
mod entry;
mod options;
mod plot;
mod report;
mod world;

#[cfg(test)]
mod tests;

pub use options::{OverloadOptions, OverloadScenario, OverloadScenarioError, PlacementPolicy};
pub use plot::{PlotError, write_plot};
pub use report::{LoadWindow, OverloadReport};
pub use world::run_overload;
