//! Options of the service's stand-in.

use std::time::Duration;

use celeryshed_base::common_derives;

use crate::error::{Result, StandinError};

/// A booking is a short transaction at its service.
const LATENCY_MS: u64 = 20;

/// A process of a plain service restarts within seconds.
const RESTART_MS: u64 = 2_000;

common_derives! { value:
    /// Unchecked options of a service.
    pub struct RawServiceOptions {
        /// Name that the answers carry, to tell which endpoint answered.
        pub name: String,
        /// Time that a call runs, in milliseconds.
        pub latency_ms: u64,
        /// Text in a body that crashes the service.
        pub crash_marker: String,
        /// Time until it is back after a crash, in milliseconds.
        pub restart_ms: u64,
        /// Seed of the choice of lost replies.
        pub seed: u64,
    }

    /// Checked options of a service.
    pub struct ServiceOptions {
        pub(super) name: String,
        pub(super) latency: Duration,
        pub(super) crash_marker: String,
        pub(super) restart: Duration,
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
            restart: Duration::from_millis(raw.restart_ms),
            seed: raw.seed,
        }
    }
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self::from_checked(RawServiceOptions::default())
    }
}
