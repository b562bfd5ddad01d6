//! Arguments of `celeryshed measure`.

use std::path::PathBuf;
use std::time::Duration;

use celeryshed_core::distribution::DistributionGoal;
use celeryshed_core::routing::RoutingPolicy;
use celeryshed_measure::overload::{OverloadOptions, OverloadScenario, PlacementPolicy};
use celeryshed_measure::scarcity::{ScarcityOptions, ScarcityScenario};
use celeryshed_measure::slopes::{SlopeOptions, SlopePart, SlopePartError};
use celeryshed_measure::spread::{SpreadDeployment, SpreadMeasureOptions, SpreadPlanKind};
use clap::{Args, Subcommand, ValueEnum};

/// File name of the daemon's binary.
const DAEMON_NAME: &str = "celeryshedd";

/// Commands that run an experiment.
#[derive(Clone, Debug, Subcommand)]
pub enum MeasureCommand {
    /// Measures the time until a version is live on N replicas, and the copies fetched from the origin.
    Spread(SpreadArgs),
    /// Measures goodput and first-token times of each team when instances are scarce.
    Scarcity(ScarcityArgs),
    /// Counts answers in time with the entries for small instances and with simple policies,
    /// near and beyond capacity.
    Overload(OverloadArgs),
    /// Measures the cost of each further peer, report, request, change, booking or chunk for each role.
    Slopes(SlopeArgs),
}

/// Arguments of `celeryshed measure spread`.
#[derive(Clone, Debug, Args)]
pub struct SpreadArgs {
    /// Number of instances.
    #[arg(long, default_value_t = 15, value_parser = clap::value_parser!(u32).range(1..=400))]
    pub replicas: u32,
    /// Size of the model in MiB.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(1..=256))]
    pub size_mib: u32,
    /// Deployment whose regions and latencies are used.
    #[arg(long, value_enum, default_value_t = DeploymentChoice::Hinokage)]
    pub deployment: DeploymentChoice,
    /// How the chunks reach the instances.
    #[arg(long, value_enum, default_value_t = PlanChoice::Product)]
    pub plan: PlanChoice,
    /// Goal of the distribution; by default that of the deployment.
    #[arg(long, value_enum)]
    pub weighing: Option<WeighingChoice>,
    /// Seed of the random number generator.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Percentage of instances killed during the distribution.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u32).range(0..=50))]
    pub kill_percent: u32,
    /// Percentage of transfers that are corrupted.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u32).range(0..=50))]
    pub corrupt_percent: u32,
    /// Seconds in which the origin's link can transfer four copies, and an instance's link two.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3600))]
    pub window_s: u64,
}

/// Arguments of `celeryshed measure scarcity`.
#[derive(Clone, Debug, Args)]
pub struct ScarcityArgs {
    /// Scenario to run.
    #[arg(long, default_value = "calm", value_parser = parse_scarcity_scenario)]
    pub scenario: ScarcityScenario,
    /// Routing policy that chooses endpoints.
    #[arg(long, default_value = "product", value_parser = parse_policy)]
    pub policy: RoutingPolicy,
    /// Seed of the callers' arrivals and prompts.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Length of the run in simulated seconds.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(30..=3600))]
    pub duration_s: u64,
}

/// Arguments of `celeryshed measure overload`.
#[derive(Clone, Debug, Args)]
pub struct OverloadArgs {
    /// Scenario to run; all scenarios by default.
    #[arg(long, value_parser = parse_overload_scenario)]
    pub scenario: Option<OverloadScenario>,
    /// Seed of arrivals, prompts and choices between equal endpoints.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of engines.
    #[arg(long, default_value_t = 88, value_parser = clap::value_parser!(u32).range(1..=600))]
    pub engines: u32,
    /// Number of entries.
    #[arg(long, default_value_t = 14, value_parser = clap::value_parser!(u32).range(1..=64))]
    pub entries: u32,
    /// Arriving requests per second and engine.
    #[arg(long, default_value_t = 8.2, value_parser = parse_arrivals)]
    pub per_engine_s: f64,
    /// Milliseconds between two load messages of an entry to the other entries.
    #[arg(long, default_value_t = 56, value_parser = clap::value_parser!(u64).range(5..=2000))]
    pub load_interval_ms: u64,
    /// Folder for the plots: one SVG file per scenario.
    #[arg(long, value_name = "FOLDER")]
    pub plots: Option<PathBuf>,
}

/// Arguments of `celeryshed measure slopes`.
#[derive(Clone, Debug, Args)]
pub struct SlopeArgs {
    /// The `celeryshedd` binary to measure, a release build; by default the one in the folder of this
    /// program.
    #[arg(long, value_name = "FILE")]
    pub daemon: Option<PathBuf>,
    /// Parts of the experiment to run; all by default.
    #[arg(value_name = "PART", value_parser = parse_part)]
    pub parts: Vec<SlopePart>,
    /// Number of measurements of each size.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=20))]
    pub repeats: Option<u32>,
}

