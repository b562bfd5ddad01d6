//! Decides how long a stream may make no progress before it is resumed elsewhere.
//!
//! Load pattern: engines that are slow, load weights or preempt requests pause between events, and
//! engines in trouble keep a connection open without sending another event. Only whole events count
//! as progress: a stalled endpoint may still send single bytes. As silence doesn't tell the two
//! apart, a stream that can't be resumed goes on until its time limit.

use std::time::Duration;

use celeryshed_base::common_derives;

use crate::routes::RouteRule;

/// Shortest time without an event after which a stream is resumed elsewhere. An engine that reads a
/// long prompt between two events takes most of it.
const MIN_RESUME_DELAY: Duration = Duration::from_millis(900);
/// Time without an event after which a stream is resumed elsewhere, as a multiple of the pause at
/// which its answer is late.
const RESUME_GAP_FACTOR: f64 = 1.8;

common_derives! { value:
    /// Times without a whole event after which a stream moves.
    #[derive(Copy)]
    pub struct StallLimits {
        /// Time after which a stream that may be resumed goes on at another endpoint.
        pub resume_after: Duration,
    }
}

impl From<&RouteRule> for StallLimits {
    fn from(route: &RouteRule) -> Self {
        let resume_after = MIN_RESUME_DELAY.max(route.target_gap.mul_f64(RESUME_GAP_FACTOR));
        Self { resume_after }
    }
}
