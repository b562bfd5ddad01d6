//! The side role: a sidecar beside one endpoint.

pub mod attempts;
pub mod claims;
pub mod configuration;
pub mod reports;
pub mod role;
pub mod weights;
