//! The HTTP server that every stand-in runs.

use std::net::SocketAddr;

use rocket::config::{Config, LogLevel, Shutdown as ShutdownConfig};
use rocket::data::{Limits, ToByteUnit};
use rocket::error::ErrorKind;
use rocket::fairing::AdHoc;
use rocket::{Build, Rocket, Shutdown};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::error::{Result, StandinError};

/// Worker threads of a server that runs outside a runtime; inside one it uses that runtime.
const WORKERS: usize = 2;

/// Seconds that an idle connection is kept.
const KEEP_ALIVE_S: u32 = 5;

/// Largest accepted body in mebibytes; a chunk of weights must fit.
const MAX_BODY_MIB: u64 = 256;

/// A server task and its address.
#[derive(Debug)]
pub(crate) struct ServerTask {
    address: SocketAddr,
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

impl ServerTask {
    /// Binds `bind_addr` and serves; returns once connections are accepted.
    ///
    /// Port 0 picks a free one: rocket writes the bound port into its configuration before its
    /// liftoff fairings run, and one of them reports it.
    pub(crate) async fn launch(
        bind_addr: SocketAddr,
        routes: impl FnOnce(Rocket<Build>) -> Rocket<Build>,
    ) -> Result<Self> {
        let (sender, receiver) = oneshot::channel();
        let sender = std::sync::Mutex::new(Some(sender));
        let report = AdHoc::on_liftoff("report address", move |rocket| {
            let config = rocket.config();
            let address = SocketAddr::new(config.address, config.port);
            let sender = sender.lock().ok().and_then(|mut sender| sender.take());
            Box::pin(async move {
                if let Some(sender) = sender {
                    let _ = sender.send(address);
                }
            })
        });
        let rocket = routes(rocket::custom(config(bind_addr))).attach(report);
        let failed = |error: rocket::Error| StandinError::launch(bind_addr, &error);
        let rocket = rocket.ignite().await.map_err(failed)?;
        let shutdown = rocket.shutdown();
        let mut launched = tokio::spawn(async move { rocket.launch().await.map(|_| ()) });
        let address = tokio::select! {
            Ok(address) = receiver => address,
            ended = &mut launched => return Err(ended_early(bind_addr, ended)),
        };
        let task = tokio::spawn(async move {
            if let Ok(Err(error)) = launched.await {
                report_end(address, &error);
            }
        });
        Ok(Self { address, shutdown, task })
    }

    /// The bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections.
    pub(crate) async fn stop(self) {
        self.shutdown.notify();
        let _ = self.task.await;
    }
}

/// Logs why a server ended; connections still open at the end of a shutdown are expected.
///
/// Reading the kind also keeps rocket from panicking when the error is dropped.
fn report_end(address: SocketAddr, error: &rocket::Error) {
    if !matches!(error.kind(), ErrorKind::Shutdown(..)) {
        let error = error.to_string();
        log::warn!("event=standin_server_failed address={address} error={error:?}");
    }
}

fn ended_early(
    bind_addr: SocketAddr,
    ended: std::result::Result<std::result::Result<(), rocket::Error>, tokio::task::JoinError>,
) -> StandinError {
    match ended {
        Ok(Err(error)) => StandinError::launch(bind_addr, &error),
        Ok(Ok(())) => StandinError::launch(bind_addr, &"server ended"),
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
        workers: WORKERS,
        keep_alive: KEEP_ALIVE_S,
        log_level: LogLevel::Off,
        limits,
        shutdown,
        ..Config::release_default()
    }
}
