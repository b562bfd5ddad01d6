//! One outgoing connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A call that did not get a whole answer.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// No connection could be made; nothing was sent.
    #[error("{address} can't be reached: {source}")]
    Connect {
        /// The address.
        address: String,
        /// The cause.
        source: io::Error,
    },
    /// The connection broke, or its bytes were no HTTP.
    #[error("the connection to {address} failed: {source}")]
    Exchange {
        /// The address.
        address: String,
        /// The cause.
        source: hyper::Error,
    },
    /// The answer broke off or was too large.
    #[error("the answer of {address} is not whole: {source}")]
    Body {
        /// The address.
        address: String,
        /// The cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The answer did not come in time.
    #[error("{address} did not answer within {limit:?}")]
    Timeout {
        /// The address.
        address: String,
        /// The time limit.
        limit: Duration,
    },
}

/// Result of this module.
pub(crate) type Result<T> = std::result::Result<T, HttpError>;

/// An open connection that carries one request at a time; dropping it closes the connection.
#[derive(Debug)]
pub struct HttpConnection {
    address: String,
    sender: SendRequest<Full<Bytes>>,
}

impl HttpConnection {
    /// Opens a connection to `address`, an `IP:PORT`.
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
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|source| HttpError::Exchange { address: address.to_owned(), source })?;
        // The connection's own errors reach the caller through the request in progress.
        tokio::spawn(connection);
        Ok(Self { address: address.to_owned(), sender })
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        self.sender.send_request(request).await.map_err(|source| self.failure(source))
    }

    /// Whether the connection takes one more request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Waits until the connection takes one more request.
    pub async fn ready(&mut self) -> Result<()> {
        self.sender.ready().await.map_err(|source| self.failure(source))
    }

    fn failure(&self, source: hyper::Error) -> HttpError {
        HttpError::Exchange { address: self.address.clone(), source }
    }
}
