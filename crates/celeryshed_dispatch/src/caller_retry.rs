//! Which callers have come back after a refusal or a failure.
//!
//! Load pattern: after an outage, callers that were refused return among those that come for the
//! first time. The target latency counts from a caller's first attempt, so whoever came back is late
//! already and gives way to all that may still be in time.

use std::time::Duration;

/// Part of a route's time limit that callers state at their first attempt at least: they vary their
/// limits by up to 15 in 100.
const FIRST_LIMIT_PART: f64 = 0.845;

/// Whether a caller that allows `limit` on a route with the time limit `timeout` has come back: it
/// states what is left of its time.
///
/// ```
/// use celeryshed_dispatch::is_caller_retry;
/// use std::time::Duration;
/// let timeout = Duration::from_secs(6);
/// assert!(!is_caller_retry(Some(Duration::from_millis(5200)), timeout));
/// assert!(is_caller_retry(Some(Duration::from_millis(4700)), timeout));
/// ```
pub fn is_caller_retry(limit: Option<Duration>, timeout: Duration) -> bool {
    limit.is_some_and(|limit| limit < timeout.mul_f64(FIRST_LIMIT_PART))
}
