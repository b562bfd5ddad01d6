//! Contract tests: one table of cases for the in-memory fakes and for the HTTP clients with the
//! stand-ins, so that a test against a fake says something about the real client.

mod blobs;
mod list;
mod log;

use std::net::SocketAddr;
use std::time::Duration;

use celeryshed_platform::{HttpTimeouts, PlatformError, Result};

/// Short enough for a test, long enough for a busy machine.
const TIMEOUTS: HttpTimeouts = HttpTimeouts {
    connect: Duration::from_millis(500),
    idle: Duration::from_millis(500),
    total: Duration::from_secs(5),
};

/// What a call says about its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Done,
    Refused,
    Unreachable,
    ReplyLost,
    NotFound,
}

fn verdict<T>(result: &Result<T>) -> Verdict {
    match result {
        Ok(_) => Verdict::Done,
        Err(PlatformError::Refused { .. }) => Verdict::Refused,
        Err(PlatformError::Unreachable { .. }) => Verdict::Unreachable,
        Err(PlatformError::ReplyLost { .. }) => Verdict::ReplyLost,
        Err(PlatformError::NotFound { .. }) => Verdict::NotFound,
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn base_url(address: SocketAddr) -> String {
    format!("http://{address}")
}
