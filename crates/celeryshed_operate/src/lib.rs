//! What operators do: publishing of configuration changes and of model versions.

pub mod model;
pub mod publish;
