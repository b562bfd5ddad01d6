//! Detects requests that a caller sends again after a refusal or a failure.
//!
//! Load pattern: after an outage, retries of refused callers arrive together with first attempts.
//! The target latency counts from a caller's first attempt, so a caller's retry is already late and
//! is queued behind requests that can still meet their target.

use std::time::Duration;

/// Smallest fraction of a route's time limit that a first attempt states as its own limit. Callers
/// vary their limits by up to 15%.
const MIN_FIRST_LIMIT_FRACTION: f64 = 0.845;

/// Whether a request is a retry by its caller.
///
/// `limit` is the remaining time that the caller states, and `timeout` the time limit of the route.
/// A retry states a shorter limit than a first attempt. Requests without a limit count as first
/// attempts.
///
/// ```
/// use celeryshed_dispatch::is_caller_retry;
/// use std::time::Duration;
/// let timeout = Duration::from_secs(6);
/// assert!(!is_caller_retry(Some(Duration::from_millis(5200)), timeout));
/// assert!(is_caller_retry(Some(Duration::from_millis(4700)), timeout));
/// ```
pub fn is_caller_retry(limit: Option<Duration>, timeout: Duration) -> bool {
    limit.is_some_and(|limit| limit < timeout.mul_f64(MIN_FIRST_LIMIT_FRACTION))
}
