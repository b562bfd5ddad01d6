//! An attempt of a request at the endpoint where it was placed.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_dispatch::{AttemptOutcome, EndpointTarget, UnknownReason};
use tokio::time::Instant;

use crate::context::GatewayContext;
use crate::dispatcher_task::PlacementPermit;
use crate::request::attempt::{
    AttemptPlan, AttemptReply, OpenStream, WholeAnswer, is_framed, send_attempt,
};
use crate::request::attempt_trace::AttemptTrace;
use crate::request::parse::CallerRequest;

/// A slot at an endpoint.
#[derive(Debug)]
pub(crate) struct PlacedRequest {
    pub(crate) target: EndpointTarget,
    /// Expected time to the first event or the answer.
    pub(crate) expected: Duration,
    pub(crate) permit: PlacementPermit,
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// A complete answer that is not a stream.
    Answered(WholeAnswer),
    /// A stream whose first event has arrived.
    Stream(Box<OpenStream>, PlacementPermit),
    /// The endpoint answered with a 5xx status.
    ServerError(WholeAnswer),
    /// There is no answer that can be forwarded.
    Ended(AttemptOutcome),
}

impl AttemptEnd {
    /// The outcome of an attempt whose answer is not forwarded at once; `None` if it is.
    pub(crate) fn failure(&self) -> Option<AttemptOutcome> {
        match self {
            Self::Answered(_) | Self::Stream(..) => None,
            Self::ServerError(_) => Some(AttemptOutcome::Failed),
            Self::Ended(outcome) => Some(*outcome),
        }
    }
}

/// What all attempts of a request have in common.
#[derive(Debug)]
pub(crate) struct AttemptScope {
    pub(crate) context: Arc<GatewayContext>,
    pub(crate) request: Arc<CallerRequest>,
    pub(crate) due_at: Instant,
    /// Whether the request goes on although a part of it is blocked.
    pub(crate) is_trial: bool,
}

impl PlacedRequest {
    /// Sends the request, and waits for the complete answer or the first event.
    pub(crate) async fn run(self, scope: AttemptScope) -> AttemptEnd {
        let Self { target, expected, mut permit } = self;
        let AttemptScope { context, request, due_at, is_trial } = scope;
        let sent_at = Instant::now();
        let started_at = context.clock.now();
        let mut trace = AttemptTrace::start(request.clone(), target.clone(), context.clock);
        let plan = AttemptPlan {
            target: &target,
            clock: context.clock,
            decided_at: started_at,
            give_up_at: due_at,
            start_deadline: target.start_deadline,
            last_event: request.last_event,
            buffers: &context.buffers,
            permit: &permit,
            trace: &trace,
        };
        let sending = send_attempt(&context.headers, &request, &plan);
        let reply = tokio::select! {
            reply = sending => reply,
            // Withdraws the request before the endpoint begins to answer.
            () = context.wait_blocked(&request.parts), if !is_trial => {
                AttemptReply::Ended(AttemptOutcome::Unknown(UnknownReason::Withdrawn))
            }
        };
        trace.end();
        match reply {
            AttemptReply::Whole(answer) => {
                permit.answered(expected, sent_at.elapsed());
                if answer.status.is_server_error() {
                    permit.finish(AttemptOutcome::Failed);
                    return AttemptEnd::ServerError(answer);
                }
                permit.finish(AttemptOutcome::Served);
                if is_framed(&answer.headers) {
                    context.dispatcher.report_served(request.fingerprint);
                    // An endpoint may reject a request without working on its prompt.
                    if answer.status.is_success() {
                        context.dispatcher.report_parts_answered(&request.parts, started_at);
                    }
                }
                AttemptEnd::Answered(answer)
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
}
