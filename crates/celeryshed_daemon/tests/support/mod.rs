//! Runs the daemon as separate processes, with the stand-ins inside the test process.
#![allow(dead_code, unreachable_pub, unused_imports, reason = "each test binary uses a part")]

mod caller;
mod daemon;
mod deployment;
mod history;
mod relay;
mod settings;

use std::time::Duration;

pub use caller::{BookingReply, Caller, LiveStream, StreamResult};
pub use daemon::{Daemon, DaemonSignal};
pub use deployment::{
    Deployment, DeploymentPlan, Member, MemberKind, contract, new_key, running_streams,
};
pub use history::BookingHistory;
pub use relay::{Relay, RelayMode};
pub use settings::{free_address, role_settings};
use tokio::time::{Instant, sleep};

/// Longest wait for a condition without a promised limit; a busy machine needs several seconds.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Polls until `done` returns a value; panics with the name `what` after [`WAIT_LIMIT`].
pub async fn wait_for_value<T, F>(what: &str, mut done: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + WAIT_LIMIT;
    loop {
        if let Some(value) = done().await {
            return value;
        }
        assert!(Instant::now() < deadline, "{what}: not within {WAIT_LIMIT:?}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Polls until `done` returns true; panics with the name `what` after [`WAIT_LIMIT`].
pub async fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    wait_for_value(what, || std::future::ready(done().then_some(()))).await;
}

/// Prints one line for `docs/PROMISES.md`, visible with `--nocapture`.
#[allow(clippy::print_stderr, reason = "figures of a test run")]
pub fn print_figures(promise: &str, faults: u64, requests: u64, violations: u64) {
    eprintln!("figures {promise}: faults={faults} requests={requests} violations={violations}");
}
