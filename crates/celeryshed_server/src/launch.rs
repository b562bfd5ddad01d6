//! Launch and shutdown of a rocket server inside the process's runtime.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use rocket::config::{LogLevel, Shutdown as ShutdownConfig};
use rocket::fairing::AdHoc;
use rocket::{Build, Config, Rocket, Shutdown};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::problems::problem_catchers;

/// Seconds for which an idle connection is kept. Clients of the system drop idle connections
/// earlier, so that a request never meets a connection that the server is closing.
const KEEP_ALIVE_S: u32 = 75;

/// Rocket's grace period: as good as endless, since the process decides when its requests have
/// ended. Rocket's default of 2 s cuts streams.
const GRACE_S: u32 = 7 * 24 * 60 * 60;

/// Seconds after the grace period in which rocket may still finish I/O.
const MERCY_S: u32 = 5;

/// Longest wait for a slow reader to take the last bytes of its answer after a stop.
const FLUSH_LIMIT: Duration = Duration::from_secs(600);

/// Largest body in bytes of requests between processes and from callers.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// How to serve.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Address to listen on; port 0 takes a free port.
    pub listen: SocketAddr,
    /// How long [`RunningServer::stop`] waits for slow readers to take the rest of their answers.
    pub flush_limit: Duration,
}

impl ServerOptions {
    /// Options for an address, with the default limit.
    pub fn new(listen: SocketAddr) -> Self {
        Self { listen, flush_limit: FLUSH_LIMIT }
    }
}

/// Dropped with the last connection.
struct ConnectionSentinel(
    #[expect(dead_code, reason = "only its drop counts")] oneshot::Sender<Infallible>,
);

/// The server could not be launched.
#[derive(Debug, thiserror::Error)]
#[error("server can't listen on {listen}: {reason}")]
pub struct ServerError {
    /// The address.
    pub listen: SocketAddr,
    /// The reason.
    pub reason: String,
}

/// Result of this module.
pub(crate) type Result<T> = std::result::Result<T, ServerError>;

/// A server that accepts connections.
pub struct RunningServer {
    address: SocketAddr,
    shutdown: Shutdown,
    flush_limit: Duration,
    closed: oneshot::Receiver<Infallible>,
    task: JoinHandle<LaunchResult>,
}

type LaunchResult = std::result::Result<(), rocket::Error>;

impl RunningServer {
    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and ends when each has sent its last byte. The caller first
    /// waits until no request is in progress.
    ///
    /// The launch itself is dropped: it would wait for the whole grace period while an idle
    /// connection is open (60 s of 60 s measured), whereas connections close by themselves.
    pub async fn stop(self) {
        self.shutdown.notify();
        self.task.abort();
        // Ends with an error, when the last connection drops the sentinel.
        let _ = tokio::time::timeout(self.flush_limit, self.closed).await;
    }
}

/// Launches `rocket` and returns when it accepts connections.
pub async fn launch_server(options: ServerOptions, rocket: Rocket<Build>) -> Result<RunningServer> {
    let listen = options.listen;
    let failure = |reason: String| ServerError { listen, reason };
    let (ready_sender, ready) = oneshot::channel();
    let (sentinel, closed) = oneshot::channel();
    let rocket = rocket
        .configure(server_config(&options))
        .register("/", problem_catchers())
        .attach(report_liftoff(ready_sender))
        .manage(ConnectionSentinel(sentinel));
    let ignited =
        rocket.ignite().await.map_err(|error| failure(error.pretty_print().to_owned()))?;
    let shutdown = ignited.shutdown();
    let mut task = tokio::spawn(async move { ignited.launch().await.map(drop) });
    tokio::select! {
        address = ready => {
            let address = address.map_err(|_| failure("no address was reported".to_owned()))?;
            let flush_limit = options.flush_limit;
            Ok(RunningServer { address, shutdown, flush_limit, closed, task })
        }
        outcome = &mut task => Err(failure(match outcome {
            Ok(Ok(())) => "it stopped at once".to_owned(),
            Ok(Err(error)) => describe(&error),
            Err(error) => error.to_string(),
        })),
    }
}

fn describe(error: &rocket::Error) -> String {
    // Marks the error as handled; rocket panics when an unread error is dropped.
    error.kind().to_string()
}

fn server_config(options: &ServerOptions) -> Config {
    let mut limits = rocket::data::Limits::default();
    for name in ["bytes", "string", "json", "msgpack", "data-form", "form"] {
        limits = limits.limit(name.to_owned(), MAX_BODY_BYTES.into());
    }
    Config {
        address: options.listen.ip(),
        port: options.listen.port(),
        keep_alive: KEEP_ALIVE_S,
        log_level: LogLevel::Off,
        limits,
        shutdown: ShutdownConfig {
            ctrlc: false,
            signals: Default::default(),
            grace: GRACE_S,
            mercy: MERCY_S,
            force: false,
            ..ShutdownConfig::default()
        },
        ..Config::release_default()
    }
}

fn report_liftoff(sender: oneshot::Sender<SocketAddr>) -> AdHoc {
    let sender = std::sync::Mutex::new(Some(sender));
    AdHoc::on_liftoff("address report", move |rocket| {
        let config = rocket.config();
        let address = SocketAddr::new(config.address, config.port);
        let sender = sender.lock().map(|mut sender| sender.take()).unwrap_or_default();
        if let Some(sender) = sender {
            // The launcher has gone away; nobody needs the address.
            let _ = sender.send(address);
        }
        Box::pin(async {})
    })
}
