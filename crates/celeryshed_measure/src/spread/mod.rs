//! Experiment `spread`: time until a version is live on N replicas, copies fetched from the
//! origin, and the effect on the latency of live requests.
//!
//! Sidecars exchange chunks over TCP on the loopback interface. Simulated links limit the
//! bandwidth in the proportions of the deployments: in the window the origin's link carries four
//! copies of the model and each instance's link two, up and down together.

mod engine;
mod fleet;
mod links;
mod live_requests;
mod options;
mod report;
mod run;
mod sources;

pub use options::{SpreadDeployment, SpreadMeasureError, SpreadMeasureOptions, SpreadPlanKind};
pub use report::SpreadReport;
pub use run::measure_spread;
