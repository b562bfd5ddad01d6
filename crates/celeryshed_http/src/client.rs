//! A client for repeatable calls that reuses one connection.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{HeaderMap, Method, Request, StatusCode};
use tokio::sync::Mutex;
use tokio::time::{Instant, timeout, timeout_at};

use crate::connection::{HttpConnection, HttpError, Result};

/// Upper bound of [`CallLimits::connect`] when the timeouts are made from a single duration.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Largest response body of a call whose limits are made from a single duration, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A response that was received to its end.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Any [`FinalStatus`](crate::FinalStatus); an error status is no [`HttpError`].
    pub status: StatusCode,
    /// Headers as received; trailers are dropped.
    pub headers: HeaderMap,
    /// The complete body, at most [`CallLimits::max_body_bytes`].
    pub body: Bytes,
}

/// Limits of one call.
///
/// Made from a single duration, every time limit is that duration, and `connect` is at most
/// [`CONNECT_TIMEOUT`]; the body may have 16 MiB.
///
/// ```
/// use std::time::Duration;
///
/// use celeryshed_http::CallLimits;
///
/// let limits = CallLimits::from(Duration::from_secs(2)).with_max_body(64 * 1024);
/// assert_eq!((limits.connect, limits.max_body_bytes), (Duration::from_secs(1), 64 * 1024));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Longest time to open a connection.
    pub connect: Duration,
    /// Longest wait for the connection to be ready, and then for the response head.
    pub head: Duration,
    /// Longest gap between two parts of the response body.
    pub idle: Duration,
    /// Longest time until the response is complete, including a repeat over a new connection.
    pub total: Duration,
    /// Largest response body; a larger one is an [`HttpError::TooLarge`]. A peer in trouble may send
    /// bytes without end.
    pub max_body_bytes: usize,
}

impl CallLimits {
    /// The same time limits with another largest body.
    pub fn with_max_body(self, max_body_bytes: usize) -> Self {
        Self { max_body_bytes, ..self }
    }
}

impl From<Duration> for CallLimits {
    fn from(limit: Duration) -> Self {
        Self {
            connect: limit.min(CONNECT_TIMEOUT),
            head: limit,
            idle: limit,
            total: limit,
            max_body_bytes: MAX_BODY_BYTES,
        }
    }
}

/// A request of an [`HttpClient`], which may be sent twice.
struct PreparedCall<'c, M, H> {
    method: Method,
    target: &'c str,
    body: Bytes,
    limits: CallLimits,
    /// Called directly before each sending.
    may_send: M,
    /// Called when the head of the response has arrived.
    on_head: H,
}

/// A client of one address that reuses its connection and opens a new one after a failure.
#[derive(Debug)]
pub struct HttpClient {
    address: String,
    content_type: &'static str,
    idle_connection: Mutex<Option<HttpConnection>>,
}

impl HttpClient {
    /// A client of `address`, an `IP:PORT`, that sends its bodies as `content_type`.
    ///
    /// ```
    /// let client = celeryshed_http::HttpClient::new("127.0.0.1:9", "application/json");
    /// assert_eq!(client.address(), "127.0.0.1:9");
    /// ```
    pub fn new(address: &str, content_type: &'static str) -> Self {
        Self { address: address.to_owned(), content_type, idle_connection: Mutex::new(None) }
    }

    /// The address that is called, as passed to [`HttpClient::new`].
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Calls `target`, a path with its query, and reads the complete response within `limits`.
    ///
    /// The peer may close a reused connection at any time. A request that fails on one is sent once
    /// more over a new connection, so requests must be repeatable.
    pub async fn call(
        &self,
        method: Method,
        target: &str,
        body: Bytes,
        limits: impl Into<CallLimits>,
    ) -> Result<HttpResponse> {
        self.call_if(method, target, body, limits, || true).await
    }

    /// Like [`HttpClient::call`], but asks `may_send` each time directly before the request is sent,
    /// when the connection is open. The outcome is [`HttpError::Withheld`] if it returns `false`.
    pub async fn call_if(
        &self,
        method: Method,
        target: &str,
        body: Bytes,
        limits: impl Into<CallLimits>,
        may_send: impl Fn() -> bool,
    ) -> Result<HttpResponse> {
        let limits = limits.into();
        let on_head = || ();
        self.run(PreparedCall { method, target, body, limits, may_send, on_head }).await
    }

