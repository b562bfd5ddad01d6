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
    /// Longest time to establish a connection.
    pub connect: Duration,
    /// Longest time without a received byte once the request is sent.
    pub idle: Duration,
    /// Longest time for the whole call.
    pub total: Duration,
}

impl HttpTimeouts {
    /// For the log and the instance list, whose replies are small.
    pub const fn for_calls() -> Self {
        Self {
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(3),
            total: Duration::from_secs(5),
        }
    }

    /// For blobs, which may pass slowly through a rate-limited link as long as bytes arrive.
    pub const fn for_blobs() -> Self {
        Self {
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(5),
            total: Duration::from_secs(120),
        }
    }
}
