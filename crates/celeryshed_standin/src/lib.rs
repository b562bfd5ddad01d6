//! Stand-ins of the platform, model engines and plain services.

pub mod engine;
pub mod platform;
pub mod service;
