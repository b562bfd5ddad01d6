//! One attempt of a request at one endpoint.
//!
//! Each attempt opens a new connection. The endpoint may already have closed a reused connection,
//! or still send a late answer to an earlier request there; the outcome of a request that must not
//! run twice would then be unknown.

use std::future::pending;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{ClockSource, MonoTime};
use celeryshed_dispatch::{AttemptOutcome, EndpointTarget, NotRunReason, UnknownReason};
use celeryshed_http::{HttpConnection, HttpError, ResponseBody};
use http_body_util::{BodyExt, Full};
use hyper::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Request, StatusCode};
use tokio::time::{Instant, timeout_at};

use crate::dispatcher_task::PlacementPermit;
use crate::names::HeaderNames;
use crate::request::attempt_trace::AttemptTrace;
use crate::request::buffer::{BufferBudget, BufferLease, LeasedBuffer};
use crate::request::events::EventSplitter;
use crate::request::notice::report_notices;
use crate::request::parse::{CallerRequest, header_text};

/// Limit for opening a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest time from the choice of an endpoint until the request is sent. A connection may take
/// [`CONNECT_TIMEOUT`] of it to open.
const MAX_DECISION_AGE: Duration = Duration::from_millis(500);
/// Headers that apply to one connection only and are not forwarded.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HeaderName::from_static("keep-alive"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// A complete answer of an endpoint that is not a stream.
#[derive(Debug)]
pub(crate) struct WholeAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A stream whose first event has arrived.
#[derive(Debug)]
pub(crate) struct OpenStream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// One or more whole events.
    pub(crate) first: Bytes,
    pub(crate) body: ResponseBody,
    pub(crate) splitter: EventSplitter,
    /// Ended when the stream is dropped.
    _connection: HttpConnection,
}

impl OpenStream {
    /// The next whole events, or `None` at the end of the stream. Dropping the future loses no
    /// bytes.
    pub(crate) async fn next_events(&mut self) -> Result<Option<Bytes>, UnknownReason> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_| UnknownReason::Reset)?;
            let Ok(data) = frame.into_data() else { continue };
            let complete_events =
                self.splitter.push(&data).map_err(|_exceeded| UnknownReason::Malformed)?;
            if complete_events.is_some() {
                return Ok(complete_events);
            }
        }
        if self.splitter.has_partial_event() { Err(UnknownReason::Reset) } else { Ok(None) }
    }
}

/// Whether the end of an answer with these headers shows that it is complete. Otherwise, the answer
/// ends with its connection, also if the endpoint crashes.
pub(crate) fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Result of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptReply {
    /// A complete answer that is not a stream.
    Whole(WholeAnswer),
    /// A stream whose first event has arrived.
    Stream(Box<OpenStream>),
    /// The attempt ended without an answer that can be forwarded.
    Ended(AttemptOutcome),
}

/// Endpoint and time limits of one attempt.
#[derive(Debug)]
pub(crate) struct AttemptPlan<'a> {
    pub(crate) target: &'a EndpointTarget,
    pub(crate) clock: ClockSource,
    /// When the endpoint was chosen.
    pub(crate) decided_at: MonoTime,
    /// When the attempt ends as silent unless a first event or complete answer has arrived.
    pub(crate) give_up_at: Instant,
    /// When the attempt ends as outdated unless a first event or complete answer has arrived,
    /// because a newer version than the endpoint's then takes effect; none if no such version is
    /// known.
    pub(crate) start_deadline: Option<MonoTime>,
    /// Id of the event after which the stream resumes; none for a stream from its start.
    pub(crate) last_event: Option<u64>,
    /// Memory for answers that are not complete, or not yet received by their callers.
    pub(crate) buffers: &'a BufferBudget,
    /// The slot at the endpoint.
    pub(crate) permit: &'a PlacementPermit,
    pub(crate) trace: &'a AttemptTrace,
}

