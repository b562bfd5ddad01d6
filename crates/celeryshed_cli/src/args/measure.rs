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

/// Name of the daemon's binary.
const DAEMON_NAME: &str = "celeryshedd";

/// Experiments.
#[derive(Clone, Debug, Subcommand)]
pub enum MeasureCommand {
    /// Time until a version is live on N replicas, and copies fetched from the origin.
    Spread(SpreadArgs),
    /// Goodput and first tokens of each team when instances are scarce.
    Scarcity(ScarcityArgs),
    /// Answers in time of the thin entries and of plain policies near and beyond capacity.
    Overload(OverloadArgs),
    /// What one more peer, report, request, change, booking or chunk costs each role.
    Slopes(SlopeArgs),
}

/// `celeryshed measure spread`.
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
    /// How the chunks travel.
    #[arg(long, value_enum, default_value_t = PlanChoice::Product)]
    pub plan: PlanChoice,
    /// What the distribution saves, instead of the deployment's choice.
    #[arg(long, value_enum)]
    pub weighing: Option<WeighingChoice>,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Instances killed during the spread, in percent.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u32).range(0..=50))]
    pub kill_percent: u32,
    /// Transfers corrupted, in percent.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u32).range(0..=50))]
    pub corrupt_percent: u32,
    /// Seconds in which the origin's link carries four copies and an instance's link two.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3600))]
    pub window_s: u64,
}

/// `celeryshed measure scarcity`.
#[derive(Clone, Debug, Args)]
pub struct ScarcityArgs {
    /// What happens.
    #[arg(long, default_value = "calm", value_parser = scenario)]
    pub scenario: ScarcityScenario,
    /// How endpoints are chosen.
    #[arg(long, default_value = "product", value_parser = policy)]
    pub policy: RoutingPolicy,
    /// Seed of the callers' arrivals and prompts.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Length of the run in simulated seconds.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(30..=3600))]
    pub duration_s: u64,
}

/// `celeryshed measure overload`.
#[derive(Clone, Debug, Args)]
pub struct OverloadArgs {
    /// What happens; every scenario without it.
    #[arg(long, value_parser = overload_scenario)]
    pub scenario: Option<OverloadScenario>,
    /// Seed of arrivals, prompts and ties.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Engines.
    #[arg(long, default_value_t = 88, value_parser = clap::value_parser!(u32).range(1..=600))]
    pub engines: u32,
    /// Entries.
    #[arg(long, default_value_t = 14, value_parser = clap::value_parser!(u32).range(1..=64))]
    pub entries: u32,
    /// Arrivals a second for each engine.
    #[arg(long, default_value_t = 8.2, value_parser = arrivals)]
    pub per_engine_s: f64,
    /// Milliseconds between two messages of an entry to the others on its load.
    #[arg(long, default_value_t = 56, value_parser = clap::value_parser!(u64).range(5..=2000))]
    pub load_interval_ms: u64,
    /// Folder for one plot (SVG) of each scenario.
    #[arg(long, value_name = "FOLDER")]
    pub plots: Option<PathBuf>,
}

/// `celeryshed measure slopes`.
#[derive(Clone, Debug, Args)]
pub struct SlopeArgs {
    /// The `celeryshedd` binary to measure; a release build. Without it the one beside this program.
    #[arg(long, value_name = "FILE")]
    pub daemon: Option<PathBuf>,
    /// Parts to run; all without it.
    #[arg(value_name = "PART", value_parser = part)]
    pub parts: Vec<SlopePart>,
    /// How often each size is measured.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=20))]
    pub repeats: Option<u32>,
}

/// Deployments.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum DeploymentChoice {
    /// Three zones around Fukuoka; weighs time.
    Hinokage,
    /// Three zones around Puget; weighs origin bytes.
    Coca,
}

/// Plans.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum PlanChoice {
    /// The product's own.
    Product,
    /// Every instance fetches from the origin.
    Origin,
    /// A tree of whole files.
    Tree,
}

/// Weighings.
#[derive(Clone, Copy, Debug, ValueEnum)]
#[value(rename_all = "snake_case")]
pub enum WeighingChoice {
    /// Time until the version is live everywhere.
    Time,
    /// Bytes fetched from the origin.
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
            weighing: args.weighing.map(|weighing| match weighing {
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
    /// The scenarios to run.
    pub fn scenarios(&self) -> Vec<OverloadScenario> {
        self.scenario.map_or(OverloadScenario::ALL.to_vec(), |scenario| vec![scenario])
    }

    /// The options of a scenario.
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
    /// The options; the daemon is looked for beside the running program.
    pub fn options(&self) -> std::io::Result<SlopeOptions> {
        let beside = || std::env::current_exe().map(|program| program.with_file_name(DAEMON_NAME));
        let daemon = match &self.daemon {
            Some(daemon) => daemon.clone(),
            None => beside()?,
        };
        let mut options = SlopeOptions::new(daemon);
        if !self.parts.is_empty() {
            options.parts = self.parts.clone();
        }
        options.repeats = self.repeats.unwrap_or(options.repeats);
        Ok(options)
    }
}

fn part(value: &str) -> Result<SlopePart, String> {
    value.parse().map_err(|error: SlopePartError| error.to_string())
}

fn scenario(value: &str) -> Result<ScarcityScenario, String> {
    ScarcityScenario::try_from(value).map_err(|error| error.to_string())
}

fn arrivals(value: &str) -> Result<f64, String> {
    let arrivals = value.parse().ok().filter(|arrivals| (0.1..=50.0).contains(arrivals));
    arrivals.ok_or_else(|| format!("{value:?} is no number of arrivals from 0.1 to 50 a second"))
}

fn overload_scenario(value: &str) -> Result<OverloadScenario, String> {
    OverloadScenario::try_from(value).map_err(|error| error.to_string())
}

fn policy(value: &str) -> Result<RoutingPolicy, String> {
    RoutingPolicy::try_from(value).map_err(|error| error.to_string())
}
