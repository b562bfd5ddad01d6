//! Arguments of `celeryshed measure`.

use std::time::Duration;

use celeryshed_core::routing::RoutingPolicy;
use celeryshed_core::spread::SpreadWeighing;
use celeryshed_measure::scarcity::{ScarcityOptions, ScarcityScenario};
use celeryshed_measure::spread::{SpreadDeployment, SpreadMeasureOptions, SpreadPlanKind};
use clap::{Args, Subcommand, ValueEnum};

/// Experiments.
#[derive(Clone, Debug, Subcommand)]
pub enum MeasureCommand {
    /// Time until a version is live on N replicas, and copies fetched from the origin.
    Spread(SpreadArgs),
    /// Goodput and first tokens of each customer when instances are scarce.
    Scarcity(ScarcityArgs),
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
                WeighingChoice::Time => SpreadWeighing::Time,
                WeighingChoice::OriginBytes => SpreadWeighing::OriginBytes,
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

fn scenario(value: &str) -> Result<ScarcityScenario, String> {
    ScarcityScenario::try_from(value).map_err(|error| error.to_string())
}

fn policy(value: &str) -> Result<RoutingPolicy, String> {
    RoutingPolicy::try_from(value).map_err(|error| error.to_string())
}
