//! HTTP clients of other sidecars and of the engine.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use celeryshed_base::{ContentDigest, FenceNumber, InstanceName};
use celeryshed_wire::{EngineCommand, EngineCommandKind, EngineCommandReply, EngineLoad};
use futures::{StreamExt, TryStreamExt};
use reqwest::{Client, Response, StatusCode};

use super::engine::{EngineError, EngineLoader, EngineState, Result};
use super::peers::{PeerClient, PeerError, PeerReply};

/// Timeout of a call to the engine, which runs on the same machine.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of sending an offer.
const OFFER_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP implementation of [`PeerClient`].
#[derive(Clone, Debug)]
pub struct HttpPeerClient {
    client: Client,
}

impl HttpPeerClient {
    /// Creates a client that uses the connections and timeouts of `client`.
    pub fn new(client: Client) -> Self {
        Self { client }
    }
}

#[async_trait]
impl PeerClient for HttpPeerClient {
    async fn fetch_chunk(
        &self,
        address: &str,
        chunk: &ContentDigest,
        wait: Duration,
    ) -> std::result::Result<PeerReply, PeerError> {
        let wait_ms = wait.as_millis();
        let url = format!("http://{address}/side/v1/chunks/{chunk}?wait_ms={wait_ms}");
        let reply = self.client.get(url).send().await;
        let response = reply.map_err(|error| Self::unreachable(address, &error))?;
        let address = address.to_owned();
        match response.status() {
            StatusCode::OK => {
                let body = response.bytes_stream();
                let body = body.map_err(move |error| Self::unreachable(&address, &error));
                Ok(PeerReply::Held(body.boxed()))
            }
            StatusCode::ACCEPTED => Ok(PeerReply::Pending),
            StatusCode::NOT_FOUND => Ok(PeerReply::NotExpected),
            status => Err(PeerError::UnexpectedStatus { address, status: status.as_u16() }),
        }
    }

    async fn offer_chunk(
        &self,
        address: &str,
        chunk: &ContentDigest,
        holder: &InstanceName,
    ) -> std::result::Result<(), PeerError> {
        let url = format!("http://{address}/side/v1/chunks/{chunk}/offers?from={holder}");
        let reply = self.client.post(url).timeout(OFFER_TIMEOUT).send().await;
        let response = reply.map_err(|error| Self::unreachable(address, &error))?;
        match response.status() {
            status if status.is_success() => Ok(()),
            status => {
                let address = address.to_owned();
                Err(PeerError::UnexpectedStatus { address, status: status.as_u16() })
            }
        }
    }
}

impl HttpPeerClient {
    fn unreachable(address: &str, error: &reqwest::Error) -> PeerError {
        PeerError::Unreachable { address: address.to_owned(), reason: error.to_string() }
    }
}

/// HTTP implementation of [`EngineLoader`] for the engine's own interface.
#[derive(Clone, Debug)]
pub struct HttpEngineLoader {
    client: Client,
    address: String,
}

impl HttpEngineLoader {
    /// Creates a client of the engine at `address` (IP address and port).
    pub fn new(client: Client, address: String) -> Self {
        Self { client, address }
    }

    fn unreachable(&self, error: &reqwest::Error) -> EngineError {
        EngineError::Unreachable { address: self.address.clone(), reason: error.to_string() }
    }

    async fn send(&self, request: reqwest::RequestBuilder) -> Result<Response> {
        let reply = request.timeout(ENGINE_TIMEOUT).send().await;
        let response = reply.map_err(|error| self.unreachable(&error))?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status().as_u16();
        let reason = response.text().await.unwrap_or_default();
        Err(EngineError::Refused { address: self.address.clone(), status, reason })
    }
}

#[async_trait]
impl EngineLoader for HttpEngineLoader {
    async fn state(&self) -> Result<EngineState> {
        let request = self.client.get(format!("http://{}/load", self.address));
        let body = self.send(request).await?.json::<EngineLoad>().await;
        let load = body.map_err(|error| self.unreachable(&error))?;
        Ok(EngineState { live: load.live, boot_id: load.boot_id })
    }

    async fn put_chunk(&self, manifest: &ContentDigest, index: u32, content: Bytes) -> Result<()> {
        let url = format!("http://{}/weights/{manifest}/{index}", self.address);
        self.send(self.client.put(url).body(content)).await?;
        Ok(())
    }

    async fn load(&self, fence: FenceNumber, manifest: &ContentDigest, chunks: u32) -> Result<()> {
        let kind = EngineCommandKind::Load { manifest: *manifest, chunks };
        let request = self.client.post(format!("http://{}/commands", self.address));
        let reply = self.send(request.json(&EngineCommand { fence, kind })).await;
        let response = reply.map_err(|error| match error {
            EngineError::Refused { address, status: 409, .. } => {
                EngineError::StaleFence { address, fence }
            }
            other => other,
        })?;
        let body = response.json::<EngineCommandReply>().await;
        body.map(drop).map_err(|error| self.unreachable(&error))
    }
}
