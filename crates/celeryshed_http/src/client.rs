//! Calls to a dependency over a kept connection.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{HeaderMap, Method, Request, StatusCode};
use tokio::sync::Mutex;
use tokio::time::{Instant, timeout, timeout_at};

use crate::connection::{HttpConnection, HttpError, Result};

/// Longest time that opening a connection takes in general.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// How long a call may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTimeouts {
    /// Longest time that opening a connection may take.
    pub connect: Duration,
    /// Longest wait for the head of the answer.
    pub head: Duration,
    /// Longest silence within its body.
    pub idle: Duration,
    /// Longest time until the answer is whole.
    pub total: Duration,
}

impl From<Duration> for CallTimeouts {
    fn from(limit: Duration) -> Self {
        Self { connect: limit.min(CONNECT_TIMEOUT), head: limit, idle: limit, total: limit }
    }
}

/// A client of one address; it keeps a connection between calls and opens a new one after a failure.
#[derive(Debug)]
pub struct HttpClient {
    address: String,
    content_type: &'static str,
    kept: Mutex<Option<HttpConnection>>,
}

impl HttpClient {
    /// A client of `address`, an `IP:PORT`, that sends bodies of one content type.
    ///
    /// ```
    /// let client = celeryshed_http::HttpClient::new("127.0.0.1:9", "application/json");
    /// assert_eq!(client.address(), "127.0.0.1:9");
    /// ```
    pub fn new(address: &str, content_type: &'static str) -> Self {
        Self { address: address.to_owned(), content_type, kept: Mutex::new(None) }
    }

    /// The address that is called.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Calls `target`, a path with its query, and reads the whole answer within `timeouts`.
    ///
    /// A call that meets a kept connection at its end is made again over a new one, so calls must
    /// be repeatable.
    pub async fn call(
        &self,
        method: Method,
        target: &str,
        body: Bytes,
        timeouts: impl Into<CallTimeouts>,
    ) -> Result<HttpReply> {
        let timeouts = timeouts.into();
        let kept = self.kept.lock().await.take();
        let was_kept = kept.is_some();
        let exchange = async {
            let first = self.exchange(kept, method.clone(), target, body.clone(), timeouts).await;
            match first {
                Err(HttpError::Exchange { .. }) if was_kept => {
                    self.exchange(None, method, target, body, timeouts).await
                }
                outcome => outcome,
            }
        };
        let reply = timeout_at(Instant::now() + timeouts.total, exchange).await;
        let (connection, reply) = reply.map_err(|_elapsed| self.timed_out(timeouts.total))??;
        *self.kept.lock().await = Some(connection);
        Ok(reply)
    }

    async fn exchange(
        &self,
        kept: Option<HttpConnection>,
        method: Method,
        target: &str,
        body: Bytes,
        timeouts: CallTimeouts,
    ) -> Result<(HttpConnection, HttpReply)> {
        let mut connection = match kept.filter(HttpConnection::is_open) {
            Some(connection) => connection,
            _ => HttpConnection::connect(&self.address, timeouts.connect).await?,
        };
        let mut request = Request::builder().method(method).uri(target).header(HOST, &self.address);
        if !body.is_empty() {
            request = request.header(CONTENT_TYPE, self.content_type);
        }
        let request = request.body(Full::new(body)).map_err(|error| HttpError::Connect {
            address: self.address.clone(),
            source: std::io::Error::new(std::io::ErrorKind::InvalidInput, error),
        })?;
        let late_head = |_elapsed| self.timed_out(timeouts.head);
        timeout(timeouts.head, connection.ready()).await.map_err(late_head)??;
        let response =
            timeout(timeouts.head, connection.send(request)).await.map_err(late_head)??;
        let (head, body) = response.into_parts();
        let mut body = Limited::new(body, MAX_ANSWER_BYTES);
        let mut bytes = BytesMut::new();
        let silent = |_elapsed| self.timed_out(timeouts.idle);
        while let Some(frame) = timeout(timeouts.idle, body.frame()).await.map_err(silent)? {
            let frame = frame
                .map_err(|source| HttpError::Body { address: self.address.clone(), source })?;
            if let Ok(data) = frame.into_data() {
                bytes.extend_from_slice(&data);
            }
        }
        let reply = HttpReply { status: head.status, headers: head.headers, body: bytes.freeze() };
        Ok((connection, reply))
    }

    fn timed_out(&self, limit: Duration) -> HttpError {
        HttpError::Timeout { address: self.address.clone(), limit }
    }
}
