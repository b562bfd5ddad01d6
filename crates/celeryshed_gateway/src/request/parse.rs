//! Reads and checks a caller's request.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{MonoTime, ServiceName};
use celeryshed_dispatch::{
    PromptPart, RefusalReason, RequestFingerprint, RequestProfile, RouteRule, RoutingSnapshot,
    is_caller_retry, retry_after, shared_parts,
};
use celeryshed_http::RequestBody;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request};
use tokio::time::timeout;

use crate::context::GatewayContext;
use crate::names::HeaderNames;
use crate::request::received_body::{BodyFailure, receive_body};
use crate::request::replies::OwnReply;

/// Limit for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between the latest answer and the end of the caller's time limit.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// A completely received request that a route of the configuration allows.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) request_id: String,
    pub(crate) route: RouteRule,
    pub(crate) team: Option<String>,
    pub(crate) last_event: Option<u64>,
    pub(crate) fingerprint: RequestFingerprint,
    /// Parts of the prompt that other requests may share.
    pub(crate) parts: Arc<[PromptPart]>,
    pub(crate) profile: RequestProfile,
}

/// Receives a request, and finds its route and service.
pub(crate) async fn read_request(
    context: &GatewayContext,
    snapshot: &RoutingSnapshot,
    arrived_at: MonoTime,
    request: Request<RequestBody>,
) -> Result<CallerRequest, OwnReply> {
    let names = &context.headers;
    let (head, body) = request.into_parts();
    let host = host_of(&head).ok_or(OwnReply::Malformed)?;
    let key = header_text(&head.headers, &names.key);
    let grant = snapshot.authorize(&host, head.uri.path(), key).map_err(|denial| match denial {
        celeryshed_dispatch::RouteDenial::NoRoute => OwnReply::NoRoute,
        celeryshed_dispatch::RouteDenial::UnknownKey => OwnReply::UnknownKey,
        celeryshed_dispatch::RouteDenial::Unreadable => OwnReply::Unreadable,
    })?;
    let route = grant.route.clone();
    let team = grant.team.cloned();
    let service = route.pick_service(rand::random()).cloned().ok_or(OwnReply::Unreadable)?;
    let rank = team.as_ref().and_then(|team| team.rank).unwrap_or(route.rank);
    let profile = profile(names, &head.headers, &route, service, rank, arrived_at);
    let received = receive_body(body, snapshot.limits.max_body_bytes, &context.bodies);
    let body = match timeout(BODY_TIMEOUT, received).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyFailure::TooLarge)) => return Err(OwnReply::BodyTooLarge),
        Ok(Err(BodyFailure::Malformed)) => return Err(OwnReply::Malformed),
        Ok(Err(BodyFailure::MemoryExceeded)) => {
            let remaining = profile.deadline - context.clock.now();
            let retry_after = retry_after(RefusalReason::BodyMemory, remaining, rand::random());
            return Err(OwnReply::NoBodyMemory { retry_after });
        }
        Err(_elapsed) => return Err(OwnReply::BodyTimeout),
    };
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
    let team_name = team.as_ref().map(|team| team.name.to_string());
    Ok(CallerRequest {
        request_id: header_text(&head.headers, &names.request_id).unwrap_or_default().to_owned(),
        last_event: header_text(&head.headers, &names.last_event)
            .and_then(|id| id.trim().parse().ok()),
        fingerprint: RequestFingerprint::of(&target, team_name.as_deref().unwrap_or(""), &body),
        parts: header_text(&head.headers, &names.prompt_parts)
            .map_or_else(Vec::new, shared_parts)
            .into(),
        method: head.method,
        target,
        headers: head.headers,
        body,
        route,
        team: team_name,
        profile,
    })
}

fn profile(
    names: &HeaderNames,
    headers: &HeaderMap,
    route: &RouteRule,
    service: ServiceName,
    rank: u8,
    arrived_at: MonoTime,
) -> RequestProfile {
    let limit = header_text(headers, &names.time_limit)
        .and_then(|limit| limit.trim().parse().ok())
        .map(Duration::from_millis);
    let answer_timeout =
        limit.map_or(route.timeout, |limit| route.timeout.min(limit.saturating_sub(ANSWER_MARGIN)));
    let caller_retry = is_caller_retry(limit, route.timeout);
    let prompt_tokens = header_text(headers, &names.tokens)
        .and_then(|tokens| tokens.split(',').next()?.trim().parse().ok());
    RequestProfile {
        service,
        kind: route.kind,
        model: header_text(headers, &names.model).map(str::to_owned),
        prompt_tokens: prompt_tokens.unwrap_or(0),
        answer_tokens: header_text(headers, &names.length_hint)
            .and_then(|hint| hint.trim().parse().ok()),
        arrived_at,
        deadline: arrived_at + answer_timeout,
        target_latency: route.target_latency,
        rank,
        caller_retry,
        version: None,
    }
}

fn host_of(head: &Parts) -> Option<String> {
    let authority = head.uri.authority().map(|authority| authority.as_str());
    authority.or_else(|| header_text(&head.headers, &HOST)).map(str::to_owned)
}

/// The value of a header; none if the header is missing, occurs twice or isn't visible ASCII.
pub(crate) fn header_text<'h>(
    headers: &'h HeaderMap,
    name: &hyper::header::HeaderName,
) -> Option<&'h str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok()
}
