//! What the decisions need to know of a request.

use std::time::Duration;

use celeryshed_base::{MonoTime, ServiceName, common_derives};

use crate::routes::RouteKind;

common_derives! { index:
    /// Identifies a request at this entry from its arrival to its end.
    pub struct RequestNumber(pub u64);
}

common_derives! { value:
    /// A request, as placement and waiting see it.
    pub struct RequestProfile {
        /// The service that it goes to.
        pub service: ServiceName,
        /// How it may be repeated.
        pub kind: RouteKind,
        /// The model that it asks for.
        pub model: Option<String>,
        /// Tokens of its prompt.
        pub prompt_tokens: u32,
        /// Tokens that its answer is expected to have, if the caller gave an estimate.
        pub answer_tokens: Option<u32>,
        /// When it arrived here.
        pub arrived_at: MonoTime,
        /// When its final answer is due.
        pub deadline: MonoTime,
        /// Time within which an answer has its full value.
        pub target_latency: Duration,
        /// Rank; zero is the most urgent.
        pub rank: u8,
        /// Whether the target has passed before it arrived: the caller came back after a refusal.
        pub caller_retry: bool,
        /// Version that the endpoint must serve, for the rest of a stream.
        pub version: Option<u64>,
    }
}

impl RequestProfile {
    /// When an answer loses its full value.
    pub fn target_at(&self) -> MonoTime {
        self.arrived_at + self.target_latency
    }
}
