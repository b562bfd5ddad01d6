//! The side role: a sidecar beside one endpoint.
//!
//! Each module owns one kind of state in tasks that talk by channels; `role` assembles them into a
//! process.

pub mod attempts;
pub mod claims;
pub mod configuration;
pub mod role;
pub mod weights;
