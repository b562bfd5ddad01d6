//! Decides how long a request may wait, and when a refused caller should retry.
//!
//! Load pattern: a burst, or capacity lost to crashes, releases or weight loads. A request waits
//! only as long as it can still be answered in time, and is refused immediately if the queue ahead
//! of it takes longer. Retries of refused callers are spread over time. They may wait longer than
//! first attempts, since they are late anyway and use only leftover capacity.

use std::time::Duration;

use celeryshed_base::{MonoTime, common_derives};

use crate::request::RequestProfile;

/// Fraction of the target latency that a first attempt may wait for a free slot.
const MAX_WAIT_TARGET_FRACTION: f64 = 0.5;
/// Longest wait of a caller's retry, or of a request whose target latency has passed.
pub(crate) const MAX_CALLER_RETRY_WAIT: Duration = Duration::from_millis(1500);
/// Fraction of the time until its deadline that any request may wait.
const MAX_WAIT_REMAINING_FRACTION: f64 = 0.3;
/// Shortest delay between a refusal and the caller's retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delays of callers that met a full queue, as fractions of the time until their deadline. They are
/// spread so that those who are refused together don't return together.
const QUEUE_RETRY_FRACTIONS: (f64, f64) = (0.12, 0.32);
/// Delays of callers whose request no endpoint serves. Callers wait for at most a third of the time
/// until their deadline.
const OUTAGE_RETRY_FRACTIONS: (f64, f64) = (0.24, 0.33);
/// Longest time after the end of a pause at which a caller returns, as a fraction of the time until
/// its deadline.
const PAUSE_RETRY_SPREAD: f64 = 0.1;

common_derives! { value:
    /// Why a request was refused without being run.
    #[derive(Copy)]
    pub enum RefusalReason {
        /// No endpoint becomes free in time.
        Overload,
        /// No endpoint serves the service or model.
        NoEndpoint,
        /// All endpoints that serve the service or model accept no requests of this entry.
        Paused {
            /// Time until the first of them accepts requests again.
            ends_in: Duration,
        },
        /// The retry budget is used up.
        RetryBudget,
        /// Requests with the same content crashed several endpoints.
        CrashesEndpoints,
        /// The time limit of the request has passed.
        TimeLimit,
        /// The bodies of other requests leave too little memory.
        BodyMemory,
    }
}

impl RefusalReason {
    /// The reason as written to logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::NoEndpoint => "no_endpoint",
            Self::Paused { .. } => "endpoints_paused",
            Self::RetryBudget => "retry_budget",
            Self::CrashesEndpoints => "crashes_endpoints",
            Self::TimeLimit => "time_limit",
            Self::BodyMemory => "body_memory",
        }
    }
}

/// The time until which a request that was queued at `since` waits for a free slot.
pub(crate) fn wait_until(profile: &RequestProfile, since: MonoTime) -> MonoTime {
    let remaining = profile.deadline - since;
    let max_wait = if profile.caller_retry || since > profile.target_at() {
        MAX_CALLER_RETRY_WAIT
    } else {
        profile.target_latency.mul_f64(MAX_WAIT_TARGET_FRACTION)
    };
    since + max_wait.min(remaining.mul_f64(MAX_WAIT_REMAINING_FRACTION))
}

/// The delay after which a refused caller should retry.
///
/// `remaining` is the time until the request's deadline, and `random` a random number that spreads
/// the delays. A caller whose request no endpoint serves now returns later than one that met a full
/// queue: endpoints that start or load weights take longer than a slot takes to become free. If the
/// endpoints have paused, it returns soon after the end of the first pause, if it can wait so long.
///
/// ```
/// use celeryshed_dispatch::{RefusalReason, retry_after};
/// use std::time::Duration;
/// let remaining = Duration::from_secs(6);
/// let full = retry_after(RefusalReason::Overload, remaining, 0);
/// assert!(full >= Duration::from_millis(600));
/// assert!(retry_after(RefusalReason::NoEndpoint, remaining, 0) > full);
/// ```
pub fn retry_after(reason: RefusalReason, remaining: Duration, random: u64) -> Duration {
    let (shortest, longest) = match reason {
        RefusalReason::Overload
        | RefusalReason::RetryBudget
        | RefusalReason::CrashesEndpoints
        | RefusalReason::TimeLimit
        | RefusalReason::BodyMemory => QUEUE_RETRY_FRACTIONS,
        RefusalReason::NoEndpoint | RefusalReason::Paused { .. } => OUTAGE_RETRY_FRACTIONS,
    };
    let position = (random % 1024) as f64 / 1024.0;
    let delay = remaining.mul_f64(shortest + (longest - shortest) * position);
    let delay = match reason {
        RefusalReason::Paused { ends_in } => {
            delay.min(ends_in + remaining.mul_f64(PAUSE_RETRY_SPREAD * position))
        }
        _ => delay,
    };
    delay.max(MIN_RETRY_DELAY)
}
