//! HTTP clients of sidecars and other entries.

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

use super::edges::{EntryForward, ForwardFailure, SideDispatch};

/// Longest time for a seal request; the sidecar replies from memory.
const SEAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time beyond the deadline that a dispatch or a forwarded booking may take to reply.
const REPLY_MARGIN: Duration = Duration::from_secs(2);

/// Sidecars over HTTP.
#[derive(Clone, Debug)]
pub struct HttpSideDispatch {
    client: Client,
}

impl HttpSideDispatch {
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

/// The result that an event brings; events of other attempts bring none.
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
impl SideDispatch for HttpSideDispatch {
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
        match exchange::<SealReply>(&self.client, url, &request, SEAL_TIMEOUT).await {
            Ok(reply) => reply.into(),
            Err(_) => SealResult::Unreachable,
        }
    }
}

/// Other entries over HTTP.
#[derive(Clone, Debug)]
pub struct HttpEntryForward {
    client: Client,
}

impl HttpEntryForward {
    /// Uses `client`, which must neither follow redirects nor go through a proxy.
    pub fn new(client: Client) -> Self {
        Self { client }
    }
}

#[async_trait]
impl EntryForward for HttpEntryForward {
    async fn forward(
        &self,
        address: &str,
        booking: &BookingForward,
    ) -> Result<BookingReply, ForwardFailure> {
        let url = format!("http://{address}/entry/v1/bookings");
        let timeout = Duration::from_millis(booking.deadline_ms) + REPLY_MARGIN;
        let reply = exchange(&self.client, url, booking, timeout).await;
        reply.map_err(|failure| ForwardFailure {
            address: address.to_owned(),
            reason: failure.reason,
            maybe_received: failure.maybe_received,
        })
    }
}

/// A failed exchange.
struct ExchangeFailure {
    reason: String,
    maybe_received: bool,
}

impl ExchangeFailure {
    fn unsent(error: impl ToString) -> Self {
        Self { reason: error.to_string(), maybe_received: false }
    }

    fn doubtful(error: impl ToString) -> Self {
        Self { reason: error.to_string(), maybe_received: true }
    }

    fn of_send(error: reqwest::Error) -> Self {
        if error.is_connect() { Self::unsent(error) } else { Self::doubtful(error) }
    }
}

/// Posts a MessagePack body and decodes the reply.
async fn exchange<R: serde::de::DeserializeOwned>(
    client: &Client,
    url: String,
    request: &impl serde::Serialize,
    timeout: Duration,
) -> Result<R, ExchangeFailure> {
    let body = encode(request).map_err(ExchangeFailure::unsent)?;
    let post = client.post(url).header(CONTENT_TYPE, MSGPACK).timeout(timeout).body(body);
    let response = post.send().await.map_err(ExchangeFailure::of_send)?;
    if response.status() != StatusCode::OK {
        return Err(ExchangeFailure::doubtful(format!("status {}", response.status())));
    }
    let body = response.bytes().await.map_err(ExchangeFailure::doubtful)?;
    decode(&body).map_err(ExchangeFailure::doubtful)
}
