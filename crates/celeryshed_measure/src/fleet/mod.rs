//! A whole deployment on loopback: stand-ins and roles, each role in a runtime of its own so that
//! it can be killed.

mod deployment;
mod error;
mod launch;
mod ports;
mod runtime;

pub use deployment::{DeploymentPlan, EndpointPlan, PlacePlan};
pub(crate) use error::start_error;
pub use error::{FleetError, Result};
pub use launch::{EndpointControl, FleetEndpoint, FleetEntry, FleetPlatform, RunningFleet};
pub use runtime::RoleRuntime;
