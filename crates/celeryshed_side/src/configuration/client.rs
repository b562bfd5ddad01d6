//! Calls to entries.

use std::time::Duration;

use async_trait::async_trait;
use celeryshed_wire::{
    ConfigurationReply, EndpointReport, MSGPACK, ReportReply, RevisionExchange, decode, encode,
};
use reqwest::header::CONTENT_TYPE;
use serde::Serialize;
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
pub struct HttpEntries {
    client: reqwest::Client,
}

impl HttpEntries {
    /// A client whose calls take at most `timeout`.
    ///
    /// ```
    /// use celeryshed_side::configuration::HttpEntries;
    /// assert!(HttpEntries::try_new(std::time::Duration::from_secs(1)).is_ok());
    /// ```
    pub fn try_new(timeout: Duration) -> reqwest::Result<Self> {
        let builder = reqwest::Client::builder().no_proxy().timeout(timeout);
        let client = builder.pool_idle_timeout(POOL_IDLE).build()?;
        Ok(Self { client })
    }

    async fn post<T: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        content: &T,
    ) -> Result<R, EntryError> {
        let failed = |reason: String| EntryError { address: address.to_owned(), reason };
        let body = encode(content).map_err(|error| failed(error.to_string()))?;
        let url = format!("http://{address}{path}");
        let request = self.client.post(url).header(CONTENT_TYPE, MSGPACK).body(body);
        let reply = request.send().await.and_then(reqwest::Response::error_for_status);
        let reply = reply.map_err(|error| failed(error.to_string()))?;
        let body = reply.bytes().await.map_err(|error| failed(error.to_string()))?;
        decode(&body).map_err(|error| failed(error.to_string()))
    }
}

#[async_trait]
impl EntryClient for HttpEntries {
    async fn report(
        &self,
        address: &str,
        report: &EndpointReport,
    ) -> Result<ReportReply, EntryError> {
        self.post(address, "/entry/v1/reports", report).await
    }

    async fn fetch(
        &self,
        address: &str,
        exchange: &RevisionExchange,
    ) -> Result<ConfigurationReply, EntryError> {
        self.post(address, "/entry/v1/revisions", exchange).await
    }
}
