//! Launch and shutdown of a rocket server on the process's tokio runtime.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use rocket::config::{Ident, LogLevel, Shutdown as ShutdownConfig};
use rocket::fairing::AdHoc;
use rocket::{Build, Config, Rocket, Shutdown};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::headers::strip_browser_headers;
use crate::problems::problem_catchers;
use crate::request_metrics::RequestMetrics;

/// Seconds after which an idle connection is closed. Entries and sidecars close their idle
/// connections earlier, so that they never send a request on a connection that the server is
/// closing.
const KEEP_ALIVE_S: u32 = 75;

/// Rocket's grace period in seconds, longer than any drain, since the process itself waits until
/// its requests have ended. Rocket's default of 2 s cuts streams.
const GRACE_S: u32 = 7 * 24 * 60 * 60;

/// Rocket's mercy period: seconds after the grace period in which it may still finish I/O.
const MERCY_S: u32 = 5;

/// Default of [`ServerOptions::flush_limit`].
const FLUSH_LIMIT: Duration = Duration::from_secs(600);

/// Largest accepted request body, from other processes and from callers.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Options of a server.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// How long [`RunningServer::stop`] waits for slow readers to receive the rest of their
    /// answers; default 10 min.
    pub flush_limit: Duration,
}

impl ServerOptions {
    /// Creates options for an address, with the default limit.
    pub fn new(listen: SocketAddr) -> Self {
        Self { listen, flush_limit: FLUSH_LIMIT }
    }
}

/// Held in rocket's state, which every connection shares. Its drop, after the last connection has
/// closed, ends the wait of [`RunningServer::stop`].
struct CloseNotifier(
    #[expect(dead_code, reason = "the receiver only waits for the drop")]
    oneshot::Sender<Infallible>,
);

/// Error when a server can't be launched.
#[derive(Debug, thiserror::Error)]
#[error("server can't listen on {listen}: {reason}")]
pub struct ServerError {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Error of rocket or of the launch task.
    pub reason: String,
}

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
    /// Address that the server listens on, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and returns when all connections have closed, or after the flush
    /// limit. The caller must first wait until no request is in progress.
    ///
    /// Rocket's launch task is aborted, because with an open idle connection it would wait for the
    /// whole grace period. Connections run in their own tasks and close without the launch task.
    pub async fn stop(self) {
        self.shutdown.notify();
        self.task.abort();
        // The channel never carries a value: the wait ends when the last connection drops the
        // notifier.
        let _ = tokio::time::timeout(self.flush_limit, self.closed).await;
    }
}

/// Launches `rocket` and returns when the server accepts connections.
pub async fn launch_server(options: ServerOptions, rocket: Rocket<Build>) -> Result<RunningServer> {
    let listen = options.listen;
    let failure = |reason: String| ServerError { listen, reason };
    let (ready_sender, ready) = oneshot::channel();
    let (notifier, closed) = oneshot::channel();
    let rocket = rocket
        .configure(server_config(&options))
        .register("/", problem_catchers())
        .attach(report_liftoff(ready_sender))
        .attach(RequestMetrics)
        .attach(strip_browser_headers())
        .manage(CloseNotifier(notifier));
    let ignited =
        rocket.ignite().await.map_err(|error| failure(error.pretty_print().to_owned()))?;
    let shutdown = ignited.shutdown();
    let flush_limit = options.flush_limit;
    let mut task = tokio::spawn(async move { ignited.launch().await.map(drop) });
    tokio::select! {
        // A launch that fails drops the sender; its outcome follows.
        Ok(address) = ready => Ok(RunningServer { address, shutdown, flush_limit, closed, task }),
        outcome = &mut task => Err(failure(match outcome {
            Ok(Ok(())) => "the server stopped during the launch".to_owned(),
            Ok(Err(error)) => launch_error_text(&error),
            Err(error) => error.to_string(),
        })),
    }
}

fn launch_error_text(error: &rocket::Error) -> String {
    // Reading the kind marks the error as handled; rocket panics when an unhandled error is
    // dropped.
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
        // Omits the `Server` header, which costs 16 bytes in each reply and has no use for callers.
        ident: Ident::none(),
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
            // Fails only if `launch_server` was cancelled.
            let _ = sender.send(address);
        }
        Box::pin(async {})
    })
}
