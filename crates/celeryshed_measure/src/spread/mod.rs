//! Experiment `spread`: time until a version is live on N replicas, copies fetched from the
//! origin, and what live requests notice of it.
//!
//! Side tasks exchange chunks over TCP on the loopback interface; links are shaped to the
//! proportions of the deployments: in the window the origin's link carries four copies of the
//! model and each instance's link two, up and down together.

mod engine;
mod fleet;
mod links;
mod live;
mod options;
mod report;
mod run;
mod sources;

pub use options::{SpreadDeployment, SpreadMeasureError, SpreadMeasureOptions, SpreadPlanKind};
pub use report::SpreadReport;
pub use run::measure_spread;
