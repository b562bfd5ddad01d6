//! Finds another endpoint for a request whose endpoint is silent or has failed.

use std::collections::BTreeSet;
use std::sync::Arc;

use celeryshed_dispatch::{AttemptOutcome, EndpointId, RefusalReason, RetryVerdict};
use celeryshed_observe::EventLine;
use tokio::time::Instant;

use crate::context::GatewayContext;
use crate::dispatcher_task::{PlacementKind, PlacementPermit, PlacementVerdict};
use crate::request::attempt::{AttemptPlan, AttemptReply, OpenStream, send_attempt};
use crate::request::attempt_trace::AttemptTrace;
use crate::request::parse::CallerRequest;
use crate::request::placed::PlacedRequest;

/// Why no other endpoint takes over a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailoverObstacle {
    /// The route allows no further attempt.
    AttemptsUsed,
    /// No event with an id has arrived, after which the stream could be resumed.
    NoEventId,
    /// A part of the request crashes endpoints.
    BlockedPart,
    /// The retry budget is used up.
    RetryBudget,
    /// The request was not placed.
    Refused(RefusalReason),
    /// The attempt at the other endpoint ended without an answer that can be forwarded.
    Attempt(AttemptOutcome),
}

impl FailoverObstacle {
    /// The obstacle as written to logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::AttemptsUsed => "attempts_used",
            Self::NoEventId => "no_event_id",
            Self::BlockedPart => "crashes_endpoints",
            Self::RetryBudget => "retry_budget",
            Self::Refused(reason) => reason.name(),
            Self::Attempt(AttemptOutcome::NotRun(_)) => "attempt_not_run",
            Self::Attempt(_) => "attempt_failed",
        }
    }

    /// Logs and counts the obstacle. `endpoint` is the one that still has the request, or had it
    /// last.
    pub(crate) fn report(self, request: &CallerRequest, endpoint: &EndpointId) {
        EventLine::new("failover_failed")
            .field("id", &request.request_id)
            .field("endpoint", endpoint)
            .field("reason", self.name())
            .info();
        metrics::counter!("celeryshed_failovers_failed_total", "reason" => self.name())
            .increment(1);
    }
}

/// Logs and counts an attempt that ended without an answer that can be forwarded.
pub(crate) fn log_attempt(
    request: &CallerRequest,
    endpoint: &EndpointId,
    outcome: AttemptOutcome,
    verdict: RetryVerdict,
) {
    EventLine::new("attempt_ended")
        .field("id", &request.request_id)
        .field("endpoint", endpoint)
        .field("outcome", format_args!("{outcome:?}"))
        .field("verdict", format_args!("{verdict:?}"))
        .info();
    metrics::counter!("celeryshed_attempts_failed_total").increment(1);
}

/// Reserves a slot at an endpoint that is not in `tried`. If the retry `is_counted`, the retry
/// budget has to allow it; it isn't used up without a slot.
pub(crate) async fn place_failover(
    context: &GatewayContext,
    request: &CallerRequest,
    tried: BTreeSet<EndpointId>,
    kind: PlacementKind,
    is_counted: bool,
) -> Result<PlacedRequest, FailoverObstacle> {
    if context.has_blocked(&request.parts) {
        return Err(FailoverObstacle::BlockedPart);
    }
    let placed = match context.dispatcher.place(request.profile.clone(), tried, kind).await {
        PlacementVerdict::Refused { reason, .. } => return Err(FailoverObstacle::Refused(reason)),
        PlacementVerdict::Placed { target, expected, permit } => {
            PlacedRequest { target: *target, expected, permit }
        }
    };
    // The part may have been blocked while the request waited for its endpoint.
    if context.has_blocked(&request.parts) {
        return Err(FailoverObstacle::BlockedPart);
    }
    // Only requests that are sent count against the budget.
    if is_counted && !context.dispatcher.try_retry(&request.profile.service).await {
        return Err(FailoverObstacle::RetryBudget);
    }
    Ok(placed)
}

/// A stream that another endpoint has resumed.
#[derive(Debug)]
pub(crate) struct ResumedStream {
    pub(crate) endpoint: EndpointId,
    pub(crate) stream: Box<OpenStream>,
    pub(crate) permit: PlacementPermit,
}

/// What all attempts to resume a stream have in common.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResumePlan<'a> {
    pub(crate) context: &'a GatewayContext,
    pub(crate) request: &'a CallerRequest,
    /// Id of the event after which the stream resumes.
    pub(crate) last_event: u64,
    /// When the stream has to be complete.
    pub(crate) due_at: Instant,
}

/// Resumes a stream at the endpoint where it was placed, and waits for its first event there.
pub(crate) async fn resume_at(
    plan: ResumePlan<'_>,
    placed: PlacedRequest,
) -> Result<ResumedStream, AttemptOutcome> {
    let ResumePlan { context, request, last_event, due_at } = plan;
    let PlacedRequest { target, expected, mut permit } = placed;
    let sent_at = Instant::now();
    let mut trace = AttemptTrace::start(Arc::new(request.clone()), target.clone(), context.clock);
    let plan = AttemptPlan {
        target: &target,
        clock: context.clock,
        decided_at: context.clock.now(),
        give_up_at: due_at,
        start_deadline: target.start_deadline,
        last_event: Some(last_event),
        buffers: &context.buffers,
        permit: &permit,
        trace: &trace,
    };
    let reply = send_attempt(&context.headers, request, &plan).await;
    trace.end();
    let outcome = match reply {
        AttemptReply::Stream(stream) => {
            permit.answered(expected, sent_at.elapsed());
            EventLine::new("stream_resumed")
                .field("id", &request.request_id)
                .field("endpoint", &target.id)
                .field("after_event", last_event)
                .info();
            return Ok(ResumedStream { endpoint: target.id, stream, permit });
        }
        AttemptReply::Whole(_) => AttemptOutcome::Abandoned,
        AttemptReply::Ended(outcome) => outcome,
    };
    permit.finish(outcome);
    Err(outcome)
}
