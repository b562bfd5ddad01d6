//! Sends a caller's request to endpoints until one answers or no further attempt is allowed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::MonoTime;
use celeryshed_dispatch::{
    AttemptHistory, AttemptOutcome, EndpointId, NotRunReason, RefusalReason, RetryVerdict,
    UnknownReason, retry_after,
};
use celeryshed_http::RequestBody;
use celeryshed_observe::EventLine;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, StatusCode};
use tokio::select;
use tokio::time::{Instant, sleep_until};

use crate::context::{GatewayContext, ShutdownPhase};
use crate::dispatcher_task::{PlacementKind, PlacementPermit, PlacementVerdict};
use crate::request::attempt::{OpenStream, WholeAnswer, end_to_end};
use crate::request::body::GatewayBody;
use crate::request::failover::{FailoverObstacle, log_attempt, place_failover};
use crate::request::parse::{CallerRequest, read_request};
use crate::request::placed::{AttemptEnd, AttemptScope, PlacedRequest};
use crate::request::relay::StreamRelay;
use crate::request::replies::OwnReply;
use crate::request::running::RunningAttempts;

/// Shortest time without a first event after which a retryable request is also sent elsewhere.
const MIN_EVENT_WAIT: Duration = Duration::from_millis(1000);
/// Shortest time without a complete answer after which a retryable request is also sent elsewhere.
const MIN_ANSWER_WAIT: Duration = Duration::from_millis(250);
/// Retry-After of requests that are refused during a shutdown; the caller then connects to another
/// entry.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Time after which a retryable request is also sent elsewhere, in multiples of the expected answer
/// time.
const EXPECTED_TIME_FACTOR: u32 = 4;
/// Fraction of the time until the deadline after which a retryable request is also sent elsewhere,
/// although a longer time is expected.
const MAX_WAIT_REMAINING_FRACTION: f64 = 0.5;

/// Answers one request of a caller.
pub(crate) async fn handle_request(
    context: Arc<GatewayContext>,
    request: Request<RequestBody>,
) -> Response<GatewayBody> {
    let arrived_at = context.clock.now();
    if *context.shutdown_phase.borrow() == ShutdownPhase::Refusing {
        EventLine::new("request_refused").field("reason", "leaving").info();
        let reply = OwnReply::NotRun { retry_after: SHUTDOWN_RETRY_AFTER };
        return close_on_shutdown(&context, reply.response());
    }
    let snapshot = context.snapshot.borrow().clone();
    let Some(snapshot) = snapshot else {
        return close_on_shutdown(&context, OwnReply::NotConfigured.response());
    };
    let read = read_request(&context, &snapshot, arrived_at, request).await;
    let response = match read {
        Ok(request) => {
            let due_at = Instant::now() + (request.profile.deadline - context.clock.now());
            RequestHandler {
                context: context.clone(),
                revision: snapshot.revision.0,
                due_at,
                request: Arc::new(request),
                history: AttemptHistory::default(),
                tried: BTreeSet::new(),
                server_error: None,
                placement: None,
                is_trial: false,
            }
            .run()
            .await
        }
        Err(reply @ OwnReply::NoBodyMemory { retry_after }) => {
            let reason = RefusalReason::BodyMemory.name();
            EventLine::new("request_refused")
                .field("reason", reason)
                .field("retry_after_ms", retry_after.as_millis())
                .field("revision", snapshot.revision)
                .info();
            metrics::counter!("celeryshed_requests_refused_total", "reason" => reason).increment(1);
            reply.response()
        }
        Err(reply) => {
            EventLine::new("request_denied")
                .field("status", reply.status().as_u16())
                .field("reason", format_args!("{reply:?}"))
                .field("revision", snapshot.revision)
                .info();
            metrics::counter!("celeryshed_requests_denied_total").increment(1);
            reply.response()
        }
    };
    close_on_shutdown(&context, response)
}

