//! Placeholder until the first module lands.
pub mod model;
