//! Client for reports to entries and for configuration fetches.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use celeryshed_wire::{
    CodecError, ConfigurationReply, EndpointReport, ReportReply, RevisionExchange, decode, encode,
    encode_compact,
};
use serde::de::DeserializeOwned;

/// Idle connections are closed before Rocket's keep-alive of 5 s ends, so that calls are rarely
/// sent on a connection that the server is closing.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// A failed call to an entry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("call to {address} failed: {reason}")]
pub struct EntryError {
    /// IP address and port of the entry.
    pub address: String,
    /// Text of the transport, status or codec error.
    pub reason: String,
}

/// Calls from a sidecar to entries.
#[async_trait]
pub trait EntryClient: Send + Sync {
    /// Sends a status report; the reply contains the entry's configuration revision.
    async fn report(
        &self,
        address: &str,
        report: &EndpointReport,
    ) -> Result<ReportReply, EntryError>;

    /// Fetches the entry's configuration; the reply has a snapshot only if its revision is newer
    /// than that of `exchange`.
    async fn fetch(
        &self,
        address: &str,
        exchange: &RevisionExchange,
    ) -> Result<ConfigurationReply, EntryError>;
}

/// HTTP implementation of [`EntryClient`].
#[derive(Clone, Debug)]
pub struct HttpEntryClient {
    client: reqwest::Client,
}

impl HttpEntryClient {
    /// Creates a client with `timeout` for each call.
    ///
    /// ```
    /// use celeryshed_side::configuration::HttpEntryClient;
    /// assert!(HttpEntryClient::try_new(std::time::Duration::from_secs(1)).is_ok());
    /// ```
    pub fn try_new(timeout: Duration) -> reqwest::Result<Self> {
        let builder = reqwest::Client::builder().no_proxy().timeout(timeout);
        let client = builder.pool_idle_timeout(POOL_IDLE_TIMEOUT).build()?;
        Ok(Self { client })
    }

    async fn post<R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: Result<Bytes, CodecError>,
    ) -> Result<R, EntryError> {
        let failed = |reason: String| EntryError { address: address.to_owned(), reason };
        let body = body.map_err(|error| failed(error.to_string()))?;
        let url = format!("http://{address}{path}");
        // No content type: the route doesn't read it, and it would add 35 bytes to each report.
        let reply = self.client.post(url).body(body).send().await;
        let reply = reply.and_then(reqwest::Response::error_for_status);
        let reply = reply.map_err(|error| failed(error.to_string()))?;
        let body = reply.bytes().await.map_err(|error| failed(error.to_string()))?;
        decode(&body).map_err(|error| failed(error.to_string()))
    }
}

#[async_trait]
impl EntryClient for HttpEntryClient {
    async fn report(
        &self,
        address: &str,
        report: &EndpointReport,
    ) -> Result<ReportReply, EntryError> {
        self.post(address, "/entry/v1/reports", encode_compact(report)).await
    }

    async fn fetch(
        &self,
        address: &str,
        exchange: &RevisionExchange,
    ) -> Result<ConfigurationReply, EntryError> {
        self.post(address, "/entry/v1/revisions", encode(exchange)).await
    }
}
