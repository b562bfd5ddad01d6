//! Experiment `overload`: dispatch decisions of the entry program for small instances over
//! simulated engines, at loads near and beyond the engines' capacity.
//!
//! Each entry runs a [`celeryshed_dispatch::EntryDispatcher`] and receives the load
//! reports of the other entries with the delay of a deployment. Simpler policies serve as baselines.
//! Time is simulated, so the result of a run depends only on its options.

mod callers;
mod engine;
mod entry;
mod options;
mod plot;
mod report;
mod simulation;

#[cfg(test)]
mod tests;

pub use options::{OverloadOptions, OverloadScenario, OverloadScenarioError, PlacementPolicy};
pub use plot::{PlotError, write_plot};
pub use report::{OverloadReport, OverloadWindow};
pub use simulation::run_overload;
