//! Routing of requests to the endpoint with the lowest expected time to the first token.
//!
//! [`EndpointTable`] combines the membership, load reports that lag and the requests that this
//! entry has sent since the reports. Each decision is a deterministic function of the table, the
//! request and the current time.

mod ejection;
mod endpoint;
mod options;
mod prefixes;
mod table;

#[cfg(test)]
mod tests;

pub use ejection::EjectionState;
pub use endpoint::{EndpointLoad, EndpointObservation};
pub use options::{PolicyError, RoutingOptions, RoutingPolicy};
pub use prefixes::{MAX_PREFIX_BLOCKS, PromptPrefix, prompt_prefixes};
pub use table::{DispatchId, EndpointTable, RoutingChoice, RoutingDecision, RoutingQuery};
