//! Arguments of the daemon.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// Arguments of `celeryshedd`.
#[derive(Clone, Debug, Parser)]
#[command(name = "celeryshedd", version, about = "Runs one role of celeryshed until SIGTERM.")]
pub struct DaemonArgs {
    /// Lowest level of the events that are logged.
    #[arg(long, global = true, default_value = "info", value_name = "LEVEL")]
    pub log_level: log::LevelFilter,
    /// Role of the process.
    #[command(subcommand)]
    pub role: RoleCommand,
}

/// Roles of a daemon process.
#[derive(Clone, Debug, Subcommand)]
pub enum RoleCommand {
    /// Accepts requests of callers and dispatches them to sidecars.
    Entry(RoleArgs),
    /// Runs next to one endpoint and forwards requests to it.
    Side(RoleArgs),
}

/// Arguments of each role.
#[derive(Clone, Debug, Args)]
pub struct RoleArgs {
    /// INI file with the role's settings.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}
