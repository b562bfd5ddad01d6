//! The accepted configuration: contracts, services and model versions.

mod state;

pub use state::{
    ConfigurationState, CustomerContract, EndpointKind, ModelVersion, ScarcityPolicy,
    ServiceDefinition,
};
