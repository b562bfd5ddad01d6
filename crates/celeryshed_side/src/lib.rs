//! The side role: a sidecar process that serves one endpoint.
//!
//! Each module keeps its state in tasks that communicate over channels; `role` assembles the
//! modules into a process.

pub mod attempts;
pub mod claims;
pub mod configuration;
pub mod role;
pub mod weights;
