//! Arguments of the daemon.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// Arguments of `celeryshedd`.
#[derive(Clone, Debug, Parser)]
#[command(name = "celeryshedd", version, about = "Runs one role of celeryshed until SIGTERM.")]
pub struct DaemonArgs {
    /// Lowest level of logged events.
    #[arg(long, global = true, default_value = "info", value_name = "LEVEL")]
    pub log_level: log::LevelFilter,
    /// The role.
    #[command(subcommand)]
    pub role: RoleCommand,
}

/// Roles.
#[derive(Clone, Debug, Subcommand)]
pub enum RoleCommand {
    /// Serves callers and dispatches their requests to sidecars.
    Entry(RoleArgs),
    /// Runs beside one endpoint.
    Side(RoleArgs),
}

/// Arguments of each role.
#[derive(Clone, Debug, Args)]
pub struct RoleArgs {
    /// INI file with the role's settings.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}
