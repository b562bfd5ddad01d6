//! Options of the experiment.

use std::time::Duration;

use celeryshed_core::routing::RoutingPolicy;

/// What happens during the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScarcityScenario {
    /// Nothing.
    Calm,
    /// Seven of the 15 engines die.
    HalfGone,
    /// Work without a contract arrives at three times the capacity.
    Overload,
    /// An availability zone with its entry and engines vanishes.
    ZoneGone,
    /// Callers resend refused requests at once, while a third of the engines fail for a while.
    RetryStorm,
    /// A new version is rolled out engine by engine, and links are slower meanwhile.
    Spread,
}

impl ScarcityScenario {
    /// All scenarios.
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

    /// Load without a contract, as a multiple of the capacity.
    pub(super) fn uncontracted_load(self) -> f64 {
        match self {
            Self::Calm | Self::HalfGone | Self::ZoneGone | Self::Spread => 0.2,
            Self::Overload => 2.65,
            Self::RetryStorm => 1.0,
        }
    }
}

/// A text that names no scenario.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "scenario {value:?} is not known: accepted are calm, half_gone, overload, zone_gone, retry_storm and spread"
)]
pub struct ScenarioError {
    /// The rejected text.
    pub value: String,
}

impl TryFrom<&str> for ScarcityScenario {
    type Error = ScenarioError;

    fn try_from(value: &str) -> Result<Self, ScenarioError> {
        let found = Self::ALL.into_iter().find(|scenario| scenario.name() == value);
        found.ok_or_else(|| ScenarioError { value: value.to_owned() })
    }
}

/// Options of the experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct ScarcityOptions {
    /// Seed of the callers' arrivals and prompts.
    pub seed: u64,
    /// What happens.
    pub scenario: ScarcityScenario,
    /// How endpoints are chosen.
    pub policy: RoutingPolicy,
    /// Length of the run.
    pub duration: Duration,
    /// Load without a contract as a multiple of the capacity; `None` for the scenario's own.
    pub uncontracted_load: Option<f64>,
}

impl ScarcityOptions {
    /// Options of one run with the default length.
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
