//! Options of the attempts.

use std::time::Duration;

use celeryshed_base::{InstanceName, ServiceName};

/// Largest accepted age of a request.
const MAX_REQUEST: Duration = Duration::from_secs(600);

/// Longest pause between two tokens of an engine before it counts as failed.
const TOKEN_GAP: Duration = Duration::from_secs(10);

/// What runs beside this sidecar.
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

/// Options of the attempts.
#[derive(Clone, Debug)]
pub struct AttemptOptions {
    /// Instance of this sidecar.
    pub instance: InstanceName,
    /// Service of the endpoint.
    pub service: ServiceName,
    /// The endpoint.
    pub target: EndpointTarget,
    /// Requests that the endpoint runs at the same time.
    pub slots: u32,
    /// Largest age of a request.
    pub max_request: Duration,
    /// Longest pause between two tokens of an engine before it counts as failed.
    pub token_gap: Duration,
}

/// Options that can't work.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttemptOptionsError {
    /// No slot.
    #[error("slots is 0: accepted are 1 and more")]
    NoSlots,
    /// A base URL of another scheme.
    #[error("endpoint {url:?} is not a base URL: accepted is http://<address>:<port>")]
    NotHttp {
        /// The rejected URL.
        url: String,
    },
    /// A duration of zero.
    #[error("{option} is 0: accepted is a positive duration")]
    ZeroDuration {
        /// The option.
        option: &'static str,
    },
}

impl AttemptOptions {
    /// Options with the default limits.
    pub fn new(
        instance: InstanceName,
        service: ServiceName,
        target: EndpointTarget,
        slots: u32,
    ) -> Self {
        let (max_request, token_gap) = (MAX_REQUEST, TOKEN_GAP);
        Self { instance, service, target, slots, max_request, token_gap }
    }

    /// Checks the options.
    pub fn check(&self) -> Result<(), AttemptOptionsError> {
        if self.slots == 0 {
            return Err(AttemptOptionsError::NoSlots);
        }
        if !self.target.base_url().starts_with("http://") {
            let url = self.target.base_url().to_owned();
            return Err(AttemptOptionsError::NotHttp { url });
        }
        check_positive("max_request", self.max_request)?;
        check_positive("token_gap", self.token_gap)
    }
}

fn check_positive(option: &'static str, value: Duration) -> Result<(), AttemptOptionsError> {
    if value.is_zero() { Err(AttemptOptionsError::ZeroDuration { option }) } else { Ok(()) }
}
