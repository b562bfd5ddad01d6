//! When a request is refused, and when its caller should come back.
//!
//! Load pattern: a burst, or capacity lost to crashes, releases or loading weights. A request waits
//! only as long as it may still be answered in time; when the line ahead of it already takes longer,
//! it is refused at once. Those who come back are spread over time, and wait longer, since they are
//! late in any case and use what is left over.

use std::time::Duration;

use celeryshed_base::{MonoTime, common_derives};

use crate::request::RequestProfile;

/// Part of the target latency that a request may wait for room.
const PATIENCE: f64 = 0.5;
/// Longest wait of a request that came back.
pub(crate) const CALLER_RETRY_WAIT: Duration = Duration::from_millis(1500);
/// Part of the remaining time that any request may wait.
const WAIT_SHARE: f64 = 0.3;
/// Earliest return after a refusal.
const RETURN_AFTER: Duration = Duration::from_millis(600);
/// Span over which callers return.
const RETURN_SPREAD: Duration = Duration::from_millis(1200);

common_derives! { value:
    /// Why a request was refused without being run.
    #[derive(Copy)]
    pub enum RefusalReason {
        /// No endpoint becomes free in time.
        Overload,
        /// No endpoint serves the service or model.
        NoEndpoint,
        /// The retry budget is used up.
        RetryBudget,
        /// Its content crashed several endpoints.
        CrashesEndpoints,
        /// The time limit is over.
        TimeLimit,
    }
}

impl RefusalReason {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::NoEndpoint => "no_endpoint",
            Self::RetryBudget => "retry_budget",
            Self::CrashesEndpoints => "crashes_endpoints",
            Self::TimeLimit => "time_limit",
        }
    }
}

/// Until when a request waits for room.
pub(crate) fn wait_until(profile: &RequestProfile, since: MonoTime) -> MonoTime {
    let remaining = profile.deadline - since;
    let patience = if profile.caller_retry || since > profile.target_at() {
        CALLER_RETRY_WAIT
    } else {
        profile.target_latency.mul_f64(PATIENCE)
    };
    since + patience.min(remaining.mul_f64(WAIT_SHARE))
}

/// When a refused caller should come back; `draw` is any number.
///
/// ```
/// use celeryshed_dispatch::retry_after;
/// assert!(retry_after(1) >= std::time::Duration::from_millis(600));
/// ```
pub fn retry_after(draw: u64) -> Duration {
    RETURN_AFTER + RETURN_SPREAD.mul_f64((draw % 1024) as f64 / 1024.0)
}
