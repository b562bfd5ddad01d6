//! Accepts connections, and closes them when they are idle or the process drains.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use hyper::body::Body;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::activity::{ConnectionActivity, TrackedBody, TrackedStream};
use crate::end::EndReason;
use crate::idle_limit::IdleLimit;
use crate::open_connections::{OpenConnections, OpenGuard};
use crate::request_body::RequestBody;

/// Delay after a failed accept, for instance when no file descriptor is free, and between two tries to
/// make room for a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time that an idle connection has at least to pass on a request, also while the server closes. Its
/// caller may have sent one before it learns of the close.
const UNREAD_REQUEST_WAIT: Duration = Duration::from_millis(300);

/// Time to receive what a handler has left of a request's body, before its response is sent.
const UNREAD_BODY_WAIT: Duration = Duration::from_secs(1);

const UNFINISHED_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Limits of accepted connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerSettings {
    /// Largest request head in bytes, at least 8 KiB; applies to new connections.
    pub max_head_bytes: usize,
    /// Time after which an idle connection is closed, counted from the end of its last response. A
    /// shorter time applies once the former one has passed since the change. At least 300 ms.
    pub idle_timeout: Duration,
    /// Time after which a connection is closed whose caller has received nothing of an ended
    /// response. At least 300 ms.
    pub write_timeout: Duration,
}

/// A server that passes the requests of all its connections to one handler.
///
/// Clones share the count of open connections.
#[derive(Clone, Debug)]
pub struct ConnectionServer {
    settings: watch::Receiver<ServerSettings>,
    closing: watch::Receiver<bool>,
    open: OpenConnections,
    idle_limit: Arc<Mutex<IdleLimit>>,
}

impl ConnectionServer {
    /// A server that follows changes of `settings`. Once `closing` is true, it accepts no more
    /// connections, and closes each open one after its next response, or when it is idle.
    pub fn new(settings: watch::Receiver<ServerSettings>, closing: watch::Receiver<bool>) -> Self {
        let idle_limit = Arc::new(Mutex::new(IdleLimit::new(settings.borrow().idle_timeout)));
        Self { settings, closing, open: OpenConnections::new(usize::MAX), idle_limit }
    }

    /// The same server with at most `limit` connections, at least 1. At the limit, a new connection
    /// takes the place of the one that has been idle longest, or has waited longest for the rest of a
    /// request's body; while there is none, it waits.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use celeryshed_http::{ConnectionServer, ServerSettings};
    /// use tokio::sync::watch;
    ///
    /// let (_settings, settings) = watch::channel(ServerSettings {
    ///     max_head_bytes: 8192,
    ///     idle_timeout: Duration::from_secs(15),
    ///     write_timeout: Duration::from_secs(15),
    /// });
    /// let (_closing, closing) = watch::channel(false);
    /// let server = ConnectionServer::new(settings, closing).with_connection_limit(3000);
    /// assert_eq!(server.open_connections(), 0);
    /// ```
    pub fn with_connection_limit(self, limit: usize) -> Self {
        Self { open: OpenConnections::new(limit.max(1)), ..self }
    }

    /// Number of connections that are open, over all clones of this server.
    pub fn open_connections(&self) -> usize {
        self.open.count()
    }

