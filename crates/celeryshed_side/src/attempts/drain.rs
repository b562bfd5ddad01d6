//! Draining: no new work, and no request in progress is cut off.

use std::time::Duration;

use rocket::config::Shutdown;
use rocket::{Build, Rocket};
use tokio::sync::oneshot;

/// Time beyond the longest request after which rocket closes connections that still don't read.
const CLOSE_MARGIN: Duration = Duration::from_secs(30);

/// Whether this process takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DrainState {
    /// Takes new work.
    #[default]
    Serving,
    /// Refuses new work and finishes what runs.
    Draining,
}

/// Settings with which rocket cuts off no request and leaves signals to this process.
pub fn shutdown_settings(max_request: Duration) -> Shutdown {
    let grace = (max_request + CLOSE_MARGIN).as_secs() as u32;
    let mercy = CLOSE_MARGIN.as_secs() as u32;
    Shutdown { ctrlc: false, signals: Default::default(), grace, mercy, ..Shutdown::default() }
}

/// Dropped with the last connection.
struct ConnectionSentinel(
    #[expect(dead_code, reason = "only its drop counts")] oneshot::Sender<()>,
);

/// Serves until `drained` resolves, then until each connection has sent its last byte.
///
/// `drained` resolves when this process is draining and no request is in progress. The future of
/// `launch` is dropped then: it would wait for the whole grace period whenever a connection is
/// open at the moment of the shutdown, while the connections themselves close as soon as their
/// answers are sent.
pub async fn serve_until_drained(
    rocket: Rocket<Build>,
    drained: impl Future<Output = ()>,
) -> Result<(), rocket::Error> {
    let (sentinel, closed) = oneshot::channel();
    let rocket = rocket.manage(ConnectionSentinel(sentinel)).ignite().await?;
    let shutdown = rocket.shutdown();
    let mut launched = Box::pin(rocket.launch());
    tokio::select! {
        result = &mut launched => return result.map(|_| ()),
        () = drained => {}
    }
    shutdown.notify();
    drop(launched);
    let _ = closed.await;
    Ok(())
}
