//! Runs the real daemon as separate processes against stand-ins in the test's own process.
#![allow(dead_code, unreachable_pub, unused_imports, reason = "each test binary uses a part")]

mod caller;
mod daemon;
mod deployment;
mod ledger;
mod relay;
mod settings;

use std::time::Duration;

pub use caller::{BookEnd, Caller, LiveStream, StreamEnd};
pub use daemon::{Daemon, DaemonSignal};
pub use deployment::{Deployment, Kind, Member, Plan, contract, new_key};
pub use ledger::Ledger;
pub use relay::{Relay, RelayMode};
pub use settings::{free_address, role_settings};
use tokio::time::{Instant, sleep};

/// Longest wait for anything that has no stated bound; a busy machine needs several seconds.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Polls until `done` returns a value; panics with `what` after [`PATIENCE`].
pub async fn eventually<T, F>(what: &str, mut done: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + PATIENCE;
    loop {
        if let Some(value) = done().await {
            return value;
        }
        assert!(Instant::now() < deadline, "{what}: not within {PATIENCE:?}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Polls a condition of the test's own process.
pub async fn until(what: &str, mut done: impl FnMut() -> bool) {
    eventually(what, || std::future::ready(done().then_some(()))).await;
}

/// One line for `docs/PROMISES.md`, visible with `--nocapture`.
#[allow(clippy::print_stderr, reason = "figures of a test run")]
pub fn figures(promise: &str, faults: u64, requests: u64, violations: u64) {
    eprintln!("figures {promise}: faults={faults} requests={requests} violations={violations}");
}
