//! Options of the routing module.

use std::time::Duration;

use celeryshed_base::{AvailabilityZone, InstanceName, RegionName};

/// How an endpoint is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Lowest expected time to the first token; the default.
    #[default]
    Expected,
    /// Uniformly distributed by the request's seed; a baseline for measurements.
    Random,
    /// Round robin; a baseline for measurements.
    RoundRobin,
    /// Fewest requests, counting those reported and those sent since; a baseline for
    /// measurements.
    LeastLoad,
}

/// Error for a text that is not the name of a routing policy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("policy {value:?} is not known: accepted are product, random, round_robin and least_load")]
pub struct PolicyError {
    /// The rejected text.
    pub value: String,
}

impl TryFrom<&str> for RoutingPolicy {
    type Error = PolicyError;

    /// ```
    /// use celeryshed_core::routing::RoutingPolicy;
    /// assert_eq!(RoutingPolicy::try_from("product"), Ok(RoutingPolicy::Expected));
    /// assert!(RoutingPolicy::try_from("best").is_err());
    /// ```
    fn try_from(value: &str) -> Result<Self, PolicyError> {
        match value {
            "product" => Ok(Self::Expected),
            "random" => Ok(Self::Random),
            "round_robin" => Ok(Self::RoundRobin),
            "least_load" => Ok(Self::LeastLoad),
            _ => Err(PolicyError { value: value.to_owned() }),
        }
    }
}

/// Times from which scores are computed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScoreRates {
    /// Processing time of one prompt token.
    pub(super) prefill_token_ns: u64,
    /// Time for which a request occupies a slot.
    pub(super) slot_us: u64,
}

/// Options of an [`EndpointTable`](super::EndpointTable).
#[derive(Clone, Debug)]
pub struct RoutingOptions {
    /// Name of this entry, from which its preferred subset of endpoints is computed.
    pub instance: InstanceName,
    /// Availability zone of this entry.
    pub zone: AvailabilityZone,
    /// Region of this entry.
    pub region: RegionName,
    /// One-way latency to another availability zone of the region; default 1 ms.
    pub zone_latency: Duration,
    /// One-way latency to another region; default 3 ms.
    pub region_latency: Duration,
    /// Size of the preferred subset per service; the other endpoints are considered when all of the
    /// subset are full or ineligible. Default 20.
    pub subset_size: usize,
    /// Prompt tokens that an engine processes per second; default 8000.
    pub prefill_tokens_per_s: u64,
    /// Time for which a request occupies a slot; default 2 s.
    pub slot_time: Duration,
    /// Time that an engine takes to load an adapter; default 500 ms.
    pub adapter_load: Duration,
    /// Time over which the usable slots of a new endpoint rise to all of its slots; default 10 s.
    pub slow_start: Duration,
    /// Consecutive failures after which an endpoint is ejected; default 3.
    pub ejection_failures: u32,
    /// Duration of the first ejection; it doubles with each consecutive one. Default 1 s.
    pub ejection_time: Duration,
    /// Maximum duration of an ejection; default 30 s.
    pub ejection_max: Duration,
    /// Age at which a prefix hint expires; default 60 s.
    pub hint_age: Duration,
    /// Age of the load in a report when the report arrives; default 500 ms.
    pub report_lag: Duration,
    /// How an endpoint is chosen; default [`RoutingPolicy::Expected`].
    pub policy: RoutingPolicy,
}

impl RoutingOptions {
    /// Times from which scores are computed, converted once per decision.
    pub(super) fn rates(&self) -> ScoreRates {
        ScoreRates {
            prefill_token_ns: 1_000_000_000 / self.prefill_tokens_per_s.max(1),
            slot_us: self.slot_time.as_micros() as u64,
        }
    }

    /// Default options for an entry at this place.
    pub fn new(instance: InstanceName, zone: AvailabilityZone, region: RegionName) -> Self {
        Self {
            instance,
            zone,
            region,
            zone_latency: Duration::from_millis(1),
            region_latency: Duration::from_millis(3),
            subset_size: 20,
            prefill_tokens_per_s: 8000,
            slot_time: Duration::from_secs(2),
            adapter_load: Duration::from_millis(500),
            slow_start: Duration::from_secs(10),
            ejection_failures: 3,
            ejection_time: Duration::from_secs(1),
            ejection_max: Duration::from_secs(30),
            hint_age: Duration::from_secs(60),
            report_lag: Duration::from_millis(500),
            policy: RoutingPolicy::Expected,
        }
    }
}
