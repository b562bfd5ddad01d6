//! Client of the sidecars' attempts.

use std::collections::VecDeque;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use celeryshed_base::AttemptId;
use celeryshed_wire::{AttemptEvent, AttemptRequest, CancelRequest, FrameDecoder, MSGPACK, encode};
use futures::stream::{self, BoxStream, StreamExt};
use reqwest::header::CONTENT_TYPE;

/// Longest time to connect to a sidecar; links add a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections are dropped before the sidecar's keep-alive (5 s) ends, so that a request is
/// not sent on a connection that the sidecar closes at that moment.
const POOL_IDLE: Duration = Duration::from_secs(2);

/// Longest wait for the reply to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// A failed exchange with a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransportError {
    /// No connection was made, or the sidecar refused the request unread: nothing ran.
    #[error("sidecar can't be reached: {reason}")]
    Unreachable {
        /// The reason.
        reason: String,
    },
    /// The answer is missing or cut off.
    #[error("answer of the sidecar is incomplete: {reason}")]
    Broken {
        /// The reason.
        reason: String,
    },
}

/// Longest wait for a sidecar's sign of life.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// Events of one attempt; it ends without an error only at the end of the sidecar's answer.
pub type EventStream = BoxStream<'static, Result<AttemptEvent, TransportError>>;

/// Client of the sidecars.
#[async_trait]
pub trait SideClient: Send + Sync {
    /// Starts an attempt at the sidecar with this address.
    async fn start(
        &self,
        address: &str,
        request: &AttemptRequest,
    ) -> Result<EventStream, TransportError>;

    /// Stops an attempt; a failure is of no consequence, since its events are dropped.
    async fn cancel(&self, address: &str, attempt_id: AttemptId);

    /// Whether requests reach the sidecar with this address.
    async fn is_reachable(&self, address: &str) -> bool;
}

/// Client over HTTP.
#[derive(Clone, Debug)]
pub struct HttpSideClient {
    http: reqwest::Client,
}

impl HttpSideClient {
    /// Uses `http`, which must neither follow redirects nor go through a proxy.
    pub fn new(http: reqwest::Client) -> Self {
        Self { http }
    }
}

impl Default for HttpSideClient {
    fn default() -> Self {
        let client = reqwest::Client::builder().no_proxy();
        let client = client.connect_timeout(CONNECT_TIMEOUT).pool_idle_timeout(POOL_IDLE);
        let http = client.build().expect("client without TLS needs nothing from the system");
        Self { http }
    }
}

#[async_trait]
impl SideClient for HttpSideClient {
    async fn start(
        &self,
        address: &str,
        request: &AttemptRequest,
    ) -> Result<EventStream, TransportError> {
        let body = encode(request)
            .map_err(|error| TransportError::Unreachable { reason: error.to_string() })?;
        let url = format!("http://{address}/side/v1/attempts");
        let request = self.http.post(url).header(CONTENT_TYPE, MSGPACK).body(body);
        let response = request.send().await.map_err(|error| {
            let reason = error.to_string();
            match error.is_connect() {
                true => TransportError::Unreachable { reason },
                false => TransportError::Broken { reason },
            }
        })?;
        match response.status().as_u16() {
            200 => Ok(events(response.bytes_stream().boxed())),
            // The sidecar's routes answer so before they start anything.
            status @ (400 | 404 | 413) => {
                Err(TransportError::Unreachable { reason: format!("status {status}") })
            }
            status => Err(TransportError::Broken { reason: format!("status {status}") }),
        }
    }

    async fn is_reachable(&self, address: &str) -> bool {
        let request = self.http.get(format!("http://{address}/healthz"));
        let reply = request.timeout(HEALTH_TIMEOUT).send().await;
        reply.is_ok_and(|reply| reply.status().is_success())
    }

    async fn cancel(&self, address: &str, attempt_id: AttemptId) {
        let Ok(body) = encode(&CancelRequest { attempt_id }) else {
            return;
        };
        let url = format!("http://{address}/side/v1/cancellations");
        let request = self.http.post(url).header(CONTENT_TYPE, MSGPACK).body(body);
        let _ = request.timeout(CANCEL_TIMEOUT).send().await;
    }
}

struct FrameReader {
    parts: BoxStream<'static, reqwest::Result<Bytes>>,
    decoder: FrameDecoder,
    ready: VecDeque<AttemptEvent>,
    ended: bool,
}

fn events(parts: BoxStream<'static, reqwest::Result<Bytes>>) -> EventStream {
    let decoder = FrameDecoder::default();
    let reader = FrameReader { parts, decoder, ready: VecDeque::new(), ended: false };
    stream::unfold(reader, |mut reader| async move {
        let item = reader.next().await?;
        reader.ended = item.is_err();
        Some((item, reader))
    })
    .boxed()
}

impl FrameReader {
    async fn next(&mut self) -> Option<Result<AttemptEvent, TransportError>> {
        loop {
            if self.ended {
                return None;
            }
            if let Some(event) = self.ready.pop_front() {
                return Some(Ok(event));
            }
            match self.parts.next().await {
                Some(Ok(part)) => self.decoder.push(&part),
                Some(Err(error)) => return Some(Err(broken(&error))),
                None if self.decoder.has_partial_frame() => {
                    return Some(Err(broken(&"the last frame is cut off")));
                }
                None => return None,
            }
            if let Err(error) = self.decode() {
                return Some(Err(error));
            }
        }
    }

    fn decode(&mut self) -> Result<(), TransportError> {
        while let Some(event) = self.decoder.next_frame().map_err(|error| broken(&error))? {
            self.ready.push_back(event);
        }
        Ok(())
    }
}

fn broken(reason: &dyn std::fmt::Display) -> TransportError {
    TransportError::Broken { reason: reason.to_string() }
}
