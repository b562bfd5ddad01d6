//! Distribution of weights: where each chunk comes from, what to fetch next, and how fast.
//!
//! [`DistributionPlan`] orders the sidecars for each chunk, [`FetchScheduler`] decides what to fetch
//! from whom, and [`LinkBudget`] paces the traffic to what live requests leave of the link.

mod budget;
mod items;
mod options;
mod penalties;
mod plan;
mod scheduler;
mod versions;

#[cfg(test)]
mod tests;

pub use budget::LinkBudget;
pub use options::{DistributionGoal, FetchOptions, OptionError};
pub use plan::{ChunkRoute, ChunkSource, DistributionPlan, ExternalSource};
pub use scheduler::{FetchAction, FetchEvent, FetchFailure, FetchScheduler};
pub use versions::{ChunkRef, DesiredVersion};
