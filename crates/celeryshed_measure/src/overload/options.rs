//! Scenarios, policies and options of the experiment.

use std::time::Duration;

use celeryshed_base::MonoTime;

/// The disturbance during a run; it starts 6 s after the start of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverloadScenario {
    /// No disturbance; the load is just below the engines' capacity.
    Steady,
    /// Requests arrive at 1.5 times the usual rate for three seconds.
    Burst,
    /// All engines load new weights one after the other, over seven seconds.
    Loading,
    /// Half of the engines are down for five seconds.
    Halved,
    /// All engines are down for four seconds; refused callers retry afterwards.
    Outage,
}

impl OverloadScenario {
    /// All scenarios, in the order in which the command line runs them by default.
    pub const ALL: [Self; 5] =
        [Self::Steady, Self::Burst, Self::Loading, Self::Halved, Self::Outage];

    /// The name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Burst => "burst",
            Self::Loading => "loading",
            Self::Halved => "halved",
            Self::Outage => "outage",
        }
    }

    /// When the disturbance begins.
    pub(super) const DISTURBANCE_START: MonoTime = MonoTime(Duration::from_secs(6));

    pub(super) fn disturbance_length(self) -> Duration {
        Duration::from_secs(match self {
            Self::Steady => 0,
            Self::Burst => 3,
            Self::Loading => 7,
            Self::Halved => 5,
            Self::Outage => 4,
        })
    }

    /// Arrivals at `now` as a multiple of the usual rate.
    pub(super) fn arrival_factor(self, now: MonoTime) -> f64 {
        let is_disturbed = now >= Self::DISTURBANCE_START
            && now < Self::DISTURBANCE_START + self.disturbance_length();
        if self == Self::Burst && is_disturbed { 1.5 } else { 1.0 }
    }
}

/// The scenario name is not one of [`OverloadScenario::ALL`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("scenario {value:?} is not known: accepted are steady, burst, loading, halved and outage")]
pub struct OverloadScenarioError {
    /// The rejected name.
    pub value: String,
}

impl TryFrom<&str> for OverloadScenario {
    type Error = OverloadScenarioError;

    fn try_from(value: &str) -> Result<Self, OverloadScenarioError> {
        let scenario = Self::ALL.into_iter().find(|scenario| scenario.name() == value);
        scenario.ok_or_else(|| OverloadScenarioError { value: value.to_owned() })
    }
}

/// How entries choose an engine for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// The dispatcher of the product; requests may wait at the entry.
    Product,
    /// Round robin, without waiting at the entry.
    InTurn,
    /// The engine with the least known load, without waiting at the entry.
    LeastLoad,
    /// A random engine, without waiting at the entry.
    Random,
}

impl PlacementPolicy {
    /// All policies, in the order of [`PlacementPolicy::compare`].
    pub const ALL: [Self; 4] = [Self::Product, Self::LeastLoad, Self::InTurn, Self::Random];

    /// The name in reports and in the legends of plots.
    pub fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::InTurn => "in_turn",
            Self::LeastLoad => "least_load",
            Self::Random => "random",
        }
    }
}

/// Options of a run; [`OverloadOptions::new`] sets the defaults.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadOptions {
    /// Seed of the random arrivals, prompts and choices between equal engines.
    pub seed: u64,
    /// The disturbance during the run.
    pub scenario: OverloadScenario,
    /// How entries choose an engine.
    pub policy: PlacementPolicy,
    /// Number of engines; default 88.
    pub engines: u32,
    /// Number of entries; default 14.
    pub entries: u32,
    /// Requests per second and engine outside of a burst; default 8.2.
    pub per_engine_s: f64,
    /// Time during which requests arrive; default 20 s.
    pub duration: Duration,
    /// Interval at which an entry sends its load to the other entries; default 56 ms.
    pub load_interval: Duration,
}

impl OverloadOptions {
    /// Default options: 88 engines behind 14 entries, the size of the enlarged deployments.
    ///
    /// ```
    /// use celeryshed_measure::overload::{OverloadOptions, OverloadScenario, PlacementPolicy};
    /// let options = OverloadOptions::new(1, OverloadScenario::Burst, PlacementPolicy::Product);
    /// assert_eq!(options.engines, 88);
    /// ```
    pub fn new(seed: u64, scenario: OverloadScenario, policy: PlacementPolicy) -> Self {
        Self {
            seed,
            scenario,
            policy,
            engines: 88,
            entries: 14,
            per_engine_s: 8.2,
            duration: Duration::from_secs(20),
            load_interval: Duration::from_millis(56),
        }
    }
}
