//! Options of the stand-ins of the log, the instance list, the weight store and the origin.
//!
//! The defaults apply to both deployments, whose inter-region links carry 20 Mbit/s.

use std::net::SocketAddr;
use std::time::Duration;

use celeryshed_base::common_derives;

use crate::error::{Result, StandinError};

/// Bytes per second of a 20 Mbit/s link.
const LINK_BYTES_PER_S: u64 = 20_000_000 / 8;

/// Appends per second of the whole fleet, which is specified as "several hundred".
const APPENDS_PER_S: u32 = 400;

/// Retention of records in seconds; one hour covers the longest partition between regions that the
/// design expects.
const RETENTION_S: u64 = 3_600;

/// Maximum number of records in one reply.
const MAX_READ_RECORDS: u32 = 10_000;

/// Lag of the instance list in milliseconds. The list lags by up to a minute, usually by half of
/// that.
const LIST_LAG_MS: u64 = 30_000;

/// Delay of each call in milliseconds; the one-way latency between availability zones of a region
/// is 1 to 1.5 ms.
const LATENCY_MS: u64 = 1;

/// Fetches per second that the weight store accepts.
const BLOB_REQUESTS_PER_S: u32 = 200;

common_derives! { value:
    /// Options of the log before validation.
    pub struct RawLogOptions {
        /// Age in milliseconds above which records are dropped; positive, default one hour.
        pub retention_ms: u64,
        /// Appends per second of all streams together; positive, default 400.
        pub appends_per_s: u32,
        /// Delay of each call in milliseconds; default 1.
        pub latency_ms: u64,
    }

    /// Validated options of the log.
    pub struct LogOptions {
        pub(super) retention: Duration,
        pub(super) appends_per_s: u32,
        pub(super) latency: Duration,
        pub(super) max_read_records: u32,
    }

    /// Options of the instance list before validation.
    pub struct RawListOptions {
        /// Age in milliseconds of the listed instances; at most 600,000, default 30,000.
        pub lag_ms: u64,
        /// Delay of each call in milliseconds; default 1.
        pub latency_ms: u64,
    }

    /// Validated options of the instance list.
    pub struct ListOptions {
        pub(super) lag: Duration,
        pub(super) latency: Duration,
    }

    /// Options of the weight store or the origin before validation.
    pub struct RawBlobOptions {
        /// Bytes per second of all replies together; positive, default 20 Mbit/s.
        pub bytes_per_s: u64,
        /// Fetches per second above which the reply is 429; positive, default 200.
        pub requests_per_s: u32,
        /// Delay of each call in milliseconds; default 1.
        pub latency_ms: u64,
        /// Whether clients may put blobs: true for the origin, false for the weight store.
        pub accepts_puts: bool,
        /// Origin from which missing blobs are pulled, as `ADDRESS:PORT` with a numeric IP address.
        /// If absent, missing blobs are answered with 404.
        pub pull_from: Option<String>,
    }

    /// Validated options of the weight store or the origin.
    pub struct BlobOptions {
        pub(super) bytes_per_s: u64,
        pub(super) requests_per_s: u32,
        pub(super) latency: Duration,
        pub(super) accepts_puts: bool,
        pub(super) pull_from: Option<SocketAddr>,
    }
}

impl Default for RawLogOptions {
    fn default() -> Self {
        Self {
            retention_ms: RETENTION_S * 1000,
            appends_per_s: APPENDS_PER_S,
            latency_ms: LATENCY_MS,
        }
    }
}

impl TryFrom<RawLogOptions> for LogOptions {
    type Error = StandinError;

    fn try_from(raw: RawLogOptions) -> Result<Self> {
        check_positive("retention_ms", raw.retention_ms)?;
        check_positive("appends_per_s", raw.appends_per_s.into())?;
        Ok(Self::from_checked(&raw))
    }
}

impl LogOptions {
    fn from_checked(raw: &RawLogOptions) -> Self {
        Self {
            retention: Duration::from_millis(raw.retention_ms),
            appends_per_s: raw.appends_per_s,
            latency: Duration::from_millis(raw.latency_ms),
            max_read_records: MAX_READ_RECORDS,
        }
    }
}

impl Default for LogOptions {
    fn default() -> Self {
        Self::from_checked(&RawLogOptions::default())
    }
}

impl Default for RawListOptions {
    fn default() -> Self {
        Self { lag_ms: LIST_LAG_MS, latency_ms: LATENCY_MS }
    }
}

impl TryFrom<RawListOptions> for ListOptions {
    type Error = StandinError;

    fn try_from(raw: RawListOptions) -> Result<Self> {
        const MAX_LAG_MS: u64 = 600_000;
        if raw.lag_ms > MAX_LAG_MS {
            return Err(StandinError::option("lag_ms", raw.lag_ms, "0 to 600000"));
        }
        Ok(Self::from_checked(&raw))
    }
}

impl ListOptions {
    fn from_checked(raw: &RawListOptions) -> Self {
        Self {
            lag: Duration::from_millis(raw.lag_ms),
            latency: Duration::from_millis(raw.latency_ms),
        }
    }
}

impl Default for ListOptions {
    fn default() -> Self {
        Self::from_checked(&RawListOptions::default())
    }
}

impl RawBlobOptions {
    /// Default options of the origin.
    ///
    /// ```
    /// use celeryshed_standin::platform::RawBlobOptions;
    /// assert!(RawBlobOptions::origin().accepts_puts);
    /// ```
    pub fn origin() -> Self {
        Self {
            bytes_per_s: LINK_BYTES_PER_S,
            requests_per_s: BLOB_REQUESTS_PER_S,
            latency_ms: LATENCY_MS,
            accepts_puts: true,
            pull_from: None,
        }
    }

    /// Default options of a weight store that pulls missing blobs from `origin`, if given.
    ///
    /// ```
    /// use celeryshed_standin::platform::{BlobOptions, RawBlobOptions};
    /// let raw = RawBlobOptions::store(Some("origin:80".to_owned()));
    /// assert!(BlobOptions::try_from(raw).is_err());
    /// ```
    pub fn store(origin: Option<String>) -> Self {
        Self { accepts_puts: false, pull_from: origin, ..Self::origin() }
    }
}

impl TryFrom<RawBlobOptions> for BlobOptions {
    type Error = StandinError;

    fn try_from(raw: RawBlobOptions) -> Result<Self> {
        check_positive("bytes_per_s", raw.bytes_per_s)?;
        check_positive("requests_per_s", raw.requests_per_s.into())?;
        let pull_from = raw.pull_from.as_deref().map(parse_address).transpose()?;
        Ok(Self {
            bytes_per_s: raw.bytes_per_s,
            requests_per_s: raw.requests_per_s,
            latency: Duration::from_millis(raw.latency_ms),
            accepts_puts: raw.accepts_puts,
            pull_from,
        })
    }
}

fn check_positive(key: &'static str, value: u64) -> Result<()> {
    if value == 0 { Err(StandinError::option(key, value, "1 or more")) } else { Ok(()) }
}

fn parse_address(value: &str) -> Result<SocketAddr> {
    let expected = "ADDRESS:PORT with a numeric IP address";
    value.parse().map_err(|_| StandinError::option("pull_from", value, expected))
}
