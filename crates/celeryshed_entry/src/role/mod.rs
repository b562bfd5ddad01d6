//! The assembled entry: its tasks, its server and its drain.

mod booking_gate;
mod error;
mod launch;

pub use error::RoleError;
pub use launch::EntryRole;
