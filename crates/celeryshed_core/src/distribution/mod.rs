//! Distribution of model weights to the sidecars.
//!
//! [`DistributionPlan`] arranges the sidecars in a tree for each chunk, [`FetchScheduler`] decides
//! which chunk to fetch next from which source, and [`LinkBudget`] limits the rate to the bandwidth
//! that foreground requests leave.

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