    /// Like [`HttpClient::call`], and calls `on_head` when the head of the response has arrived.
    ///
    /// ```
    /// use bytes::Bytes;
    /// use celeryshed_http::HttpClient;
    /// use hyper::Method;
    /// use std::time::Duration;
    /// let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    /// let client = HttpClient::new("not an address", "application/json");
    /// let limit = Duration::from_secs(1);
    /// let on_head = || panic!("no response can arrive");
    /// let call = client.call_observed(Method::GET, "/", Bytes::new(), limit, on_head);
    /// assert!(runtime.block_on(call).is_err());
    /// ```
    pub async fn call_observed(
        &self,
        method: Method,
        target: &str,
        body: Bytes,
        limits: impl Into<CallLimits>,
        on_head: impl Fn(),
    ) -> Result<HttpResponse> {
        let limits = limits.into();
        let may_send = || true;
        self.run(PreparedCall { method, target, body, limits, may_send, on_head }).await
    }

    async fn run<M: Fn() -> bool, H: Fn()>(
        &self,
        call: PreparedCall<'_, M, H>,
    ) -> Result<HttpResponse> {
        let limits = call.limits;
        let reused = self.idle_connection.lock().await.take();
        let was_reused = reused.is_some();
        let exchange = async {
            let first = self.exchange(reused, &call).await;
            match first {
                Err(HttpError::Exchange { .. }) if was_reused => self.exchange(None, &call).await,
                outcome => outcome,
            }
        };
        let reply = timeout_at(Instant::now() + limits.total, exchange).await;
        let (connection, reply) = reply.map_err(|_elapsed| self.timed_out(limits.total))??;
        *self.idle_connection.lock().await = Some(connection);
        Ok(reply)
    }

    async fn exchange<M: Fn() -> bool, H: Fn()>(
        &self,
        reused: Option<HttpConnection>,
        call: &PreparedCall<'_, M, H>,
    ) -> Result<(HttpConnection, HttpResponse)> {
        let PreparedCall { method, target, body, limits, may_send, on_head } = call;
        let mut connection = match reused.filter(HttpConnection::is_open) {
            Some(connection) => connection,
            _ => HttpConnection::connect(&self.address, limits.connect).await?,
        };
        let mut request =
            Request::builder().method(method).uri(*target).header(HOST, &self.address);
        if !body.is_empty() {
            request = request.header(CONTENT_TYPE, self.content_type);
        }
        let request =
            request.body(Full::new(body.clone())).map_err(|error| HttpError::Connect {
                address: self.address.clone(),
                source: std::io::Error::new(std::io::ErrorKind::InvalidInput, error),
            })?;
        let head_timed_out = |_elapsed| self.timed_out(limits.head);
        timeout(limits.head, connection.ready()).await.map_err(head_timed_out)??;
        if !may_send() {
            return Err(HttpError::Withheld { address: self.address.clone() });
        }
        let response =
            timeout(limits.head, connection.send(request)).await.map_err(head_timed_out)??;
        on_head();
        let (head, body) = response.into_parts();
        let mut body = Limited::new(body, limits.max_body_bytes);
        let mut bytes = BytesMut::new();
        let idle_timed_out = |_elapsed| self.timed_out(limits.idle);
        while let Some(frame) = timeout(limits.idle, body.frame()).await.map_err(idle_timed_out)? {
            let frame = frame.map_err(|source| self.body_failure(source, limits))?;
            if let Ok(data) = frame.into_data() {
                bytes.extend_from_slice(&data);
            }
        }
        let reply =
            HttpResponse { status: head.status, headers: head.headers, body: bytes.freeze() };
        Ok((connection, reply))
    }

    fn body_failure(
        &self,
        source: Box<dyn std::error::Error + Send + Sync>,
        limits: &CallLimits,
    ) -> HttpError {
        let address = self.address.clone();
        if source.is::<LengthLimitError>() {
            HttpError::TooLarge { address, limit: limits.max_body_bytes }
        } else {
            HttpError::Body { address, source }
        }
    }

    fn timed_out(&self, limit: Duration) -> HttpError {
        HttpError::Timeout { address: self.address.clone(), limit }
    }
}