/// Sends a request to an endpoint, and waits for the complete answer or the first event.
pub(crate) async fn send_attempt(
    names: &HeaderNames,
    request: &CallerRequest,
    plan: &AttemptPlan<'_>,
) -> AttemptReply {
    let connecting_since = plan.clock.now();
    let mut connection = match HttpConnection::connect(&plan.target.address, CONNECT_TIMEOUT).await
    {
        Ok(connection) => connection,
        Err(_) => return AttemptReply::Ended(AttemptOutcome::NotRun(NotRunReason::Unreachable)),
    };
    // The process may have been paused, or the endpoint slow to accept the connection: meanwhile it
    // may have begun to drain, or the request may no longer start before a newer version is in force.
    let now = plan.clock.now();
    let is_in_time = plan.target.is_in_time(now, now - connecting_since);
    if now - plan.decided_at > MAX_DECISION_AGE || !is_in_time {
        return AttemptReply::Ended(AttemptOutcome::NotRun(NotRunReason::StaleDecision));
    }
    if !plan.permit.may_send().await {
        return AttemptReply::Ended(AttemptOutcome::NotRun(NotRunReason::StaleDecision));
    }
    let Some(outgoing) = outgoing_request(names, request, plan) else {
        return AttemptReply::Ended(AttemptOutcome::NotRun(NotRunReason::Unreachable));
    };
    plan.trace.record_send();
    let exchange = exchange(names, request, plan, &mut connection, outgoing);
    let outdated = async {
        match plan.start_deadline {
            Some(at) => plan.clock.sleep_until(at).await,
            None => pending().await,
        }
    };
    let reply = tokio::select! {
        reply = timeout_at(plan.give_up_at, exchange) => {
            reply.unwrap_or(Err(AttemptOutcome::Unknown(UnknownReason::Silent)))
        }
        () = outdated => Err(AttemptOutcome::Unknown(UnknownReason::Outdated)),
    };
    match reply {
        Ok(ExchangeReply::Whole(answer)) => AttemptReply::Whole(answer),
        Ok(ExchangeReply::Stream(stream)) => {
            let StartedStream { head, first, body, splitter } = *stream;
            AttemptReply::Stream(Box::new(OpenStream {
                status: head.status,
                headers: head.headers,
                first,
                body,
                splitter,
                _connection: connection,
            }))
        }
        Err(outcome) => AttemptReply::Ended(outcome),
    }
}

struct StartedStream {
    head: Parts,
    first: Bytes,
    body: ResponseBody,
    splitter: EventSplitter,
}

enum ExchangeReply {
    Whole(WholeAnswer),
    Stream(Box<StartedStream>),
}

async fn exchange(
    names: &HeaderNames,
    request: &CallerRequest,
    plan: &AttemptPlan<'_>,
    connection: &mut HttpConnection,
    outgoing: Request<Full<Bytes>>,
) -> Result<ExchangeReply, AttemptOutcome> {
    let response = connection.send(outgoing).await.map_err(|error| exchange_failure(&error))?;
    let (head, mut body) = response.into_parts();
    report_notices(names, request, plan, &head);
    check_head(names, request, plan, &head)?;
    // The parser skips what follows a 204 or 304, which have no body either, but not after a 205.
    let forbids_body = head.status == StatusCode::RESET_CONTENT;
    if !request.route.kind.is_stream() || !head.status.is_success() || forbids_body {
        let body = read_whole(body, plan.buffers.lease()).await?;
        if forbids_body && !body.is_empty() {
            return Err(AttemptOutcome::Unknown(UnknownReason::Malformed));
        }
        let answer = WholeAnswer { status: head.status, headers: head.headers, body };
        return Ok(ExchangeReply::Whole(answer));
    }
    let mut splitter = EventSplitter::resume(plan.last_event, plan.buffers.lease());
    loop {
        let frame = body.frame().await;
        let frame = frame.transpose().map_err(|_| AttemptOutcome::Unknown(UnknownReason::Reset))?;
        let Some(frame) = frame else {
            // The stream ended before its first event.
            return Err(AttemptOutcome::Unknown(UnknownReason::Reset));
        };
        let Ok(data) = frame.into_data() else { continue };
        let complete_events = splitter
            .push(&data)
            .map_err(|_exceeded| AttemptOutcome::Unknown(UnknownReason::Malformed))?;
        if let Some(first) = complete_events {
            let stream = StartedStream { head, first, body, splitter };
            return Ok(ExchangeReply::Stream(Box::new(stream)));
        }
    }
}

