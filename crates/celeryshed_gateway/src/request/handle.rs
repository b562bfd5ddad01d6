//! Sends a caller's request to endpoints until one answers or no further attempt is allowed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::MonoTime;
use celeryshed_dispatch::{
    AttemptHistory, AttemptOutcome, EndpointId, EndpointTarget, NotRunReason, RefusalReason,
    RetryVerdict, UnknownReason, retry_after,
};
use celeryshed_http::RequestBody;
use celeryshed_observe::EventLine;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, StatusCode};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::context::{GatewayContext, ShutdownPhase};
use crate::dispatcher_task::{PlacementPermit, PlacementVerdict};
use crate::request::attempt::{
    AttemptPlan, AttemptReply, OpenStream, WholeAnswer, end_to_end, is_framed, send_attempt,
};
use crate::request::body::GatewayBody;
use crate::request::parse::{CallerRequest, read_request};
use crate::request::relay::{EVENT_BUFFER_LEN, StreamRelay};
use crate::request::replies::OwnReply;

/// Shortest time that an endpoint gets for a first event before a retryable request is sent
/// elsewhere.
const MIN_EVENT_WAIT: Duration = Duration::from_millis(1000);
/// Shortest time that an endpoint gets for a complete answer before a retryable request is sent
/// elsewhere.
const MIN_ANSWER_WAIT: Duration = Duration::from_millis(250);
/// Retry-After of requests that are refused during a shutdown; the caller then connects to another
/// entry.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Time that an endpoint gets, in multiples of the expected answer time.
const EXPECTED_TIME_FACTOR: u32 = 4;

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
    let read = read_request(&context.headers, &snapshot, arrived_at, request).await;
    let response = match read {
        Ok(request) => {
            let due_at = Instant::now() + (request.profile.deadline - context.clock.now());
            RequestHandler {
                context: context.clone(),
                revision: snapshot.revision.0,
                due_at,
                request,
                history: AttemptHistory::default(),
                tried: BTreeSet::new(),
                server_error: None,
                placement: None,
                is_trial: false,
            }
            .run()
            .await
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
    request: CallerRequest,
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
            let verdict = self.context.dispatcher.place(profile, self.tried.clone()).await;
            let (target, expected, permit) = match verdict {
                PlacementVerdict::Placed { target, expected, permit } => {
                    self.placement =
                        Some(PlacementTimes { at: self.context.clock.now(), expected });
                    (target, expected, permit)
                }
                PlacementVerdict::Refused { reason, retry_after } => {
                    return self.refuse(reason, retry_after);
                }
            };
            // The part may have been blocked while the request waited for its endpoint.
            if !self.is_trial && self.context.has_blocked(&self.request.parts) {
                permit.finish(AttemptOutcome::Abandoned);
                return self.refuse_own(RefusalReason::CrashesEndpoints);
            }
            let outcome = match self.attempt(&target, expected, permit).await {
                AttemptEnd::Answered(response) => return response,
                AttemptEnd::Stream(stream, permit) => return self.stream(target, *stream, permit),
                AttemptEnd::Ended(outcome) => outcome,
            };
            if outcome == AttemptOutcome::Unknown(UnknownReason::Reset) {
                let (request, parts) = (self.request.fingerprint, self.request.parts.clone());
                self.context.dispatcher.report_reset(&target.id, request, parts).await;
            }
            let route = &self.request.route;
            let verdict = self.history.record(route.kind, route.max_attempts, outcome);
            self.log_attempt(&target, outcome, verdict);
            if outcome != AttemptOutcome::NotRun(NotRunReason::StaleDecision) {
                self.tried.insert(target.id);
            }
            if !self.may_retry(verdict).await {
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

    async fn attempt(
        &mut self,
        target: &EndpointTarget,
        expected: Duration,
        mut permit: PlacementPermit,
    ) -> AttemptEnd {
        let sent_at = Instant::now();
        let started_at = self.context.clock.now();
        let plan = AttemptPlan {
            target,
            clock: self.context.clock,
            decided_at: self.context.clock.now(),
            give_up_at: self.give_up_at(sent_at, expected),
            start_deadline: target.start_deadline,
            send_deadline: target.send_deadline,
            last_event: self.request.last_event,
            buffers: &self.context.buffers,
            permit: &permit,
        };
        let sending = send_attempt(&self.context.headers, &self.request, &plan);
        let reply = tokio::select! {
            reply = sending => reply,
            // Withdraws the request before the endpoint begins to answer.
            () = self.context.wait_blocked(&self.request.parts), if !self.is_trial => {
                AttemptReply::Ended(AttemptOutcome::Unknown(UnknownReason::Withdrawn))
            }
        };
        match reply {
            AttemptReply::Whole(answer) => {
                permit.answered(expected, sent_at.elapsed());
                if answer.status.is_server_error() {
                    permit.finish(AttemptOutcome::Failed);
                    self.server_error = Some(answer);
                    return AttemptEnd::Ended(AttemptOutcome::Failed);
                }
                permit.finish(AttemptOutcome::Served);
                if is_framed(&answer.headers) {
                    self.context.dispatcher.report_served(self.request.fingerprint);
                    // An endpoint may reject a request without working on its prompt.
                    if answer.status.is_success() {
                        let parts = &self.request.parts;
                        self.context.dispatcher.report_parts_answered(parts, started_at);
                    }
                }
                self.log_answered(Some(target), answer.status);
                AttemptEnd::Answered(whole_response(answer))
            }
            AttemptReply::Stream(stream) => {
                permit.answered(expected, sent_at.elapsed());
                AttemptEnd::Stream(stream, permit)
            }
            AttemptReply::Ended(outcome) => {
                permit.finish(outcome);
                AttemptEnd::Ended(outcome)
            }
        }
    }

    /// When to stop waiting for an endpoint. A request that may be sent again doesn't wait until
    /// its deadline, so that another endpoint has time to answer.
    fn give_up_at(&self, sent_at: Instant, expected: Duration) -> Instant {
        let route = &self.request.route;
        if !route.kind.is_retryable() || self.history.may_have_run + 1 >= route.max_attempts {
            return self.due_at;
        }
        let min_wait = if route.kind.is_stream() { MIN_EVENT_WAIT } else { MIN_ANSWER_WAIT };
        self.due_at.min(sent_at + min_wait.max(expected * EXPECTED_TIME_FACTOR))
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
        target: EndpointTarget,
        stream: OpenStream,
        permit: PlacementPermit,
    ) -> Response<GatewayBody> {
        self.log_answered(Some(&target), stream.status);
        let version = stream
            .headers
            .get(&self.context.headers.version)
            .and_then(|version| version.to_str().ok()?.trim().parse().ok());
        let (events, body) = mpsc::channel(EVENT_BUFFER_LEN);
        let mut response = Response::new(GatewayBody::Events(body));
        *response.status_mut() = stream.status;
        *response.headers_mut() = end_to_end(&stream.headers);
        let mut request = self.request;
        request.profile.version = version;
        let begun_at = self.context.clock.now();
        let relay = StreamRelay {
            context: self.context,
            begun_at,
            request,
            stream: Box::new(stream),
            permit,
            endpoint: target.id,
            history: self.history,
            tried: self.tried,
            due_at: self.due_at,
        };
        tokio::spawn(relay.run(events));
        response
    }

    fn log_attempt(&self, target: &EndpointTarget, outcome: AttemptOutcome, verdict: RetryVerdict) {
        EventLine::new("attempt_ended")
            .field("id", &self.request.request_id)
            .field("endpoint", &target.id)
            .field("outcome", format_args!("{outcome:?}"))
            .field("verdict", format_args!("{verdict:?}"))
            .info();
        metrics::counter!("celeryshed_attempts_failed_total").increment(1);
    }

    fn log_answered(&self, target: Option<&EndpointTarget>, status: StatusCode) {
        let arrived_at = self.request.profile.arrived_at;
        let elapsed = self.context.clock.now() - arrived_at;
        let waited = self.placement.map_or(elapsed, |placement| placement.at - arrived_at);
        let expected = self.placement.map_or(Duration::ZERO, |placement| placement.expected);
        EventLine::new("request_answered")
            .field("id", &self.request.request_id)
            .field("route", &self.request.route.name)
            .field("status", status.as_u16())
            .field("endpoint", target.map_or("-", |target| target.id.as_str()))
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

enum AttemptEnd {
    Answered(Response<GatewayBody>),
    Stream(Box<OpenStream>, PlacementPermit),
    Ended(AttemptOutcome),
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
