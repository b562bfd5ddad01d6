//! The operators' and developers' command line.
//!
//! [`OperatorArgs`] holds the arguments, `commands` one module per command; [`run`] ties them.

mod args;
mod commands;
mod run;

pub use args::OperatorArgs;
pub use run::{ExitStatus, run};