/// Reads a body to its end. Its memory stays leased until the body is dropped.
async fn read_whole(mut body: ResponseBody, lease: BufferLease) -> Result<Bytes, AttemptOutcome> {
    let mut whole = LeasedBuffer::new(lease, usize::MAX);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| AttemptOutcome::Unknown(UnknownReason::Reset))?;
        let Ok(data) = frame.into_data() else { continue };
        whole
            .append(&data)
            .map_err(|_exceeded| AttemptOutcome::Unknown(UnknownReason::Malformed))?;
    }
    Ok(whole.into_bytes())
}

fn exchange_failure(error: &HttpError) -> AttemptOutcome {
    match error {
        HttpError::Exchange { source, .. } if source.is_parse() => {
            AttemptOutcome::Unknown(UnknownReason::Malformed)
        }
        HttpError::Status { .. } => AttemptOutcome::Unknown(UnknownReason::Malformed),
        _ => AttemptOutcome::Unknown(UnknownReason::Reset),
    }
}

/// Checks whether an answer with this head may be forwarded; otherwise, returns the outcome of the
/// attempt that follows from the head.
fn check_head(
    names: &HeaderNames,
    request: &CallerRequest,
    plan: &AttemptPlan<'_>,
    head: &Parts,
) -> Result<(), AttemptOutcome> {
    let malformed = Err(AttemptOutcome::Unknown(UnknownReason::Malformed));
    let echoed = header_text(&head.headers, &names.request_id);
    if echoed.is_some_and(|id| id != request.request_id) {
        return malformed;
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        // If the answer states no version, another endpoint may have taken over the address.
        let served =
            header_text(&head.headers, &names.version).and_then(|text| text.trim().parse().ok());
        let other_version = plan
            .target
            .version
            .zip(served)
            .is_some_and(|(wanted, served): (u64, u64)| wanted != served);
        let reason =
            if other_version { NotRunReason::OtherVersion } else { NotRunReason::Misdirected };
        return Err(AttemptOutcome::NotRun(reason));
    }
    if head.headers.contains_key(&names.not_run) {
        return Err(AttemptOutcome::NotRun(NotRunReason::Full));
    }
    let sealed = head.headers.contains_key(&names.seal);
    if head.headers.contains_key(CONTENT_ENCODING) || !sealed && head.status.is_success() {
        return malformed;
    }
    match head.status {
        // Callers take these statuses to mean that the request did not run. An endpoint says so
        // with the `not_run` header, which is missing here.
        StatusCode::REQUEST_TIMEOUT
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE => Err(AttemptOutcome::Failed),
        _ => Ok(()),
    }
}

fn outgoing_request(
    names: &HeaderNames,
    request: &CallerRequest,
    plan: &AttemptPlan<'_>,
) -> Option<Request<Full<Bytes>>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.parse().ok()?;
    let headers = outgoing.headers_mut();
    *headers = end_to_end(&request.headers);
    for own in [&names.key, &names.team, &names.endpoint, &names.expect_version] {
        headers.remove(own);
    }
    let limit = (request.profile.deadline - plan.clock.now()).as_millis().to_string();
    headers.insert(names.time_limit.clone(), limit.parse().ok()?);
    headers.insert(names.endpoint.clone(), plan.target.id.as_str().parse().ok()?);
    if let Some(team) = &request.team {
        headers.insert(names.team.clone(), HeaderValue::from_bytes(team.as_bytes()).ok()?);
    }
    if let Some(version) = plan.target.version {
        headers.insert(names.expect_version.clone(), HeaderValue::from(version));
    }
    if let Some(last) = plan.last_event {
        headers.insert(names.last_event.clone(), HeaderValue::from(last));
    }
    Some(outgoing)
}

/// The headers without those that apply to one connection only.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let listed = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let listed: Vec<HeaderName> = listed
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut kept = headers.clone();
    for name in CONNECTION_HEADERS.iter().chain(&listed) {
        kept.remove(name);
    }
    kept
}
