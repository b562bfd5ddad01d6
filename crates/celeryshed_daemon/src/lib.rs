//! The daemon `celeryshedd`; each process runs one role.

mod args;
mod run;

pub use args::{DaemonArgs, RoleCommand};
pub use run::{ExitStatus, run};
