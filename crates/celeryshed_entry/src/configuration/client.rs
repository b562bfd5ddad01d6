//! HTTP client for revision exchanges with entries and sidecars.

use std::time::Duration;

use async_trait::async_trait;
use celeryshed_wire::{ConfigurationReply, MSGPACK, RevisionExchange, decode, encode};
use reqwest::header::CONTENT_TYPE;

/// Time after which idle connections are closed. It is shorter than the keep-alive of the server,
/// 5 s by rocket's default, so that calls rarely use a connection that the server is closing.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// A failed call to a peer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("call to {address} failed: {reason}")]
pub struct PeerError {
    /// IP address and port of the peer.
    pub address: String,
    /// Text of the underlying error, such as a timeout or an HTTP status.
    pub reason: String,
}

/// Client for revision exchanges with entries and sidecars.
#[async_trait]
pub trait ConfigurationClient: Send + Sync {
    /// Sends this entry's revision to the entry at `address`, which replies with its state if newer.
    async fn exchange(
        &self,
        address: &str,
        exchange: &RevisionExchange,
    ) -> Result<ConfigurationReply, PeerError>;

    /// Sends this entry's revision to the sidecar at `address`, which replies with its state if
    /// newer.
    async fn exchange_with_side(
        &self,
        address: &str,
        exchange: &RevisionExchange,
    ) -> Result<ConfigurationReply, PeerError>;
}

/// Client for revision exchanges over HTTP.
#[derive(Clone, Debug)]
pub struct HttpConfigurationClient {
    client: reqwest::Client,
}

impl HttpConfigurationClient {
    /// Creates a client whose calls fail after `timeout`.
    ///
    /// ```
    /// use celeryshed_entry::configuration::HttpConfigurationClient;
    /// assert!(HttpConfigurationClient::try_new(std::time::Duration::from_secs(1)).is_ok());
    /// ```
    pub fn try_new(timeout: Duration) -> reqwest::Result<Self> {
        let builder = reqwest::Client::builder().no_proxy().timeout(timeout);
        let client = builder.pool_idle_timeout(POOL_IDLE_TIMEOUT).build()?;
        Ok(Self { client })
    }

    async fn post(
        &self,
        address: &str,
        path: &str,
        exchange: &RevisionExchange,
    ) -> Result<ConfigurationReply, PeerError> {
        let failed = |reason: String| PeerError { address: address.to_owned(), reason };
        let body = encode(exchange).map_err(|error| failed(error.to_string()))?;
        let url = format!("http://{address}{path}");
        let request = self.client.post(url).header(CONTENT_TYPE, MSGPACK).body(body);
        let reply = request.send().await.and_then(reqwest::Response::error_for_status);
        let reply = reply.map_err(|error| failed(error.to_string()))?;
        let body = reply.bytes().await.map_err(|error| failed(error.to_string()))?;
        decode(&body).map_err(|error| failed(error.to_string()))
    }
}

#[async_trait]
impl ConfigurationClient for HttpConfigurationClient {
    async fn exchange(
        &self,
        address: &str,
        exchange: &RevisionExchange,
    ) -> Result<ConfigurationReply, PeerError> {
        self.post(address, "/entry/v1/revisions", exchange).await
    }

    async fn exchange_with_side(
        &self,
        address: &str,
        exchange: &RevisionExchange,
    ) -> Result<ConfigurationReply, PeerError> {
        self.post(address, "/side/v1/revisions", exchange).await
    }
}
