//! Contract tests: the in-memory fakes and the HTTP clients with the stand-ins run the same cases,
//! so that tests of other packages can rely on the fakes.

mod blobs;
mod list;
mod log;

use std::net::SocketAddr;
use std::time::Duration;

use celeryshed_platform::{HttpTimeouts, PlatformError, Result};

/// Short, so that tests of lost replies end soon; a busy machine still replies within them.
const TIMEOUTS: HttpTimeouts = HttpTimeouts {
    connect: Duration::from_millis(500),
    idle: Duration::from_millis(500),
    total: Duration::from_secs(5),
};

/// Kind of a call's result.
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