    /// Accepts connections until `closing` is true, and serves each in a task of its own.
    ///
    /// A request whose handler panics is answered with 500. The call returns while open connections are still being drained.
    pub async fn run<H, F, B>(self, listener: TcpListener, handler: H)
    where
        H: Fn(Request<RequestBody>, SocketAddr) -> F + Clone + Send + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body<Data = Bytes> + Default + Send + Unpin + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let mut closing = self.closing.clone();
        let mut settings = self.settings.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                Ok(()) = settings.changed() => {
                    self.update_idle_limit();
                    continue;
                }
                _ = closing.wait_for(|closing| *closing) => break,
            };
            match accepted {
                Ok((stream, peer)) => self.start(stream, peer, handler.clone()).await,
                Err(_transient) => {
                    metrics::counter!("celeryshed_accept_failures_total").increment(1);
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        // Connections in the accept queue were established before; dropping the listener would
        // reset them, together with requests that their clients have sent.
        while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
            self.start(stream, peer, handler.clone()).await;
        }
    }

    /// Serves a connection in a task of its own, once there is room for it.
    async fn start<H, F, B>(&self, stream: TcpStream, peer: SocketAddr, handler: H)
    where
        H: Fn(Request<RequestBody>, SocketAddr) -> F + Clone + Send + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body<Data = Bytes> + Default + Send + Unpin + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let (activity, open) = loop {
            let activity = ConnectionActivity::open();
            match self.open.add(&activity) {
                Some(open) => break (activity, open),
                // A connection may have become idle when none has ended.
                None => drop(timeout(ACCEPT_RETRY_DELAY, self.open.ended()).await),
            }
        };
        tokio::spawn(self.clone().serve(stream, peer, activity, open, handler));
    }

    async fn serve<H, F, B>(
        self,
        stream: TcpStream,
        peer: SocketAddr,
        activity: ConnectionActivity,
        open: OpenGuard,
        handler: H,
    ) where
        H: Fn(Request<RequestBody>, SocketAddr) -> F + Clone + Send + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body<Data = Bytes> + Default + Send + Unpin + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        // Nagle's algorithm would hold small stream events back until the peer acknowledges earlier
        // ones. If TCP_NODELAY can't be set, small events arrive later.
        let _ = stream.set_nodelay(true);
        let settings = *self.settings.borrow();
        let service = {
            let activity = activity.clone();
            let closing = self.closing.clone();
            service_fn(move |request| {
                let guard = activity.begin();
                let (request, unread) = RequestBody::track(request, &activity);
                // Boxed, as each connection has room for the future of its service.
                let call = || Box::pin(AssertUnwindSafe(handler(request, peer)).catch_unwind());
                let answer = catch_unwind(AssertUnwindSafe(call));
                let (activity, closing) = (activity.clone(), closing.clone());
                async move {
                    let answer = match answer {
                        Ok(answer) => answer.await,
                        Err(panic) => Err(panic),
                    };
                    let has_panicked = answer.is_err();
                    if has_panicked {
                        EndReason::HandlerPanicked.report(peer);
                    }
                    let mut response = answer.unwrap_or_else(|_panic| failed_response());
                    // A response that is sent before its request has arrived may be lost, because
                    // closing a connection with unread bytes resets it.
                    let has_unread = timeout(UNREAD_BODY_WAIT, unread.discard()).await.is_err();
                    activity.end_body();
                    if has_panicked || has_unread || *closing.borrow() {
                        response
                            .headers_mut()
                            .insert(CONNECTION, HeaderValue::from_static("close"));
                    }
                    Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, guard)))
                }
            })
        };
        let mut builder = http1::Builder::new();
        builder.max_buf_size(settings.max_head_bytes.max(8 * 1024)).half_close(false);
        let stream = TokioIo::new(TrackedStream::new(stream, activity.clone()));
        let mut connection = builder.serve_connection(stream, service);
        let mut closing = self.closing.clone();
        let mut closing_since = None;
        let mut draining = false;
        let mut is_evicted = false;
        let end_reason = loop {
            let wake_at = self.unreceived_end(&activity).unwrap_or_else(|| {
                if draining {
                    // Its last response may end, and not be received, at any time.
                    Instant::now() + UNREAD_REQUEST_WAIT
                } else {
                    self.idle_end(&activity, closing_since)
                }
            });
            tokio::select! {
                // A request that has arrived is read before the connection may be closed.
                biased;
                // An error needs no other handling: hyper cancels the handlers of a connection that
                // ends.
                ended = &mut connection => {
                    let in_progress = activity.idle_since().is_none();
                    break EndReason::of(ended.as_ref().err(), in_progress);
                }
                // The sender is dropped only when the process ends.
                _ = closing.wait_for(|closing| *closing), if closing_since.is_none() => {
                    closing_since = Some(Instant::now());
                }
                () = open.evicted(), if !is_evicted => is_evicted = true,
                () = sleep_until(wake_at) => {}
            }
            if self.unreceived_end(&activity).is_some_and(|end| end <= Instant::now()) {
                break Some(EndReason::Unreceived);
            }
            let is_idle = activity.idle_since().is_some();
            let is_due =
                is_evicted || is_idle && Instant::now() >= self.idle_end(&activity, closing_since);
            if draining || !is_due {
                continue;
            }
            if activity.has_unfinished_head() {
                break Some(EndReason::UnfinishedHead);
            }
            if is_evicted && activity.body_begun_at().is_some() {
                break Some(EndReason::UnfinishedBody);
            }
            draining = true;
            let reason = match (is_evicted, closing_since) {
                (true, _) => EndReason::Evicted,
                (false, Some(_)) => EndReason::Closing,
                (false, None) => EndReason::Idle,
            };
            reason.report(peer);
            Pin::new(&mut connection).graceful_shutdown();
        };
        if let Some(reason) = end_reason {
            reason.report(peer);
        }
        if matches!(end_reason, Some(EndReason::UnfinishedHead | EndReason::UnfinishedBody)) {
            reject_unfinished(connection.into_parts().io.into_inner()).await;
        }
    }

    /// When a connection has been idle for too long, unless it is used before.
    fn idle_end(&self, activity: &ConnectionActivity, closing_since: Option<Instant>) -> Instant {
        let idle_since = activity.idle_since().unwrap_or_else(Instant::now);
        match closing_since {
            Some(closing_since) => idle_since.max(closing_since) + UNREAD_REQUEST_WAIT,
            None => idle_since + self.update_idle_limit(),
        }
    }

    /// When a caller has received nothing of an ended response for too long, unless it goes on.
    fn unreceived_end(&self, activity: &ConnectionActivity) -> Option<Instant> {
        let limit = self.settings.borrow().write_timeout.max(UNREAD_REQUEST_WAIT);
        activity.unreceived_since().map(|since| since + limit)
    }

    /// Applies the settings to the limit for idle connections, and returns it.
    fn update_idle_limit(&self) -> Duration {
        let now = Instant::now();
        let mut idle_limit = self.idle_limit.lock().unwrap_or_else(PoisonError::into_inner);
        idle_limit.replace(self.settings.borrow().idle_timeout, now);
        idle_limit.at(now).max(UNREAD_REQUEST_WAIT)
    }
}

/// Response to a request whose handler panicked; the request may have run.
fn failed_response<B: Default>() -> Response<B> {
    let mut response = Response::new(B::default());
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}

/// Tells a caller that its request, of which only a part has arrived, hasn't run.
async fn reject_unfinished(mut stream: TrackedStream) {
    let rejected = async {
        stream.write_all(UNFINISHED_RESPONSE).await?;
        stream.shutdown().await
    };
    // The connection is closed next, whether or not the caller has received the response.
    let _ = timeout(UNREAD_REQUEST_WAIT, rejected).await;
}
