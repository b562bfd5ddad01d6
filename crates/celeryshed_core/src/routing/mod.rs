//! Which endpoint gets a request: the one with the lowest expected time to the first token.
//!
//! [`EndpointTable`] merges the membership, lagging load reports and what this entry sent since.
//! Every decision follows from the table, the request and `now`; nothing is random.

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
