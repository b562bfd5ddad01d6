//! A complete deployment on loopback: platform stand-ins, endpoints and roles.
//!
//! Each role has its own runtime, so that a single role can be killed.

mod deployment;
mod error;
mod launch;
mod ports;
mod runtime;

pub use deployment::{DeploymentPlan, EndpointPlan, ZonePlan};
pub(crate) use error::start_error;
pub use error::{FleetError, Result};
pub use launch::{EndpointControl, FleetEndpoint, FleetEntry, FleetPlatform, RunningFleet};
pub use runtime::RoleRuntime;
