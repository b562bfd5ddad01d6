//! Options of the service without an inference engine.

use std::time::Duration;

use celeryshed_base::common_derives;

use crate::error::{Result, StandinError};

/// Time in milliseconds that the service takes to execute a call. It is short because a booking is
/// a short transaction.
const LATENCY_MS: u64 = 20;

/// Time in milliseconds until a crashed service is back; a service without an engine
/// restarts within seconds.
const RESTART_MS: u64 = 2_000;

common_derives! { value:
    /// Options of a service before validation.
    pub struct RawServiceOptions {
        /// Name that each answer contains, so that the caller can tell which endpoint answered; not
        /// empty, default `service`.
        pub name: String,
        /// Time in milliseconds that the service takes to execute a call; default 20.
        pub latency_ms: u64,
        /// Text in a request body that crashes the service; not empty, default `crash-service`.
        pub crash_marker: String,
        /// Time in milliseconds until a crashed service is back; default 2,000.
        pub restart_ms: u64,
        /// Seed of the random numbers that decide which replies are dropped; default 0.
        pub seed: u64,
    }

    /// Validated options of a service.
    pub struct ServiceOptions {
        pub(super) name: String,
        pub(super) latency: Duration,
        pub(super) crash_marker: String,
        pub(super) restart_time: Duration,
        pub(super) seed: u64,
    }
}

impl Default for RawServiceOptions {
    fn default() -> Self {
        Self {
            name: "service".to_owned(),
            latency_ms: LATENCY_MS,
            crash_marker: "crash-service".to_owned(),
            restart_ms: RESTART_MS,
            seed: 0,
        }
    }
}

impl TryFrom<RawServiceOptions> for ServiceOptions {
    type Error = StandinError;

    fn try_from(raw: RawServiceOptions) -> Result<Self> {
        if raw.name.is_empty() {
            return Err(StandinError::option("name", raw.name, "1 or more characters"));
        }
        if raw.crash_marker.is_empty() {
            return Err(StandinError::option("crash_marker", "", "1 or more characters"));
        }
        Ok(Self::from_checked(raw))
    }
}

impl ServiceOptions {
    fn from_checked(raw: RawServiceOptions) -> Self {
        Self {
            name: raw.name,
            latency: Duration::from_millis(raw.latency_ms),
            crash_marker: raw.crash_marker,
            restart_time: Duration::from_millis(raw.restart_ms),
            seed: raw.seed,
        }
    }
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self::from_checked(RawServiceOptions::default())
    }
}
