//! Operator actions: publishing configuration changes and model versions.

pub mod model;
pub mod publish;
