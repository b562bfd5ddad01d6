//! HTTP clients for sidecars and other entries.

use std::time::Duration;

use async_trait::async_trait;
use celeryshed_base::AttemptId;
use celeryshed_core::booking::{DispatchResult, SealResult};
use celeryshed_wire::{
    AttemptEvent, AttemptEventKind, AttemptFailure, AttemptRequest, BookingForward, BookingReply,
    FailureCause, FrameDecoder, MSGPACK, RunStatus, SealReply, SealRequest, ServiceAnswer, decode,
    encode,
};
use futures::StreamExt;
use reqwest::{Client, Response, StatusCode, header::CONTENT_TYPE};

use super::clients::{DispatchClient, ForwardClient, ForwardError};

/// Timeout of a seal request, which the sidecar answers from memory.
const SEAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time past the booking's deadline for which the reply to a dispatch or forward is awaited.
const REPLY_MARGIN: Duration = Duration::from_secs(2);

/// HTTP client for bookings that sidecars run.
#[derive(Clone, Debug)]
pub struct HttpDispatchClient {
    client: Client,
}

impl HttpDispatchClient {
    /// Uses `client`, which must neither follow redirects nor go through a proxy.
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    async fn read_events(
        response: Response,
        attempt_id: AttemptId,
    ) -> Option<DispatchResult<ServiceAnswer>> {
        let mut decoder = FrameDecoder::default();
        let mut body = response.bytes_stream();
        while let Some(received) = body.next().await {
            decoder.push(&received.ok()?);
            while let Some(event) = decoder.next_frame::<AttemptEvent>().ok()? {
                let result = event_result(event, attempt_id);
                if result.is_some() {
                    return result;
                }
            }
        }
        None
    }
}

/// The result that an event carries; `None` for events of other attempts and for progress events.
fn event_result(event: AttemptEvent, id: AttemptId) -> Option<DispatchResult<ServiceAnswer>> {
    if event.attempt_id != id {
        return None;
    }
    match event.kind {
        AttemptEventKind::Answer(answer) => Some(DispatchResult::Answer(answer)),
        AttemptEventKind::Failed(failure) => Some(failure_result(failure)),
        AttemptEventKind::Finished { .. } => Some(DispatchResult::Unknown),
        AttemptEventKind::Started { .. }
        | AttemptEventKind::Token { .. }
        | AttemptEventKind::Load(_) => None,
    }
}

fn failure_result(failure: AttemptFailure) -> DispatchResult<ServiceAnswer> {
    match failure.not_run {
        RunStatus::NotRun => DispatchResult::NotRun {
            claim_only: failure.cause == FailureCause::ClaimRefused,
            detail: failure.detail,
        },
        RunStatus::Ran | RunStatus::Unknown => DispatchResult::Unknown,
    }
}

#[async_trait]
impl DispatchClient for HttpDispatchClient {
    async fn dispatch(
        &self,
        address: &str,
        request: AttemptRequest,
    ) -> DispatchResult<ServiceAnswer> {
        let attempt_id = request.attempt_id;
        let timeout = Duration::from_millis(request.deadline_ms) + REPLY_MARGIN;
        let body = match encode(&request) {
            Ok(body) => body,
            Err(error) => {
                return DispatchResult::NotRun { detail: error.to_string(), claim_only: false };
            }
        };
        let post = self.client.post(format!("http://{address}/side/v1/attempts"));
        let sent = post.header(CONTENT_TYPE, MSGPACK).timeout(timeout).body(body).send().await;
        match sent {
            Ok(response) if response.status() == StatusCode::OK => {
                let result = Self::read_events(response, attempt_id).await;
                result.unwrap_or(DispatchResult::Unknown)
            }
            Ok(_) => DispatchResult::Unknown,
            // No connection was made, so no byte of the request was sent.
            Err(error) if error.is_connect() => {
                DispatchResult::NotRun { detail: error.to_string(), claim_only: false }
            }
            Err(_) => DispatchResult::Unknown,
        }
    }

    async fn seal(&self, address: &str, request: SealRequest) -> SealResult<ServiceAnswer> {
        let url = format!("http://{address}/side/v1/seals");
        match post_msgpack::<SealReply>(&self.client, url, &request, SEAL_TIMEOUT).await {
            Ok(reply) => reply.into(),
            Err(_) => SealResult::Unreachable,
        }
    }
}

/// HTTP client for bookings that other entries serve.
#[derive(Clone, Debug)]
pub struct HttpForwardClient {
    client: Client,
}

impl HttpForwardClient {
    /// Uses `client`, which must neither follow redirects nor go through a proxy.
    pub fn new(client: Client) -> Self {
        Self { client }
    }
}

#[async_trait]
impl ForwardClient for HttpForwardClient {
    async fn forward(
        &self,
        address: &str,
        booking: &BookingForward,
    ) -> Result<BookingReply, ForwardError> {
        let url = format!("http://{address}/entry/v1/bookings");
        let timeout = Duration::from_millis(booking.deadline_ms) + REPLY_MARGIN;
        let reply = post_msgpack(&self.client, url, booking, timeout).await;
        reply.map_err(|error| ForwardError {
            address: address.to_owned(),
            reason: error.reason,
            maybe_received: error.maybe_received,
        })
    }
}

/// A failed HTTP call.
struct CallError {
    reason: String,
    maybe_received: bool,
}

impl CallError {
    fn not_sent(error: impl ToString) -> Self {
        Self { reason: error.to_string(), maybe_received: false }
    }

    fn maybe_sent(error: impl ToString) -> Self {
        Self { reason: error.to_string(), maybe_received: true }
    }

    fn of_send(error: reqwest::Error) -> Self {
        if error.is_connect() { Self::not_sent(error) } else { Self::maybe_sent(error) }
    }
}

/// Posts a MessagePack body and decodes the reply.
async fn post_msgpack<R: serde::de::DeserializeOwned>(
    client: &Client,
    url: String,
    request: &impl serde::Serialize,
    timeout: Duration,
) -> Result<R, CallError> {
    let body = encode(request).map_err(CallError::not_sent)?;
    let post = client.post(url).header(CONTENT_TYPE, MSGPACK).timeout(timeout).body(body);
    let response = post.send().await.map_err(CallError::of_send)?;
    if response.status() != StatusCode::OK {
        return Err(CallError::maybe_sent(format!("status {}", response.status())));
    }
    let body = response.bytes().await.map_err(CallError::maybe_sent)?;
    decode(&body).map_err(CallError::maybe_sent)
}
