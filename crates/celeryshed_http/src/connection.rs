//! One outgoing HTTP/1.1 connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::exchange::{ExchangeState, ExchangeStream, ResponseBody};
use crate::status::{FinalStatus, InvalidStatus};

/// Most bytes of a response that a connection receives ahead of its reader, and the largest response
/// head. A peer in trouble may send bytes without end on many connections at once.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;

/// Why a call got no complete response.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// No connection could be opened; nothing was sent.
    #[error("{address} can't be reached: {source}")]
    Connect {
        /// Address that was called.
        address: String,
        /// Underlying error.
        source: io::Error,
    },
    /// The connection broke, or the peer sent invalid HTTP; the request may have been received.
    #[error("the connection to {address} failed: {source}")]
    Exchange {
        /// Address that was called.
        address: String,
        /// Underlying error.
        source: hyper::Error,
    },
    /// The peer sent a status that no final response may have; the request may have been executed.
    #[error("the response from {address} is invalid: {source}")]
    Status {
        /// Address that was called.
        address: String,
        /// The status.
        source: InvalidStatus,
    },
    /// The response body was larger than the call allowed.
    #[error("the response body from {address} has more than {limit} bytes")]
    TooLarge {
        /// Address that was called.
        address: String,
        /// Limit that was exceeded.
        limit: usize,
    },
    /// The response body broke off.
    #[error("the response body from {address} is incomplete: {source}")]
    Body {
        /// Address that was called.
        address: String,
        /// Underlying error.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The request was not sent, since the caller's condition for it no longer held.
    #[error("the request to {address} was withheld: its condition no longer held")]
    Withheld {
        /// Address that would have been called.
        address: String,
    },
    /// The response was not complete in time; the request may have been received.
    #[error("{address} did not answer within {limit:?}")]
    Timeout {
        /// Address that was called.
        address: String,
        /// Limit that was exceeded.
        limit: Duration,
    },
}

/// Result of an HTTP call.
pub(crate) type Result<T> = std::result::Result<T, HttpError>;

/// An open connection that carries one request at a time.
///
/// Dropping it closes the connection, or resets it while the response to a request is incomplete.
#[derive(Debug)]
pub struct HttpConnection {
    address: String,
    sender: SendRequest<Full<Bytes>>,
    state: ExchangeState,
    driver: AbortHandle,
}

impl HttpConnection {
    /// Opens a connection to `address`, an `IP:PORT`, within `limit`.
    ///
    /// ```
    /// use celeryshed_http::HttpConnection;
    /// use std::time::Duration;
    /// let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    /// let limit = Duration::from_secs(1);
    /// let opened = runtime.block_on(HttpConnection::connect("not an address", limit));
    /// assert!(opened.is_err());
    /// ```
    pub async fn connect(address: &str, limit: Duration) -> Result<Self> {
        let failed = |source| HttpError::Connect { address: address.to_owned(), source };
        let target: SocketAddr = address
            .parse()
            .map_err(|error| failed(io::Error::new(io::ErrorKind::InvalidInput, error)))?;
        let stream = timeout(limit, TcpStream::connect(target))
            .await
            .map_err(|_elapsed| failed(io::ErrorKind::TimedOut.into()))?
            .map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        let state = ExchangeState::default();
        let stream = ExchangeStream::new(stream, state.clone());
        let (sender, connection) = Builder::new()
            .max_buf_size(RECEIVE_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|source| HttpError::Exchange { address: address.to_owned(), source })?;
        // Errors of the connection reach the caller as errors of the request in progress.
        let driver = tokio::spawn(connection).abort_handle();
        Ok(Self { address: address.to_owned(), sender, state, driver })
    }

    /// Sends a request and waits for the head of its response, whose status is a [`FinalStatus`].
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<ResponseBody>> {
        self.state.begin();
        let response =
            self.sender.send_request(request).await.map_err(|source| self.failure(source))?;
        FinalStatus::try_from(response.status())
            .map_err(|source| HttpError::Status { address: self.address.clone(), source })?;
        Ok(response.map(|incoming| ResponseBody::new(incoming, self.state.clone())))
    }

    /// Whether the connection is not closed; a request may still be in progress on it.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Waits until the next request can be sent; fails if the connection was closed.
    pub async fn ready(&mut self) -> Result<()> {
        self.sender.ready().await.map_err(|source| self.failure(source))
    }

    fn failure(&self, source: hyper::Error) -> HttpError {
        HttpError::Exchange { address: self.address.clone(), source }
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        // The driver would otherwise first write what is left of the request.
        if self.state.is_incomplete() {
            self.driver.abort();
        }
    }
}
