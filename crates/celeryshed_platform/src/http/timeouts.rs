//! Timeouts of the HTTP clients.

use std::time::Duration;

/// Timeouts of the calls to one service of the platform.
///
/// ```
/// use celeryshed_platform::HttpTimeouts;
/// assert!(HttpTimeouts::for_calls().total < HttpTimeouts::for_blobs().total);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpTimeouts {
    /// Limit for establishing a connection.
    pub connect: Duration,
    /// Longest time without a received byte after the request was sent.
    pub idle: Duration,
    /// Limit for the whole call.
    pub total: Duration,
}

impl HttpTimeouts {
    /// Timeouts for the log and the instance list, whose replies are small.
    pub const fn for_calls() -> Self {
        Self {
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(3),
            total: Duration::from_secs(5),
        }
    }

    /// Timeouts for blobs; a transfer over a slow link may take long while bytes keep arriving.
    pub const fn for_blobs() -> Self {
        Self {
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(5),
            total: Duration::from_secs(120),
        }
    }
}
