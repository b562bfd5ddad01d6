//! Arguments of `celeryshed`.

mod measure;

use std::net::SocketAddr;
use std::path::PathBuf;

use celeryshed_base::{ModelName, NameError, ServiceName, VersionName};
use clap::{Args, Parser, Subcommand, ValueEnum};

pub(crate) use measure::{MeasureCommand, OverloadArgs, ScarcityArgs, SlopeArgs, SpreadArgs};

/// Arguments of `celeryshed`.
#[derive(Clone, Debug, Parser)]
#[command(name = "celeryshed", version, about = "Operates and tries out celeryshed.")]
pub struct OperatorArgs {
    /// Lowest level of logged events.
    #[arg(long, global = true, default_value = "warn", value_name = "LEVEL")]
    pub log_level: log::LevelFilter,
    /// The command.
    #[command(subcommand)]
    pub command: OperatorCommand,
}

/// Commands.
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
    /// Runs the whole system on loopback and checks its promises.
    Demo(DemoArgs),
}

/// `celeryshed contract`.
#[derive(Clone, Debug, Subcommand)]
pub enum ContractCommand {
    /// Publishes the changes of a file, one after another.
    Publish {
        /// INI file with services, contracts and selections.
        file: PathBuf,
        /// Where the log is.
        #[command(flatten)]
        log: LogArgs,
    },
    /// Shows the services, contracts and versions in force.
    Show {
        /// Where the log is.
        #[command(flatten)]
        log: LogArgs,
    },
    /// Reads an API key from standard input and prints its `api_key_hash`.
    HashKey,
}

/// `celeryshed model`.
#[derive(Clone, Debug, Subcommand)]
pub enum ModelCommand {
    /// Uploads a version's weights to the origin, publishes it and selects it for a service.
    Publish(ModelPublishArgs),
}

/// `celeryshed model publish`.
#[derive(Clone, Debug, Args)]
pub struct ModelPublishArgs {
    /// File with the weights.
    pub file: PathBuf,
    /// The model.
    #[arg(long, value_parser = model_name)]
    pub model: ModelName,
    /// The version.
    #[arg(long, value_parser = version_name)]
    pub version: VersionName,
    /// Service that runs it from now on; without it the version is only made known.
    #[arg(long, value_parser = service_name)]
    pub select: Option<ServiceName>,
    /// Size of a chunk in KiB.
    #[arg(long, default_value_t = 1024, value_parser = clap::value_parser!(u32).range(1..=16384))]
    pub chunk_kib: u32,
    /// Base URL of the origin.
    #[arg(long, value_name = "URL")]
    pub origin_url: String,
    /// Where the log is.
    #[command(flatten)]
    pub log: LogArgs,
}

/// `celeryshed config`.
#[derive(Clone, Debug, Subcommand)]
pub enum ConfigCommand {
    /// Shows the revision in force on each named process.
    Show {
        /// Addresses of entries and sidecars.
        #[arg(required = true, value_name = "IP:PORT")]
        processes: Vec<SocketAddr>,
    },
}

/// Kinds of files.
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

/// `celeryshed check`.
#[derive(Clone, Debug, Args)]
pub struct CheckArgs {
    /// What the file is.
    #[arg(long)]
    pub kind: FileKind,
    /// The file.
    pub file: PathBuf,
}

/// `celeryshed report`.
#[derive(Clone, Debug, Subcommand)]
pub enum ReportCommand {
    /// Service-level burn per team, collected from entries.
    Burn {
        /// Addresses of entries.
        #[arg(required = true, value_name = "IP:PORT")]
        entries: Vec<SocketAddr>,
        /// Output format.
        #[arg(long, value_enum, default_value_t = ReportFormat::Table)]
        format: ReportFormat,
    },
}

/// Formats of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ReportFormat {
    /// Aligned columns.
    Table,
    /// Comma-separated values with a header line.
    Csv,
}

/// `celeryshed standin`.
#[derive(Clone, Debug, Args)]
pub struct StandinArgs {
    /// INI file that describes the stand-ins.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}

/// `celeryshed demo`.
#[derive(Clone, Debug, Args)]
pub struct DemoArgs {
    /// Keeps the system running after the checks, until SIGTERM.
    #[arg(long)]
    pub hold: bool,
}

/// Where the log is.
#[derive(Clone, Debug, Args)]
pub struct LogArgs {
    /// Base URL of the platform's log.
    #[arg(long, value_name = "URL")]
    pub log_url: String,
    /// Longest time for one change, in seconds.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(1..=3600))]
    pub timeout_s: u64,
}

fn model_name(value: &str) -> Result<ModelName, NameError> {
    ModelName::try_from(value)
}

fn version_name(value: &str) -> Result<VersionName, NameError> {
    VersionName::try_from(value)
}

fn service_name(value: &str) -> Result<ServiceName, NameError> {
    ServiceName::try_from(value)
}
