//! The daemon: one process per role.

mod args;
mod run;

pub use args::{DaemonArgs, RoleCommand};
pub use run::{ExitStatus, run};
