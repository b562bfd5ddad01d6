//! Calls to entries.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use celeryshed_wire::{
    CodecError, ConfigurationReply, EndpointReport, ReportReply, RevisionExchange, decode, encode,
    encode_compact,
};
use serde::de::DeserializeOwned;

/// Idle connections are closed before rocket's keep-alive of 5 s ends, so that a call rarely meets a
/// connection that the server is closing.
const POOL_IDLE: Duration = Duration::from_secs(4);

/// A failed call to an entry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("call to {address} failed: {reason}")]
pub struct EntryError {
    /// The entry's address.
    pub address: String,
    /// The reason.
    pub reason: String,
}

/// Client of entries.
#[async_trait]
pub trait EntryClient: Send + Sync {
    /// Sends a report.
    async fn report(
        &self,
        address: &str,
        report: &EndpointReport,
    ) -> Result<ReportReply, EntryError>;

    /// Asks for the configuration when it is newer than the own one.
    async fn fetch(
        &self,
        address: &str,
        exchange: &RevisionExchange,
    ) -> Result<ConfigurationReply, EntryError>;
}

/// Client of entries over HTTP.
#[derive(Clone, Debug)]
pub struct HttpEntryClient {
    client: reqwest::Client,
}

impl HttpEntryClient {
    /// A client whose calls take at most `timeout`.
    ///
    /// ```
    /// use celeryshed_side::configuration::HttpEntryClient;
    /// assert!(HttpEntryClient::try_new(std::time::Duration::from_secs(1)).is_ok());
    /// ```
    pub fn try_new(timeout: Duration) -> reqwest::Result<Self> {
        let builder = reqwest::Client::builder().no_proxy().timeout(timeout);
        let client = builder.pool_idle_timeout(POOL_IDLE).build()?;
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
        // Without a content type, which the route doesn't read: it would be 35 bytes of each report.
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
