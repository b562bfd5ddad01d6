//! Options of the attempts.

use std::time::Duration;

use celeryshed_base::{InstanceName, ServiceName};

/// Longest run time of an attempt, whatever the deadline of its request.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(600);

/// Longest pause between two tokens before the engine counts as failed; about 150 times the 95th
/// percentile of the inter-token latency.
const TOKEN_GAP: Duration = Duration::from_secs(4);

/// Longest wait for the first token; covers a long prompt that queues behind others.
const FIRST_TOKEN: Duration = Duration::from_secs(9);

/// Longest time for which an entry may accept no frame before the attempt is stopped. Without this
/// limit, an entry whose machine has failed would hold slots for the longest run time.
const READER_STALL: Duration = Duration::from_secs(30);

/// The endpoint that this sidecar serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointTarget {
    /// A model engine with this base URL.
    Engine(String),
    /// A plain service with this base URL.
    Plain(String),
}

impl EndpointTarget {
    /// The base URL, without a trailing slash.
    pub fn base_url(&self) -> &str {
        match self {
            Self::Engine(url) | Self::Plain(url) => url.trim_end_matches('/'),
        }
    }
}

/// Options of the attempts; [`AttemptOptions::new`] sets the defaults.
#[derive(Clone, Debug)]
pub struct AttemptOptions {
    /// Instance of this sidecar.
    pub instance: InstanceName,
    /// Service of the endpoint.
    pub service: ServiceName,
    /// Kind and base URL of the endpoint.
    pub target: EndpointTarget,
    /// Attempts that the endpoint runs concurrently; 1 or more.
    pub slots: u32,
    /// Longest run time of an attempt, whatever the deadline of its request; 600 s by default.
    pub max_request_time: Duration,
    /// Longest pause between two tokens before the engine counts as failed; 4 s by default.
    pub token_gap: Duration,
    /// Longest wait for the first token of an engine; 9 s by default.
    pub first_token: Duration,
    /// Longest time for which an entry may accept no frame before the attempt is stopped; 30 s by
    /// default.
    pub reader_stall: Duration,
}

/// An invalid option of [`AttemptOptions`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttemptOptionsError {
    /// `slots` is 0.
    #[error("slots is 0: accepted are 1 and more")]
    NoSlots,
    /// The base URL of the endpoint isn't an `http://` URL.
    #[error("endpoint {url:?} is not a base URL: accepted is http://<address>:<port>")]
    NotHttp {
        /// The rejected URL.
        url: String,
    },
    /// A duration is zero.
    #[error("{option} is 0: accepted is a positive duration")]
    ZeroDuration {
        /// Name of the field.
        option: &'static str,
    },
}

impl AttemptOptions {
    /// Creates options with the default time limits.
    pub fn new(
        instance: InstanceName,
        service: ServiceName,
        target: EndpointTarget,
        slots: u32,
    ) -> Self {
        Self {
            instance,
            service,
            target,
            slots,
            max_request_time: MAX_REQUEST_TIME,
            token_gap: TOKEN_GAP,
            first_token: FIRST_TOKEN,
            reader_stall: READER_STALL,
        }
    }

    /// Checks that there is a slot, that the base URL is an `http://` URL and that no duration is
    /// zero.
    pub fn check(&self) -> Result<(), AttemptOptionsError> {
        if self.slots == 0 {
            return Err(AttemptOptionsError::NoSlots);
        }
        if !self.target.base_url().starts_with("http://") {
            let url = self.target.base_url().to_owned();
            return Err(AttemptOptionsError::NotHttp { url });
        }
        check_positive("max_request", self.max_request_time)?;
        check_positive("token_gap", self.token_gap)?;
        check_positive("first_token", self.first_token)?;
        check_positive("reader_stall", self.reader_stall)
    }
}

fn check_positive(option: &'static str, value: Duration) -> Result<(), AttemptOptionsError> {
    if value.is_zero() { Err(AttemptOptionsError::ZeroDuration { option }) } else { Ok(()) }
}
