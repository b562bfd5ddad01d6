//! Arguments of `celeryshed`.

mod measure;

use std::net::SocketAddr;
use std::path::PathBuf;

use celeryshed_base::{ModelName, NameError, ServiceName, VersionName};
use clap::{Args, Parser, Subcommand, ValueEnum};

pub(crate) use measure::{MeasureCommand, OverloadArgs, ScarcityArgs, SlopeArgs, SpreadArgs};

/// Arguments of `celeryshed`.
#[derive(Clone, Debug, Parser)]
#[command(name = "celeryshed", version, about = "Operates, measures and demonstrates celeryshed.")]
pub struct OperatorArgs {
    /// Lowest level of the events that are logged.
    #[arg(long, global = true, default_value = "warn", value_name = "LEVEL")]
    pub log_level: log::LevelFilter,
    /// Command to run.
    #[command(subcommand)]
    pub command: OperatorCommand,
}

/// Commands of `celeryshed`.
#[derive(Clone, Debug, Subcommand)]
pub enum OperatorCommand {
    /// Publishes or shows services and contracts.
    #[command(subcommand)]
    Contract(ContractCommand),
    /// Publishes model versions.
    #[command(subcommand)]
    Model(ModelCommand),
    /// Shows the configuration in force.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Checks a file without starting anything.
    Check(CheckArgs),
    /// Prints reports.
    #[command(subcommand)]
    Report(ReportCommand),
    /// Runs experiments.
    #[command(subcommand)]
    Measure(MeasureCommand),
    /// Runs stand-ins of the platform and of endpoints until SIGTERM.
    Standin(StandinArgs),
    /// Makes a stand-in of the log come back from an older copy.
    Drill(DrillArgs),
    /// Runs the whole system on loopback addresses and checks its promises.
    Demo(DemoArgs),
}

/// Subcommands of `celeryshed contract`.
#[derive(Clone, Debug, Subcommand)]
pub enum ContractCommand {
    /// Publishes the changes of a file in order, up to the first refused one.
    Publish {
        /// INI file with services, contracts and selections.
        file: PathBuf,
        /// Log of the platform.
        #[command(flatten)]
        log: LogArgs,
    },
    /// Shows the services, contracts and versions in force.
    Show {
        /// Log of the platform.
        #[command(flatten)]
        log: LogArgs,
    },
    /// Reads an API key from standard input and prints its `api_key_hash`.
    HashKey,
}

/// Subcommands of `celeryshed model`.
#[derive(Clone, Debug, Subcommand)]
pub enum ModelCommand {
    /// Uploads a version's weights to the origin, publishes it and selects it for a service.
    Publish(ModelPublishArgs),
}

/// Arguments of `celeryshed model publish`.
#[derive(Clone, Debug, Args)]
pub struct ModelPublishArgs {
    /// File with the weights.
    pub file: PathBuf,
    /// Name of the model.
    #[arg(long, value_parser = parse_model_name)]
    pub model: ModelName,
    /// Name of the version.
    #[arg(long, value_parser = parse_version_name)]
    pub version: VersionName,
    /// Service that runs the version from now on; by default the version is not selected.
    #[arg(long, value_parser = parse_service_name)]
    pub select: Option<ServiceName>,
    /// Size of a chunk in KiB.
    #[arg(long, default_value_t = 1024, value_parser = clap::value_parser!(u32).range(1..=16384))]
    pub chunk_kib: u32,
    /// Base URL of the origin.
    #[arg(long, value_name = "URL")]
    pub origin_url: String,
    /// Log of the platform.
    #[command(flatten)]
    pub log: LogArgs,
}

/// Subcommands of `celeryshed config`.
#[derive(Clone, Debug, Subcommand)]
pub enum ConfigCommand {
    /// Shows the configuration revision that each process uses.
    Show {
        /// Addresses of entries and sidecars.
        #[arg(required = true, value_name = "IP:PORT")]
        processes: Vec<SocketAddr>,
    },
}

/// Kinds of files that `celeryshed check` reads.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum FileKind {
    /// Settings of an entry.
    Entry,
    /// Settings of a sidecar.
    Side,
    /// Settings of stand-ins.
    Standin,
    /// Services and contracts.
    Contract,
}

/// Arguments of `celeryshed check`.
#[derive(Clone, Debug, Args)]
pub struct CheckArgs {
    /// Kind of the file.
    #[arg(long)]
    pub kind: FileKind,
    /// File to check.
    pub file: PathBuf,
}

/// Subcommands of `celeryshed report`.
#[derive(Clone, Debug, Subcommand)]
pub enum ReportCommand {
    /// Burn rate of each team's error budget, summed over the entries.
    Burn {
        /// Addresses of entries.
        #[arg(required = true, value_name = "IP:PORT")]
        entries: Vec<SocketAddr>,
        /// Output format.
        #[arg(long, value_enum, default_value_t = ReportFormat::Table)]
        format: ReportFormat,
    },
}

/// Output formats of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ReportFormat {
    /// Aligned columns.
    Table,
    /// Comma-separated values with a header line.
    Csv,
}

/// Arguments of `celeryshed standin`.
#[derive(Clone, Debug, Args)]
pub struct StandinArgs {
    /// INI file that describes the stand-ins.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}

/// Arguments of `celeryshed drill`.
#[derive(Clone, Debug, Args)]
pub struct DrillArgs {
    /// Base URL of the stand-in.
    #[arg(long, value_name = "URL")]
    pub log_url: String,
    /// Age of the copy at the start of the outage, in milliseconds.
    #[arg(long, value_name = "MS")]
    pub copy_age_ms: u64,
    /// Length of the outage in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 0)]
    pub outage_ms: u64,
}

/// Arguments of `celeryshed demo`.
#[derive(Clone, Debug, Args)]
pub struct DemoArgs {
    /// Keeps the system running after the checks, until SIGTERM.
    #[arg(long)]
    pub hold: bool,
}

/// Arguments of the commands that call the log.
#[derive(Clone, Debug, Args)]
pub struct LogArgs {
    /// Base URL of the platform's log.
    #[arg(long, value_name = "URL")]
    pub log_url: String,
    /// Time limit of one change in seconds, retries included.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(1..=3600))]
    pub timeout_s: u64,
}

fn parse_model_name(value: &str) -> Result<ModelName, NameError> {
    ModelName::try_from(value)
}

fn parse_version_name(value: &str) -> Result<VersionName, NameError> {
    VersionName::try_from(value)
}

fn parse_service_name(value: &str) -> Result<ServiceName, NameError> {
    ServiceName::try_from(value)
}
