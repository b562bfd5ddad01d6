//! Options of the callers' routes.

use std::time::Duration;

use celeryshed_base::{AvailabilityZone, InstanceName, RegionName};
use celeryshed_core::admission::QueueOptions;
use celeryshed_core::routing::RoutingOptions;

/// Longest wait for a sidecar to take an attempt. It answers at once, before it looks for a slot;
/// a link that passes its reports but no requests must get no new work after 5 s.
const ACKNOWLEDGE: Duration = Duration::from_secs(3);

/// Largest age of a request.
const MAX_REQUEST: Duration = Duration::from_secs(600);

/// Longest wait for the first token of an attempt: a long prompt behind others at the engine.
const FIRST_EVENT: Duration = Duration::from_secs(10);

/// Longest pause between two events of an attempt before it is resumed elsewhere; above the
/// sidecar's own limit for its engine, whose report says more about the cause.
const EVENT_GAP: Duration = Duration::from_secs(5);

/// Options of the callers' routes.
#[derive(Clone, Debug)]
pub struct CompletionOptions {
    /// Instance of this entry.
    pub instance: InstanceName,
    /// Availability zone of this entry.
    pub zone: AvailabilityZone,
    /// Region of this entry.
    pub region: RegionName,
    /// Largest age of a request.
    pub max_request: Duration,
    /// Longest wait for a sidecar to take an attempt.
    pub acknowledge: Duration,
    /// Longest wait for the first event of an attempt.
    pub first_event: Duration,
    /// Longest pause between two events of an attempt.
    pub event_gap: Duration,
    /// Options of the routing.
    pub routing: RoutingOptions,
    /// Options of the queues.
    pub queues: QueueOptions,
}

/// Options that can't work.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CompletionOptionsError {
    /// A duration of zero.
    #[error("{option} is 0: accepted is a positive duration")]
    ZeroDuration {
        /// The option.
        option: &'static str,
    },
    /// No endpoint is considered.
    #[error("subset_size is 0: accepted are 1 and more")]
    EmptySubset,
}

impl CompletionOptions {
    /// Options with the default limits.
    pub fn new(instance: InstanceName, zone: AvailabilityZone, region: RegionName) -> Self {
        Self {
            routing: RoutingOptions::new(instance.clone(), zone.clone(), region.clone()),
            queues: QueueOptions::default(),
            instance,
            zone,
            region,
            max_request: MAX_REQUEST,
            acknowledge: ACKNOWLEDGE,
            first_event: FIRST_EVENT,
            event_gap: EVENT_GAP,
        }
    }

    /// Checks the options.
    pub fn check(&self) -> Result<(), CompletionOptionsError> {
        let durations = [
            ("max_request", self.max_request),
            ("acknowledge", self.acknowledge),
            ("first_event", self.first_event),
            ("event_gap", self.event_gap),
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
