//! The command line `celeryshed` for operators and developers.
//!
//! [`OperatorArgs`] defines the arguments, `commands` has one module per command, and [`run`]
//! runs the command that the arguments select.

mod args;
mod commands;
mod run;

pub use args::OperatorArgs;
pub use run::{ExitStatus, run};