fn close_on_shutdown(
    context: &GatewayContext,
    mut response: Response<GatewayBody>,
) -> Response<GatewayBody> {
    if *context.shutdown_phase.borrow() != ShutdownPhase::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

struct RequestHandler {
    context: Arc<GatewayContext>,
    revision: u64,
    due_at: Instant,
    request: Arc<CallerRequest>,
    history: AttemptHistory,
    tried: BTreeSet<EndpointId>,
    /// The last 5xx answer of an endpoint, which is forwarded if no later attempt succeeds.
    server_error: Option<WholeAnswer>,
    /// Times of the last placement; none before the first one.
    placement: Option<PlacementTimes>,
    /// Whether the request is let through to find out whether its blocked part still crashes
    /// endpoints.
    is_trial: bool,
}

/// When a request was placed on an endpoint, and the answer time expected there.
#[derive(Clone, Copy, Debug)]
struct PlacementTimes {
    at: MonoTime,
    expected: Duration,
}

impl RequestHandler {
    async fn run(mut self) -> Response<GatewayBody> {
        if self.context.dispatcher.is_quarantined(self.request.fingerprint).await {
            return self.refuse_own(RefusalReason::CrashesEndpoints);
        }
        loop {
            if self.is_blocked().await {
                return self.refuse_own(RefusalReason::CrashesEndpoints);
            }
            let profile = self.request.profile.clone();
            let dispatcher = &self.context.dispatcher;
            let verdict =
                dispatcher.place(profile, self.tried.clone(), PlacementKind::Queued).await;
            let placed = match verdict {
                PlacementVerdict::Placed { target, expected, permit } => {
                    PlacedRequest { target: *target, expected, permit }
                }
                PlacementVerdict::Refused { reason, retry_after } => {
                    return self.refuse(reason, retry_after);
                }
            };
            // The part may have been blocked while the request waited for its endpoint.
            if !self.is_trial && self.context.has_blocked(&self.request.parts) {
                placed.permit.finish(AttemptOutcome::Abandoned);
                return self.refuse_own(RefusalReason::CrashesEndpoints);
            }
            let (endpoint, end) = self.attempt(placed).await;
            let outcome = match end {
                AttemptEnd::Answered(answer) => {
                    self.log_answered(Some(&endpoint), answer.status);
                    return whole_response(answer);
                }
                AttemptEnd::Stream(stream, permit) => {
                    return self.stream(endpoint, *stream, permit);
                }
                AttemptEnd::ServerError(answer) => {
                    self.server_error = Some(answer);
                    AttemptOutcome::Failed
                }
                AttemptEnd::Ended(outcome) => outcome,
            };
            let verdict = self.record_end(&endpoint, outcome).await;
            // An attempt is given up as silent only at the deadline.
            let is_due = outcome == AttemptOutcome::Unknown(UnknownReason::Silent);
            if is_due || !self.may_retry(verdict).await {
                return self.give_up(outcome);
            }
        }
    }

    /// Whether a part of the request is blocked, and the request is no trial of it.
    async fn is_blocked(&mut self) -> bool {
        if !self.context.has_blocked(&self.request.parts) {
            return false;
        }
        if self.is_trial {
            return self.history.may_have_run > 0;
        }
        let refused = self.context.dispatcher.refuses_parts(&self.request.parts).await;
        self.is_trial = !refused;
        refused
    }

    /// Runs an attempt. While its endpoint is silent and the request may be sent again, further
    /// endpoints get the request as well; whichever answers first keeps it.
    async fn attempt(&mut self, placed: PlacedRequest) -> (EndpointId, AttemptEnd) {
        let mut patience = self.patience(placed.expected);
        let mut running = RunningAttempts::new();
        self.start(&mut running, placed);
        let mut silent_at = Instant::now() + patience;
        let mut may_retry = true;
        loop {
            let may_add = may_retry && self.may_fail_over(running.len());
            let ended = select! {
                biased;
                ended = running.next_end() => Some(ended),
                () = sleep_until(silent_at), if may_add => None,
            };
            if let Some((endpoint, end)) = ended {
                let Some(outcome) = end.failure() else {
                    self.record_withdrawals(&running);
                    return (endpoint, end);
                };
                if running.is_empty() {
                    return (endpoint, end);
                }
                self.keep_server_error(end);
                let verdict = self.record_end(&endpoint, outcome).await;
                FailoverObstacle::Attempt(outcome).report(&self.request, &endpoint);
                may_retry &= matches!(verdict, RetryVerdict::SendAgain { .. });
                if !matches!(outcome, AttemptOutcome::NotRun(_)) || !may_retry {
                    continue;
                }
            } else {
                running.report_silence();
            }
            patience *= 2;
            match self.place_beside(running.endpoints().cloned().collect()).await {
                Ok(placed) => {
                    patience = patience.max(self.patience(placed.expected));
                    self.start(&mut running, placed);
                }
                Err(obstacle) => {
                    if let Some(endpoint) = running.endpoints().next() {
                        obstacle.report(&self.request, endpoint);
                    }
                }
            }
            silent_at = Instant::now() + patience;
        }
    }

    /// Reserves a slot at an endpoint other than those that are `running` the request.
    async fn place_beside(
        &self,
        running: Vec<EndpointId>,
    ) -> Result<PlacedRequest, FailoverObstacle> {
        let (count, mut tried) = (running.len(), self.tried.clone());
        tried.extend(running);
        let kind = PlacementKind::Duplicate;
        let placed = place_failover(&self.context, &self.request, tried, kind, true).await?;
        EventLine::new("attempt_added")
            .field("id", &self.request.request_id)
            .field("endpoint", &placed.target.id)
            .field("running", count)
            .info();
        Ok(placed)
    }

    fn start(&mut self, running: &mut RunningAttempts<'_, AttemptEnd>, placed: PlacedRequest) {
        let (at, expected) = (self.context.clock.now(), placed.expected);
        self.placement = Some(PlacementTimes { at, expected });
        let (endpoint, silence) = (placed.target.id.clone(), placed.permit.silence_reporter());
        let attempt = placed.run(AttemptScope {
            context: self.context.clone(),
            request: self.request.clone(),
            due_at: self.due_at,
            is_trial: self.is_trial,
        });
        running.push(endpoint, silence, attempt);
    }

    /// Whether another endpoint may get the request while `running` endpoints have it.
    fn may_fail_over(&self, running: u32) -> bool {
        let route = &self.request.route;
        route.kind.is_retryable()
            && !self.is_trial
            && self.history.may_have_run + running < route.max_attempts
    }

    /// How long an endpoint may be silent before another one gets the request as well.
    fn patience(&self, expected: Duration) -> Duration {
        let is_stream = self.request.route.kind.is_stream();
        let min_wait = if is_stream { MIN_EVENT_WAIT } else { MIN_ANSWER_WAIT };
        let remaining = self.due_at.saturating_duration_since(Instant::now());
        let max_wait = remaining.mul_f64(MAX_WAIT_REMAINING_FRACTION);
        min_wait.max(max_wait.min(expected * EXPECTED_TIME_FACTOR))
    }

    /// Records an attempt that ended without an answer that can be forwarded.
    async fn record_end(&mut self, endpoint: &EndpointId, outcome: AttemptOutcome) -> RetryVerdict {
        if outcome == AttemptOutcome::Unknown(UnknownReason::Reset) {
            let (request, parts) = (self.request.fingerprint, self.request.parts.clone());
            self.context.dispatcher.report_reset(endpoint, request, parts).await;
        }
        let route = &self.request.route;
        let verdict = self.history.record(route.kind, route.max_attempts, outcome);
        log_attempt(&self.request, endpoint, outcome, verdict);
        if outcome != AttemptOutcome::NotRun(NotRunReason::StaleDecision) {
            self.tried.insert(endpoint.clone());
        }
        verdict
    }

    /// Records the attempts that are withdrawn because another endpoint has answered.
    fn record_withdrawals(&mut self, running: &RunningAttempts<'_, AttemptEnd>) {
        let route = &self.request.route;
        for endpoint in running.endpoints() {
            self.history.record(route.kind, route.max_attempts, AttemptOutcome::Abandoned);
            self.tried.insert(endpoint.clone());
        }
    }

    fn keep_server_error(&mut self, end: AttemptEnd) {
        if let AttemptEnd::ServerError(answer) = end {
            self.server_error = Some(answer);
        }
    }

    async fn may_retry(&self, verdict: RetryVerdict) -> bool {
        match verdict {
            RetryVerdict::SendAgain { counted: false } => true,
            RetryVerdict::SendAgain { counted: true } => {
                self.context.dispatcher.try_retry(&self.request.profile.service).await
            }
            RetryVerdict::RefuseNotRun | RetryVerdict::FailMayHaveRun => false,
        }
    }

    fn give_up(self, outcome: AttemptOutcome) -> Response<GatewayBody> {
        match self.history.final_verdict() {
            RetryVerdict::RefuseNotRun => self.refuse_own(RefusalReason::RetryBudget),
            _ => self.fail(outcome),
        }
    }

    /// Refuses the request for a reason that the dispatcher doesn't know.
    fn refuse_own(self, reason: RefusalReason) -> Response<GatewayBody> {
        let remaining = self.request.profile.deadline - self.context.clock.now();
        let delay = retry_after(reason, remaining, rand::random());
        self.refuse(reason, delay)
    }

    fn refuse(self, reason: RefusalReason, retry_after: Duration) -> Response<GatewayBody> {
        if self.history.may_have_run > 0 {
            return self.fail(AttemptOutcome::Unknown(UnknownReason::Reset));
        }
        EventLine::new("request_refused")
            .field("id", &self.request.request_id)
            .field("reason", reason.name())
            .field(
                "waited_ms",
                (self.context.clock.now() - self.request.profile.arrived_at).as_millis(),
            )
            .field("returning", self.request.profile.caller_retry)
            .field("retry_after_ms", retry_after.as_millis())
            .field("sends", self.history.not_run)
            .field("revision", self.revision)
            .info();
        metrics::counter!("celeryshed_requests_refused_total", "reason" => reason.name())
            .increment(1);
        OwnReply::NotRun { retry_after }.response()
    }

    fn fail(mut self, outcome: AttemptOutcome) -> Response<GatewayBody> {
        if let Some(answer) =
            self.server_error.take().filter(|answer| is_forwardable(answer.status))
        {
            self.log_answered(None, answer.status);
            return whole_response(answer);
        }
        let timed_out = outcome == AttemptOutcome::Unknown(UnknownReason::Silent);
        let reply = if timed_out { OwnReply::TimedOut } else { OwnReply::MayHaveRun };
        self.log_answered(None, reply.status());
        reply.response()
    }

    fn stream(
        self,
        endpoint: EndpointId,
        stream: OpenStream,
        permit: PlacementPermit,
    ) -> Response<GatewayBody> {
        self.log_answered(Some(&endpoint), stream.status);
        let version = stream
            .headers
            .get(&self.context.headers.version)
            .and_then(|version| version.to_str().ok()?.trim().parse().ok());
        let (events, body) = GatewayBody::events();
        let mut response = Response::new(body);
        *response.status_mut() = stream.status;
        *response.headers_mut() = end_to_end(&stream.headers);
        let mut request = Arc::unwrap_or_clone(self.request);
        request.profile.version = version;
        if !request.route.kind.is_retryable() {
            request.body = Bytes::new();
        }
        let begun_at = self.context.clock.now();
        let relay = StreamRelay {
            context: self.context,
            begun_at,
            request,
            stream: Box::new(stream),
            permit,
            endpoint,
            history: self.history,
            tried: self.tried,
            due_at: self.due_at,
        };
        tokio::spawn(relay.run(events));
        response
    }

    fn log_answered(&self, endpoint: Option<&EndpointId>, status: StatusCode) {
        let arrived_at = self.request.profile.arrived_at;
        let elapsed = self.context.clock.now() - arrived_at;
        let waited = self.placement.map_or(elapsed, |placement| placement.at - arrived_at);
        let expected = self.placement.map_or(Duration::ZERO, |placement| placement.expected);
        EventLine::new("request_answered")
            .field("id", &self.request.request_id)
            .field("route", &self.request.route.name)
            .field("status", status.as_u16())
            .field("endpoint", endpoint.map_or("-", EndpointId::as_str))
            .field("elapsed_ms", elapsed.as_millis())
            .field("waited_ms", waited.as_millis())
            .field("expected_ms", expected.as_millis())
            .field("returning", self.request.profile.caller_retry)
            .field("attempts", self.tried.len() + 1)
            .field("revision", self.revision)
            .info();
        metrics::counter!("celeryshed_requests_total", "status" => status.as_str().to_owned())
            .increment(1);
        metrics::histogram!("celeryshed_answer_seconds").record(elapsed.as_secs_f64());
    }
}

/// Whether a 5xx answer may be forwarded. Callers take status 503 to mean that the request did not
/// run, which isn't known here.
fn is_forwardable(status: StatusCode) -> bool {
    status != StatusCode::SERVICE_UNAVAILABLE
}

fn whole_response(answer: WholeAnswer) -> Response<GatewayBody> {
    let mut response = Response::new(GatewayBody::whole(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = end_to_end(&answer.headers);
    response
}
