//! Limits and timeouts of the callers' requests.

use std::time::Duration;

use celeryshed_base::{AvailabilityZone, InstanceName, RegionName};
use celeryshed_core::admission::QueueOptions;
use celeryshed_core::routing::RoutingOptions;

/// Default of [`CompletionOptions::acknowledge_timeout`]. A sidecar acknowledges an attempt
/// immediately, before it looks for a slot. A sidecar whose link passes reports but no requests
/// must get no new requests after 5 s, so that the timeout is shorter.
const ACKNOWLEDGE: Duration = Duration::from_secs(3);

/// Default of [`CompletionOptions::max_request`].
const MAX_REQUEST: Duration = Duration::from_secs(600);

/// Default of [`CompletionOptions::first_event_timeout`]; allows for a long prompt that is queued
/// behind others at the engine.
const FIRST_EVENT: Duration = Duration::from_secs(10);

/// Default of [`CompletionOptions::event_gap_timeout`]. It is longer than the sidecar's own timeout
/// for its engine, so that the sidecar reports a stalled engine first, with a more precise cause.
const EVENT_GAP: Duration = Duration::from_secs(5);

/// Limits and timeouts of the callers' requests.
#[derive(Clone, Debug)]
pub struct CompletionOptions {
    /// Instance name of this entry.
    pub instance: InstanceName,
    /// Availability zone of this entry.
    pub zone: AvailabilityZone,
    /// Region of this entry.
    pub region: RegionName,
    /// Maximum time from the arrival of a request to its deadline; default 600 s.
    pub max_request: Duration,
    /// Timeout for a sidecar to acknowledge an attempt; default 3 s.
    pub acknowledge_timeout: Duration,
    /// Timeout for each event of an attempt up to the first token; default 10 s.
    pub first_event_timeout: Duration,
    /// Timeout for each event after the first token, after which another endpoint resumes the
    /// answer; default 5 s.
    pub event_gap_timeout: Duration,
    /// Options for choosing endpoints.
    pub routing: RoutingOptions,
    /// Options of the queues of waiting requests.
    pub queues: QueueOptions,
}

/// Invalid [`CompletionOptions`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CompletionOptionsError {
    /// A duration is zero.
    #[error("completion option {option} is 0; it must be a positive duration")]
    ZeroDuration {
        /// Name of the option.
        option: &'static str,
    },
    /// The subset size is zero, so that no endpoint could be chosen.
    #[error("routing option subset_size is 0; it must be 1 or more")]
    EmptySubset,
}

impl CompletionOptions {
    /// Default options for an entry at this location.
    pub fn new(instance: InstanceName, zone: AvailabilityZone, region: RegionName) -> Self {
        Self {
            routing: RoutingOptions::new(instance.clone(), zone.clone(), region.clone()),
            queues: QueueOptions::default(),
            instance,
            zone,
            region,
            max_request: MAX_REQUEST,
            acknowledge_timeout: ACKNOWLEDGE,
            first_event_timeout: FIRST_EVENT,
            event_gap_timeout: EVENT_GAP,
        }
    }

    /// Returns an error if a duration or the subset size is zero.
    pub fn check(&self) -> Result<(), CompletionOptionsError> {
        let durations = [
            ("max_request", self.max_request),
            ("acknowledge", self.acknowledge_timeout),
            ("first_event", self.first_event_timeout),
            ("event_gap", self.event_gap_timeout),
        ];
        if let Some((option, _)) = durations.iter().find(|(_, duration)| duration.is_zero()) {
            return Err(CompletionOptionsError::ZeroDuration { option });
        }
        if self.routing.subset_size == 0 {
            return Err(CompletionOptionsError::EmptySubset);
        }
        Ok(())
    }
}
