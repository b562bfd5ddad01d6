//! Serves one request.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::MonoTime;
use celeryshed_dispatch::{
    AttemptHistory, AttemptOutcome, EndpointId, EndpointTarget, RefusalReason, RetryVerdict,
    UnknownReason, retry_after,
};
use celeryshed_observe::EventLine;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, StatusCode};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::context::{GatewayContext, LeavingPhase};
use crate::dispatcher_task::{PlacementPermit, PlacementVerdict};
use crate::request::attempt::{
    AttemptPlan, AttemptReply, OpenStream, WholeAnswer, end_to_end, send_attempt,
};
use crate::request::body::GatewayBody;
use crate::request::parse::{CallerRequest, read_request};
use crate::request::relay::{EVENT_BUFFER, StreamRelay};
use crate::request::replies::OwnReply;

/// Least time that an endpoint gets for a first event before a repeatable request goes elsewhere.
const STREAM_PATIENCE: Duration = Duration::from_millis(1000);
/// The same for a whole answer.
const PLAIN_PATIENCE: Duration = Duration::from_millis(250);
/// When a caller that a leaving entry refuses should come back, to another entry.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Patience in multiples of the expected time.
const PATIENCE_FACTOR: u32 = 4;

/// Serves one request of a caller.
pub(crate) async fn handle_request(
    context: Arc<GatewayContext>,
    request: Request<Incoming>,
) -> Response<GatewayBody> {
    let arrived_at = context.clock.now();
    if *context.leaving.borrow() == LeavingPhase::Refusing {
        EventLine::new("request_refused").field("reason", "leaving").info();
        let reply = OwnReply::NotRun { retry_after: LEAVING_RETRY_AFTER };
        return finish(&context, reply.response());
    }
    let snapshot = context.snapshot.borrow().clone();
    let Some(snapshot) = snapshot else {
        return finish(&context, OwnReply::NotConfigured.response());
    };
    let read = read_request(&context.headers, &snapshot, arrived_at, request).await;
    let response = match read {
        Ok(request) => {
            let due_at = Instant::now() + (request.profile.deadline - context.clock.now());
            RequestRun {
                context: context.clone(),
                revision: snapshot.revision.0,
                due_at,
                request,
                history: AttemptHistory::default(),
                tried: BTreeSet::new(),
                failed: None,
                placed: None,
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
    finish(&context, response)
}

fn finish(context: &GatewayContext, mut response: Response<GatewayBody>) -> Response<GatewayBody> {
    if *context.leaving.borrow() != LeavingPhase::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

struct RequestRun {
    context: Arc<GatewayContext>,
    revision: u64,
    due_at: Instant,
    request: CallerRequest,
    history: AttemptHistory,
    tried: BTreeSet<EndpointId>,
    /// An endpoint's own failure, which is passed on if nothing better follows.
    failed: Option<WholeAnswer>,
    /// The last placement.
    placed: Option<PlacementTimes>,
}

/// When a request was placed, and what was expected of the endpoint.
#[derive(Clone, Copy, Debug)]
struct PlacementTimes {
    at: MonoTime,
    expected: Duration,
}

impl RequestRun {
    async fn run(mut self) -> Response<GatewayBody> {
        if self.context.dispatcher.is_quarantined(self.request.fingerprint).await {
            return self.refuse(RefusalReason::CrashesEndpoints, retry_after(rand::random()));
        }
        loop {
            let profile = self.request.profile.clone();
            let verdict = self.context.dispatcher.place(profile, self.tried.clone()).await;
            let (target, expected, permit) = match verdict {
                PlacementVerdict::Placed { target, expected, permit } => {
                    self.placed = Some(PlacementTimes { at: self.context.clock.now(), expected });
                    (target, expected, permit)
                }
                PlacementVerdict::Refused { reason, retry_after } => {
                    return self.refuse(reason, retry_after);
                }
            };
            let outcome = match self.attempt(&target, expected, permit).await {
                AttemptEnd::Answered(response) => return response,
                AttemptEnd::Stream(stream, permit) => return self.stream(target, *stream, permit),
                AttemptEnd::Ended(outcome) => outcome,
            };
            if outcome == AttemptOutcome::Unknown(UnknownReason::Reset) {
                self.context.dispatcher.broken(&target.id, self.request.fingerprint);
            }
            let route = &self.request.route;
            let verdict = self.history.record(route.kind, route.max_attempts, outcome);
            self.log_attempt(&target, outcome, verdict);
            self.tried.insert(target.id);
            if !self.may_repeat(verdict).await {
                return self.give_up(outcome);
            }
        }
    }

    async fn attempt(
        &mut self,
        target: &EndpointTarget,
        expected: Duration,
        mut permit: PlacementPermit,
    ) -> AttemptEnd {
        let sent_at = Instant::now();
        let plan = AttemptPlan {
            target,
            time_limit: self.due_at - sent_at,
            give_up_at: self.give_up_at(sent_at, expected),
            withdraw_at: self.context.withdraw_at(target),
            last_event: self.request.last_event,
        };
        match send_attempt(&self.context.headers, &self.request, &plan).await {
            AttemptReply::Whole(answer) => {
                permit.answered(expected, sent_at.elapsed());
                if answer.status.is_server_error() {
                    permit.finish(AttemptOutcome::Failed);
                    self.failed = Some(answer);
                    return AttemptEnd::Ended(AttemptOutcome::Failed);
                }
                permit.finish(AttemptOutcome::Served);
                self.context.dispatcher.served(self.request.fingerprint);
                self.log_done(Some(target), answer.status);
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

    /// A repeatable request leaves a silent endpoint while another one may still answer in time.
    fn give_up_at(&self, sent_at: Instant, expected: Duration) -> Instant {
        let route = &self.request.route;
        if !route.kind.is_retryable() || self.history.may_have_run + 1 >= route.max_attempts {
            return self.due_at;
        }
        let least = if route.kind.is_stream() { STREAM_PATIENCE } else { PLAIN_PATIENCE };
        self.due_at.min(sent_at + least.max(expected * PATIENCE_FACTOR))
    }

    async fn may_repeat(&self, verdict: RetryVerdict) -> bool {
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
            RetryVerdict::RefuseNotRun => {
                self.refuse(RefusalReason::RetryBudget, retry_after(rand::random()))
            }
            _ => self.fail(outcome),
        }
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
        if let Some(answer) = self.failed.take().filter(|answer| is_own_failure(answer.status)) {
            self.log_done(None, answer.status);
            return whole_response(answer);
        }
        let timed_out = outcome == AttemptOutcome::Unknown(UnknownReason::Silent);
        let reply = if timed_out { OwnReply::TimedOut } else { OwnReply::MayHaveRun };
        self.log_done(None, reply.status());
        reply.response()
    }

    fn stream(
        self,
        target: EndpointTarget,
        stream: OpenStream,
        permit: PlacementPermit,
    ) -> Response<GatewayBody> {
        self.log_done(Some(&target), stream.status);
        let version = stream
            .headers
            .get(&self.context.headers.version)
            .and_then(|version| version.to_str().ok()?.trim().parse().ok());
        let (events, body) = mpsc::channel(EVENT_BUFFER);
        let mut response = Response::new(GatewayBody::Events(body));
        *response.status_mut() = stream.status;
        *response.headers_mut() = end_to_end(&stream.headers);
        let mut request = self.request;
        request.profile.version = version;
        let relay = StreamRelay {
            context: self.context,
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

    fn log_done(&self, target: Option<&EndpointTarget>, status: StatusCode) {
        let arrived_at = self.request.profile.arrived_at;
        let elapsed = self.context.clock.now() - arrived_at;
        let waited = self.placed.map_or(elapsed, |placed| placed.at - arrived_at);
        let expected = self.placed.map_or(Duration::ZERO, |placed| placed.expected);
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

/// Whether a failure of an endpoint may be passed on: some statuses promise that nothing ran.
fn is_own_failure(status: StatusCode) -> bool {
    status != StatusCode::SERVICE_UNAVAILABLE
}

fn whole_response(answer: WholeAnswer) -> Response<GatewayBody> {
    let mut response = Response::new(GatewayBody::whole(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = end_to_end(&answer.headers);
    response
}
