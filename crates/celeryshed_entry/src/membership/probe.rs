//! Client for probes of sidecars.

use std::time::Duration;

use async_trait::async_trait;
use celeryshed_base::InstanceName;
use celeryshed_wire::{
    ENTRY_HEADER, EndpointReport, MSGPACK, RevisionExchange, decode, encode_compact,
};
use reqwest::header::CONTENT_TYPE;

use crate::configuration::PeerError;

/// Time after which idle connections are closed. It is shorter than the keep-alive of the server,
/// 5 s by rocket's default, so that calls rarely use a connection that the server is closing.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Client for probes of sidecars.
#[async_trait]
pub trait ProbeClient: Send + Sync {
    /// Asks the sidecar at `address` for its report; `entry` is the address of this entry.
    async fn probe(
        &self,
        address: &str,
        entry: &str,
        exchange: &RevisionExchange,
    ) -> Result<EndpointReport, PeerError>;

    /// Tells the sidecar at `address` that the platform lists its `instance` as leaving.
    async fn notify_leaving(&self, address: &str, instance: &InstanceName)
    -> Result<(), PeerError>;
}

/// Client for probes over HTTP.
#[derive(Clone, Debug)]
pub struct HttpProbeClient {
    client: reqwest::Client,
}

impl HttpProbeClient {
    /// Creates a client whose calls fail after `timeout`.
    ///
    /// ```
    /// use celeryshed_entry::membership::HttpProbeClient;
    /// assert!(HttpProbeClient::try_new(std::time::Duration::from_secs(1)).is_ok());
    /// ```
    pub fn try_new(timeout: Duration) -> reqwest::Result<Self> {
        let builder = reqwest::Client::builder().no_proxy().timeout(timeout);
        let client = builder.pool_idle_timeout(POOL_IDLE_TIMEOUT).build()?;
        Ok(Self { client })
    }
}

#[async_trait]
impl ProbeClient for HttpProbeClient {
    async fn probe(
        &self,
        address: &str,
        entry: &str,
        exchange: &RevisionExchange,
    ) -> Result<EndpointReport, PeerError> {
        let failed = |reason: String| PeerError { address: address.to_owned(), reason };
        let body = encode_compact(exchange).map_err(|error| failed(error.to_string()))?;
        let url = format!("http://{address}/side/v1/report");
        let request = self.client.post(url).header(CONTENT_TYPE, MSGPACK);
        let reply = request.header(ENTRY_HEADER, entry).body(body).send().await;
        let reply = reply.and_then(reqwest::Response::error_for_status);
        let reply = reply.map_err(|error| failed(error.to_string()))?;
        let body = reply.bytes().await.map_err(|error| failed(error.to_string()))?;
        decode(&body).map_err(|error| failed(error.to_string()))
    }

    async fn notify_leaving(
        &self,
        address: &str,
        instance: &InstanceName,
    ) -> Result<(), PeerError> {
        let url = format!("http://{address}/side/v1/leaving/{instance}");
        let reply = self.client.post(url).send().await;
        let reply = reply.and_then(reqwest::Response::error_for_status);
        let failed = |reason: String| PeerError { address: address.to_owned(), reason };
        reply.map(|_| ()).map_err(|error| failed(error.to_string()))
    }
}
