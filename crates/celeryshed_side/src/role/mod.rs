//! The assembled sidecar: its tasks, its server and its drain.

mod error;
mod launch;
mod status;

pub use error::RoleError;
pub use launch::SideRole;
