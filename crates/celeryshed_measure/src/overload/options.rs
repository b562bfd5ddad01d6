//! Options of the experiment.

use std::time::Duration;

use celeryshed_base::MonoTime;

/// What happens during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverloadScenario {
    /// Nothing; the engines are used nearly to capacity.
    Steady,
    /// Half as much again arrives for three seconds.
    Burst,
    /// All engines load new weights, one after the other.
    Loading,
    /// Half of the engines are gone for five seconds.
    Halved,
    /// No engine serves for four seconds; the callers that were refused come back afterwards.
    Outage,
}

impl OverloadScenario {
    /// All scenarios.
    pub const ALL: [Self; 5] =
        [Self::Steady, Self::Burst, Self::Loading, Self::Halved, Self::Outage];

    /// The name on the command line.
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
    pub(super) const START: MonoTime = MonoTime(Duration::from_secs(6));

    /// How long it lasts.
    pub(super) fn length(self) -> Duration {
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
        let disturbed = now >= Self::START && now < Self::START + self.length();
        if self == Self::Burst && disturbed { 1.5 } else { 1.0 }
    }
}

/// A text that names no scenario.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("scenario {value:?} is not known: accepted are steady, burst, loading, halved and outage")]
pub struct OverloadScenarioError {
    /// The rejected text.
    pub value: String,
}

impl TryFrom<&str> for OverloadScenario {
    type Error = OverloadScenarioError;

    fn try_from(value: &str) -> Result<Self, OverloadScenarioError> {
        let found = Self::ALL.into_iter().find(|scenario| scenario.name() == value);
        found.ok_or_else(|| OverloadScenarioError { value: value.to_owned() })
    }
}

/// How entries choose engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// The product's decisions.
    Product,
    /// Each engine in turn, at once.
    InTurn,
    /// The engine with the least known load, at once.
    LeastLoad,
    /// Any engine, at once.
    Random,
}

impl PlacementPolicy {
    /// All policies.
    pub const ALL: [Self; 4] = [Self::Product, Self::LeastLoad, Self::InTurn, Self::Random];

    /// The name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::InTurn => "in_turn",
            Self::LeastLoad => "least_load",
            Self::Random => "random",
        }
    }
}

/// Options of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadOptions {
    /// Seed of arrivals, prompts and ties.
    pub seed: u64,
    /// What happens.
    pub scenario: OverloadScenario,
    /// How engines are chosen.
    pub policy: PlacementPolicy,
    /// Engines.
    pub engines: u32,
    /// Entries.
    pub entries: u32,
    /// Usual arrivals a second for each engine.
    pub per_engine_s: f64,
    /// Length of the run.
    pub duration: Duration,
    /// Time between two messages of an entry to the others on its load.
    pub load_interval: Duration,
}

impl OverloadOptions {
    /// Options of the grown fleets: 88 engines behind 14 entries.
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
