//! Options of the routing.

use std::time::Duration;

use celeryshed_base::{AvailabilityZone, InstanceName, RegionName};

/// How an endpoint is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Lowest expected time to the first token.
    #[default]
    Expected,
    /// Uniformly by the request's seed; for comparison.
    Random,
    /// Each endpoint in turn; for comparison.
    RoundRobin,
    /// Fewest requests reported and sent since; for comparison.
    LeastLoad,
}

/// A text that names no policy.
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

/// Options of the routing.
#[derive(Clone, Debug)]
pub struct RoutingOptions {
    /// This entry; it determines the subset of endpoints.
    pub instance: InstanceName,
    /// Availability zone of this entry.
    pub zone: AvailabilityZone,
    /// Region of this entry.
    pub region: RegionName,
    /// One-way latency to another availability zone of the region.
    pub zone_latency: Duration,
    /// One-way latency to another region.
    pub region_latency: Duration,
    /// Endpoints that are considered first; the others only when none of these fits.
    pub subset_size: usize,
    /// Prompt tokens that an engine processes a second.
    pub prefill_tokens_per_s: u64,
    /// Time that a request holds a slot, before any is known from the service.
    pub slot_time: Duration,
    /// Time to load an adapter that an engine doesn't have.
    pub adapter_load: Duration,
    /// Time over which a fresh endpoint's share rises to the full one.
    pub slow_start: Duration,
    /// Failures in a row that eject an endpoint.
    pub ejection_failures: u32,
    /// First time of ejection; it doubles with each further one.
    pub ejection_time: Duration,
    /// Longest time of ejection.
    pub ejection_max: Duration,
    /// Age at which a prefix hint is dropped.
    pub hint_age: Duration,
    /// Age of a load report's content when it arrives.
    pub report_lag: Duration,
    /// How an endpoint is chosen.
    pub policy: RoutingPolicy,
}

impl RoutingOptions {
    /// Time that an engine needs for one prompt token.
    pub(super) fn prefill_token_ns(&self) -> u64 {
        1_000_000_000 / self.prefill_tokens_per_s.max(1)
    }

    /// Options with the defaults.
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
