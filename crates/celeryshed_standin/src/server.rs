//! HTTP server shared by all stand-ins.

use std::net::SocketAddr;

use rocket::config::{Config, LogLevel, Shutdown as ShutdownConfig};
use rocket::data::{Limits, ToByteUnit};
use rocket::error::ErrorKind;
use rocket::fairing::AdHoc;
use rocket::{Build, Rocket, Shutdown};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::error::{Result, StandinError};

/// Worker threads that rocket starts when it creates its own runtime; a server launched on an
/// existing tokio runtime uses the threads of that runtime.
const WORKER_THREADS: usize = 2;

/// Time in seconds after which an idle connection is closed.
const KEEP_ALIVE_S: u32 = 5;

/// Maximum size of a request body in mebibytes; must be larger than a chunk of weights.
const MAX_BODY_MIB: u64 = 256;

/// Running server task with its bound address.
#[derive(Debug)]
pub(crate) struct ServerTask {
    address: SocketAddr,
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

impl ServerTask {
    /// Binds `bind_addr` and returns once the server accepts connections.
    ///
    /// Port 0 selects a free port. Rocket writes the bound port into its configuration before the
    /// liftoff fairings run, so a liftoff fairing reads the port.
    pub(crate) async fn launch(
        bind_addr: SocketAddr,
        routes: impl FnOnce(Rocket<Build>) -> Rocket<Build>,
    ) -> Result<Self> {
        let (sender, receiver) = oneshot::channel();
        let sender = std::sync::Mutex::new(Some(sender));
        let address_fairing = AdHoc::on_liftoff("report address", move |rocket| {
            let config = rocket.config();
            let address = SocketAddr::new(config.address, config.port);
            let sender = sender.lock().ok().and_then(|mut sender| sender.take());
            Box::pin(async move {
                if let Some(sender) = sender {
                    let _ = sender.send(address);
                }
            })
        });
        let rocket = routes(rocket::custom(config(bind_addr))).attach(address_fairing);
        let launch_failed = |error: rocket::Error| StandinError::launch(bind_addr, &error);
        let rocket = rocket.ignite().await.map_err(launch_failed)?;
        let shutdown = rocket.shutdown();
        let mut server = tokio::spawn(async move { rocket.launch().await.map(|_| ()) });
        let address = tokio::select! {
            Ok(address) = receiver => address,
            ended = &mut server => return Err(launch_error(bind_addr, ended)),
        };
        let task = tokio::spawn(async move {
            if let Ok(Err(error)) = server.await {
                log_failure(address, &error);
            }
        });
        Ok(Self { address, shutdown, task })
    }

    /// The bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections, then waits until the server task has ended.
    pub(crate) async fn stop(self) {
        self.shutdown.notify();
        let _ = self.task.await;
    }
}

/// Logs the error of a failed server.
///
/// Shutdown errors are ignored: rocket returns one when connections are still open at the end of a
/// shutdown, which is expected. Calling `kind` also marks the error as handled; rocket panics when
/// an unhandled error is dropped.
fn log_failure(address: SocketAddr, error: &rocket::Error) {
    if !matches!(error.kind(), ErrorKind::Shutdown(..)) {
        let error = error.to_string();
        log::warn!("event=standin_server_failed address={address} error={error:?}");
    }
}

fn launch_error(
    bind_addr: SocketAddr,
    ended: std::result::Result<std::result::Result<(), rocket::Error>, tokio::task::JoinError>,
) -> StandinError {
    match ended {
        Ok(Err(error)) => StandinError::launch(bind_addr, &error),
        Ok(Ok(())) => {
            StandinError::launch(bind_addr, &"server ended before it accepted connections")
        }
        Err(error) => StandinError::launch(bind_addr, &error),
    }
}

fn config(bind_addr: SocketAddr) -> Config {
    let limits = Limits::default()
        .limit("bytes", MAX_BODY_MIB.mebibytes())
        .limit("json", MAX_BODY_MIB.mebibytes());
    let shutdown = ShutdownConfig {
        ctrlc: false,
        signals: Default::default(),
        grace: 0,
        mercy: 0,
        force: false,
        ..ShutdownConfig::default()
    };
    Config {
        address: bind_addr.ip(),
        port: bind_addr.port(),
        workers: WORKER_THREADS,
        keep_alive: KEEP_ALIVE_S,
        log_level: LogLevel::Off,
        limits,
        shutdown,
        ..Config::release_default()
    }
}
