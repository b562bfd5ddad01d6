//! Which endpoint gets a request.

mod table;

#[cfg(test)]
mod tests;

pub use table::{EndpointTable, RoutingChoice, RoutingNeed};
