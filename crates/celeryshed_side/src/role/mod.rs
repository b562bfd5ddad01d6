//! The assembled sidecar: its tasks, its server and its drain.

mod launch;
mod status;

pub use launch::SideRole;