/// Deployments that `celeryshed measure spread` can imitate.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum DeploymentChoice {
    /// Three zones around Fukuoka; minimizes the time until a version is live.
    Hinokage,
    /// Three zones around Puget; minimizes the bytes fetched from the origin.
    Coca,
}

/// Distribution plans that `celeryshed measure spread` compares.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum PlanChoice {
    /// The distribution of celeryshed.
    Product,
    /// Every instance fetches from the origin.
    Origin,
    /// Each instance passes the whole file on to others, in a tree.
    Tree,
}

/// Goals of the distribution.
#[derive(Clone, Copy, Debug, ValueEnum)]
#[value(rename_all = "snake_case")]
pub enum WeighingChoice {
    /// Minimizes the time until the version is live everywhere.
    Time,
    /// Minimizes the bytes fetched from the origin.
    OriginBytes,
}

impl From<&SpreadArgs> for SpreadMeasureOptions {
    fn from(args: &SpreadArgs) -> Self {
        Self {
            replicas: args.replicas as usize,
            size_mib: args.size_mib,
            deployment: match args.deployment {
                DeploymentChoice::Hinokage => SpreadDeployment::Hinokage,
                DeploymentChoice::Coca => SpreadDeployment::Coca,
            },
            plan: match args.plan {
                PlanChoice::Product => SpreadPlanKind::Product,
                PlanChoice::Origin => SpreadPlanKind::Origin,
                PlanChoice::Tree => SpreadPlanKind::Tree,
            },
            goal: args.weighing.map(|weighing| match weighing {
                WeighingChoice::Time => DistributionGoal::Time,
                WeighingChoice::OriginBytes => DistributionGoal::OriginBytes,
            }),
            seed: args.seed,
            kill_percent: args.kill_percent,
            corrupt_percent: args.corrupt_percent,
            window: Duration::from_secs(args.window_s),
            ..Self::default()
        }
    }
}

impl From<&ScarcityArgs> for ScarcityOptions {
    fn from(args: &ScarcityArgs) -> Self {
        Self {
            policy: args.policy,
            duration: Duration::from_secs(args.duration_s),
            ..Self::new(args.seed, args.scenario)
        }
    }
}

impl OverloadArgs {
    /// Returns the selected scenario, or all of them.
    pub fn scenarios(&self) -> Vec<OverloadScenario> {
        self.scenario.map_or(OverloadScenario::ALL.to_vec(), |scenario| vec![scenario])
    }

    /// Returns the options for one scenario.
    pub fn options(&self, scenario: OverloadScenario) -> OverloadOptions {
        OverloadOptions {
            engines: self.engines,
            entries: self.entries,
            per_engine_s: self.per_engine_s,
            load_interval: Duration::from_millis(self.load_interval_ms),
            ..OverloadOptions::new(self.seed, scenario, PlacementPolicy::Product)
        }
    }
}

impl SlopeArgs {
    /// Returns the options; without `--daemon`, the daemon's binary is expected in the folder of the
    /// running program.
    pub fn options(&self) -> std::io::Result<SlopeOptions> {
        let default_daemon =
            || std::env::current_exe().map(|program| program.with_file_name(DAEMON_NAME));
        let daemon = match &self.daemon {
            Some(daemon) => daemon.clone(),
            None => default_daemon()?,
        };
        let mut options = SlopeOptions::new(daemon);
        if !self.parts.is_empty() {
            options.parts = self.parts.clone();
        }
        options.repeats = self.repeats.unwrap_or(options.repeats);
        Ok(options)
    }
}

fn parse_part(value: &str) -> Result<SlopePart, String> {
    value.parse().map_err(|error: SlopePartError| error.to_string())
}

fn parse_scarcity_scenario(value: &str) -> Result<ScarcityScenario, String> {
    ScarcityScenario::try_from(value).map_err(|error| error.to_string())
}

fn parse_arrivals(value: &str) -> Result<f64, String> {
    let arrivals = value.parse().ok().filter(|arrivals| (0.1..=50.0).contains(arrivals));
    arrivals
        .ok_or_else(|| format!("{value:?} is not a number from 0.1 to 50 (requests per second)"))
}

fn parse_overload_scenario(value: &str) -> Result<OverloadScenario, String> {
    OverloadScenario::try_from(value).map_err(|error| error.to_string())
}

fn parse_policy(value: &str) -> Result<RoutingPolicy, String> {
    RoutingPolicy::try_from(value).map_err(|error| error.to_string())
}
