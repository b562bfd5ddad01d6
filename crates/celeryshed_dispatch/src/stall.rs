//! Decides how long a stream may make no progress.
//!
//! Load pattern: engines that are slow, load weights or preempt requests pause between events, and
//! engines in trouble keep a connection open without sending another event. Only whole events count
//! as progress: a stalled endpoint may still send single bytes. A stream that may be resumed
//! elsewhere is cut early, one that can't be resumed only once its caller gives up too.

use std::time::Duration;

use celeryshed_base::common_derives;

use crate::routes::RouteRule;

/// Shortest time without an event after which a stream is resumed elsewhere. An engine that reads a
/// long prompt between two events takes most of it.
const MIN_RESUME_DELAY: Duration = Duration::from_millis(900);
/// Time without an event after which a stream is resumed elsewhere, as a multiple of the pause at
/// which its answer is late.
const RESUME_GAP_FACTOR: f64 = 1.8;
/// Shortest time without an event after which callers give up.
const MIN_CALLER_PATIENCE: Duration = Duration::from_secs(2);
/// Time without an event after which callers give up, as a multiple of the target latency.
const PATIENCE_LATENCY_FACTOR: u32 = 4;
/// Time without an event after which callers give up, as a multiple of the pause at which an answer
/// is late.
const PATIENCE_GAP_FACTOR: u32 = 8;

common_derives! { value:
    /// Times without a whole event after which a stream ends or moves.
    #[derive(Copy)]
    pub struct StallLimits {
        /// Time after which a stream that may be resumed goes on at another endpoint.
        pub resume_after: Duration,
        /// Time after which a stream that can't be resumed ends.
        pub give_up_after: Duration,
    }
}

impl From<&RouteRule> for StallLimits {
    fn from(route: &RouteRule) -> Self {
        let give_up_after = MIN_CALLER_PATIENCE
            .max(route.target_latency * PATIENCE_LATENCY_FACTOR)
            .max(route.target_gap * PATIENCE_GAP_FACTOR);
        let resume_after = MIN_RESUME_DELAY.max(route.target_gap.mul_f64(RESUME_GAP_FACTOR));
        Self { resume_after, give_up_after }
    }
}
