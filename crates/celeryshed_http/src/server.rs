//! Accepts connections and drains them.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

/// Pause after a failed accept, for instance without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How connections are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerSettings {
    /// Largest head of a request in bytes.
    pub max_head_bytes: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// Serves connections with one handler.
#[derive(Clone, Debug)]
pub struct ConnectionServer {
    settings: watch::Receiver<ServerSettings>,
    closing: watch::Receiver<bool>,
    open: Arc<AtomicUsize>,
}

impl ConnectionServer {
    /// A server that follows `settings`, and ends idle connections once `closing` is true.
    pub fn new(settings: watch::Receiver<ServerSettings>, closing: watch::Receiver<bool>) -> Self {
        Self { settings, closing, open: Arc::default() }
    }

    /// Connections that are open.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Accepts connections until `closing` is true, each served in a task of its own.
    pub async fn run<H, F, B>(self, listener: TcpListener, handler: H)
    where
        H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let mut closing = self.closing.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = closing.wait_for(|closing| *closing) => return,
            };
            match accepted {
                Ok((stream, peer)) => {
                    tokio::spawn(self.clone().serve(stream, peer, handler.clone()));
                }
                Err(_transient) => sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    async fn serve<H, F, B>(self, stream: TcpStream, peer: SocketAddr, handler: H)
    where
        H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        // Without it small events would wait for acknowledgements; a failure only delays them.
        let _ = stream.set_nodelay(true);
        self.open.fetch_add(1, Ordering::Relaxed);
        let activity = Activity::default();
        let settings = *self.settings.borrow();
        let service = {
            let activity = activity.clone();
            service_fn(move |request| {
                let guard = activity.begin();
                let answer = handler(request, peer);
                async move {
                    let response = answer.await;
                    drop(guard);
                    Ok::<_, Infallible>(response)
                }
            })
        };
        let mut builder = http1::Builder::new();
        builder.max_buf_size(settings.max_head_bytes.max(8 * 1024)).half_close(false);
        let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
        let mut closing = self.closing.clone();
        let mut draining = false;
        loop {
            let idle = idle_until(&activity, &self.settings);
            tokio::select! {
                // The end of a connection needs no answer; its requests were cancelled.
                _ended = connection.as_mut() => break,
                _ = closing.wait_for(|closing| *closing), if !draining => {
                    draining = true;
                    connection.as_mut().graceful_shutdown();
                }
                () = sleep_until(idle), if !draining => {
                    if activity.idle_for() >= self.settings.borrow().idle_timeout {
                        draining = true;
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

fn idle_until(activity: &Activity, settings: &watch::Receiver<ServerSettings>) -> Instant {
    let timeout = settings.borrow().idle_timeout;
    Instant::now() + timeout.saturating_sub(activity.idle_for()).max(Duration::from_millis(100))
}

/// Requests in progress on a connection, and when the last one ended.
#[derive(Clone, Debug)]
struct Activity {
    running: Arc<AtomicUsize>,
    started: Instant,
    last_ms: Arc<AtomicU64>,
}

impl Default for Activity {
    fn default() -> Self {
        Self { running: Arc::default(), started: Instant::now(), last_ms: Arc::default() }
    }
}

impl Activity {
    fn begin(&self) -> ActivityGuard {
        self.running.fetch_add(1, Ordering::Relaxed);
        ActivityGuard(self.clone())
    }

    fn idle_for(&self) -> Duration {
        if self.running.load(Ordering::Relaxed) > 0 {
            return Duration::ZERO;
        }
        let last = Duration::from_millis(self.last_ms.load(Ordering::Relaxed));
        self.started.elapsed().saturating_sub(last)
    }
}

struct ActivityGuard(Activity);

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        let elapsed = self.0.started.elapsed().as_millis() as u64;
        self.0.last_ms.store(elapsed, Ordering::Relaxed);
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}
