//! Options of the callers' routes.

use std::time::Duration;

use celeryshed_base::{AvailabilityZone, InstanceName, RegionName};

/// Largest age of a request.
const MAX_REQUEST: Duration = Duration::from_secs(600);

/// Longest wait for the first event of an attempt: a queue and a long prompt at the engine.
const FIRST_EVENT: Duration = Duration::from_secs(30);

/// Longest pause between two events of an attempt before it is resumed elsewhere; above the
/// sidecar's own limit for its engine, whose report says more about the cause.
const EVENT_GAP: Duration = Duration::from_secs(12);

/// Attempts of one request, the first included.
const MAX_ATTEMPTS: u32 = 6;

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
    /// Longest wait for the first event of an attempt.
    pub first_event: Duration,
    /// Longest pause between two events of an attempt.
    pub event_gap: Duration,
    /// Attempts of one request, the first included.
    pub max_attempts: u32,
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
    /// No attempt.
    #[error("max_attempts is 0: accepted are 1 and more")]
    NoAttempts,
}

impl CompletionOptions {
    /// Options with the default limits.
    pub fn new(instance: InstanceName, zone: AvailabilityZone, region: RegionName) -> Self {
        Self {
            instance,
            zone,
            region,
            max_request: MAX_REQUEST,
            first_event: FIRST_EVENT,
            event_gap: EVENT_GAP,
            max_attempts: MAX_ATTEMPTS,
        }
    }

    /// Checks the options.
    pub fn check(&self) -> Result<(), CompletionOptionsError> {
        let durations = [
            ("max_request", self.max_request),
            ("first_event", self.first_event),
            ("event_gap", self.event_gap),
        ];
        if let Some((option, _)) = durations.iter().find(|(_, duration)| duration.is_zero()) {
            return Err(CompletionOptionsError::ZeroDuration { option });
        }
        if self.max_attempts == 0 {
            return Err(CompletionOptionsError::NoAttempts);
        }
        Ok(())
    }
}
