//! Scenarios and options of the experiment.

use std::time::Duration;

use celeryshed_core::routing::RoutingPolicy;

/// Load and faults of a run; faults start after 40% of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScarcityScenario {
    /// Load below the capacity, without a fault.
    Calm,
    /// Seven of the 15 engines crash.
    HalfGone,
    /// Requests without a contract bring the whole load to three times the capacity.
    Overload,
    /// An availability zone with its entry and engines becomes unreachable.
    ZoneGone,
    /// Callers resend refused requests after 100 ms, while a third of the engines are down.
    RetryStorm,
    /// Engines switch to a new version one after the other, and its distribution slows down links.
    Spread,
}

impl ScarcityScenario {
    /// All scenarios, for lookups by name.
    pub const ALL: [Self; 6] = [
        Self::Calm,
        Self::HalfGone,
        Self::Overload,
        Self::ZoneGone,
        Self::RetryStorm,
        Self::Spread,
    ];

    /// The name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::HalfGone => "half_gone",
            Self::Overload => "overload",
            Self::ZoneGone => "zone_gone",
            Self::RetryStorm => "retry_storm",
            Self::Spread => "spread",
        }
    }

    /// Load of requests without a contract, as a multiple of the capacity.
    pub(super) fn uncontracted_load(self) -> f64 {
        match self {
            Self::Calm | Self::HalfGone | Self::ZoneGone | Self::Spread => 0.2,
            Self::Overload => 2.65,
            Self::RetryStorm => 1.0,
        }
    }
}

/// The scenario name is not one of [`ScarcityScenario::ALL`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "scenario {value:?} is not known: accepted are calm, half_gone, overload, zone_gone, retry_storm and spread"
)]
pub struct ScenarioError {
    /// The rejected name.
    pub value: String,
}

impl TryFrom<&str> for ScarcityScenario {
    type Error = ScenarioError;

    fn try_from(value: &str) -> Result<Self, ScenarioError> {
        let scenario = Self::ALL.into_iter().find(|scenario| scenario.name() == value);
        scenario.ok_or_else(|| ScenarioError { value: value.to_owned() })
    }
}

/// Options of a run; [`ScarcityOptions::new`] sets the defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct ScarcityOptions {
    /// Seed of the callers' arrivals and prompts and of the balancer's choices.
    pub seed: u64,
    /// Load and faults of the run.
    pub scenario: ScarcityScenario,
    /// How entries choose endpoints; default [`RoutingPolicy::Expected`].
    pub policy: RoutingPolicy,
    /// Time during which requests arrive; default 90 s, of which the first 30 s aren't counted.
    pub duration: Duration,
    /// Load of requests without a contract as a multiple of the capacity; `None`, the default, takes
    /// the scenario's.
    pub uncontracted_load: Option<f64>,
}

impl ScarcityOptions {
    /// Options of a run with the default policy, duration and load.
    ///
    /// ```
    /// use celeryshed_measure::scarcity::{ScarcityOptions, ScarcityScenario};
    /// assert_eq!(ScarcityOptions::new(1, ScarcityScenario::Calm).seed, 1);
    /// ```
    pub fn new(seed: u64, scenario: ScarcityScenario) -> Self {
        Self {
            seed,
            scenario,
            policy: RoutingPolicy::Expected,
            duration: Duration::from_secs(90),
            uncontracted_load: None,
        }
    }
}
