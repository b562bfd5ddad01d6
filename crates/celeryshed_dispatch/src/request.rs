//! Properties of a request that the decisions depend on.

use std::time::Duration;

use celeryshed_base::{MonoTime, ServiceName, common_derives};

use crate::routes::RouteKind;

common_derives! { index:
    /// Identifies a request within this entry from its arrival to its end.
    pub struct RequestNumber(pub u64);
}

common_derives! { value:
    /// The properties of a request that placement and queueing use.
    pub struct RequestProfile {
        /// Destination service, chosen by the route.
        pub service: ServiceName,
        /// Whether the request may be sent again after it may have run.
        pub kind: RouteKind,
        /// Requested model; `None` if the service is not asked for a model.
        pub model: Option<String>,
        /// Length of the prompt in tokens.
        pub prompt_tokens: u32,
        /// Caller's estimate of the answer's length in tokens; `None` without an estimate.
        pub answer_tokens: Option<u32>,
        /// Time at which the request arrived at this entry.
        pub arrived_at: MonoTime,
        /// Time by which the complete answer is due.
        pub deadline: MonoTime,
        /// Time after the arrival within which an answer has its full value.
        pub target_latency: Duration,
        /// Priority of the team or route; zero is the most urgent.
        pub rank: u8,
        /// Whether the caller sends the request again after a refusal, so that its target latency
        /// has passed already.
        pub caller_retry: bool,
        /// Version that the endpoint must serve to continue a stream; `None` for a new request.
        pub version: Option<u64>,
    }
}

impl RequestProfile {
    /// Time from which an answer no longer has its full value.
    pub fn target_at(&self) -> MonoTime {
        self.arrived_at + self.target_latency
    }
}
