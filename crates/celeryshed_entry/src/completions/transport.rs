//! Client that sends attempts to sidecars.

use std::collections::VecDeque;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use celeryshed_base::AttemptId;
use celeryshed_wire::{AttemptEvent, AttemptRequest, CancelRequest, FrameDecoder, MSGPACK, encode};
use futures::stream::{self, BoxStream, StreamExt};
use reqwest::header::CONTENT_TYPE;

/// Timeout for connecting to a sidecar; a round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which idle connections are closed. It is shorter than the sidecar's keep-alive of
/// 5 s, so that no request is sent on a connection that the sidecar is closing.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for the reply to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// A request to a sidecar failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransportError {
    /// No connection was made, or the sidecar rejected the request. The attempt did not run.
    #[error("sidecar can't be reached: {reason}")]
    Unreachable {
        /// Error of the connection, or the status of the reply.
        reason: String,
    },
    /// The answer is missing or truncated. The attempt may have run.
    #[error("answer of the sidecar is incomplete: {reason}")]
    Broken {
        /// Error of the transfer or of the decoding, or the status of the reply.
        reason: String,
    },
}

/// Timeout for the reply to a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Events of one attempt. The stream ends without an error only at the end of the sidecar's reply.
pub type EventStream = BoxStream<'static, Result<AttemptEvent, TransportError>>;

/// Sends attempts to sidecars.
#[async_trait]
pub trait SideClient: Send + Sync {
    /// Starts an attempt at the sidecar with this IP address and port.
    async fn start(
        &self,
        address: &str,
        request: &AttemptRequest,
    ) -> Result<EventStream, TransportError>;

    /// Cancels an attempt. Errors are ignored, because the events of the attempt are no longer read.
    async fn cancel(&self, address: &str, attempt_id: AttemptId);

    /// Whether the sidecar with this address answers a health check.
    async fn is_reachable(&self, address: &str) -> bool;
}

/// [`SideClient`] over HTTP.
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
        let client = client.connect_timeout(CONNECT_TIMEOUT).pool_idle_timeout(POOL_IDLE_TIMEOUT);
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
            200 => Ok(decode_events(response.bytes_stream().boxed())),
            // The sidecar's routes reply with these statuses before they start an attempt.
            status @ (400 | 404 | 413) => {
                Err(TransportError::Unreachable { reason: format!("status {status}") })
            }
            status => Err(TransportError::Broken { reason: format!("status {status}") }),
        }
    }

    async fn is_reachable(&self, address: &str) -> bool {
        let request = self.http.get(format!("http://{address}/healthz"));
        let reply = request.timeout(HEALTH_CHECK_TIMEOUT).send().await;
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
    chunks: BoxStream<'static, reqwest::Result<Bytes>>,
    decoder: FrameDecoder,
    decoded: VecDeque<AttemptEvent>,
    ended: bool,
}

fn decode_events(chunks: BoxStream<'static, reqwest::Result<Bytes>>) -> EventStream {
    let decoder = FrameDecoder::default();
    let reader = FrameReader { chunks, decoder, decoded: VecDeque::new(), ended: false };
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
            if let Some(event) = self.decoded.pop_front() {
                return Some(Ok(event));
            }
            match self.chunks.next().await {
                Some(Ok(chunk)) => self.decoder.push(&chunk),
                Some(Err(error)) => return Some(Err(broken(&error))),
                None if self.decoder.has_partial_frame() => {
                    return Some(Err(broken(&"the last frame is cut off")));
                }
                None => return None,
            }
            if let Err(error) = self.decode_frames() {
                return Some(Err(error));
            }
        }
    }

    fn decode_frames(&mut self) -> Result<(), TransportError> {
        while let Some(event) = self.decoder.next_frame().map_err(|error| broken(&error))? {
            self.decoded.push_back(event);
        }
        Ok(())
    }
}

fn broken(reason: &dyn std::fmt::Display) -> TransportError {
    TransportError::Broken { reason: reason.to_string() }
}
