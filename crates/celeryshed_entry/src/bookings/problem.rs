//! Problem details of bookings.

use celeryshed_base::RequestId;
use celeryshed_core::booking::{BookingResult, KeyError, RefusalReason};
use celeryshed_observe::EventLine;
use celeryshed_wire::{BookingReply, ProblemDetails, RunStatus, ServiceAnswer};

/// Suggested pause before a retry, for refusals with a temporary cause.
const RETRY_AFTER_MS: u64 = 2_000;

/// Last segment of the kind, title, HTTP status, and whether a pause before a retry is suggested.
struct ProblemShape(&'static str, &'static str, u16, bool);

/// The reply to a request whose procedure ended with `result`.
pub(super) fn reply_of(
    request_id: RequestId,
    result: BookingResult<ServiceAnswer>,
) -> BookingReply {
    match result {
        BookingResult::Answer { answer, replayed } => BookingReply::Answer { answer, replayed },
        BookingResult::Refused { reason, verdict } => {
            BookingReply::Problem(booking_problem(request_id, &reason, verdict.into()))
        }
    }
}

/// Logs and counts the reply to a request that this entry served.
pub(super) fn record_reply(request_id: RequestId, reply: &BookingReply) {
    let line = EventLine::new("booking_served").field("request_id", request_id);
    match reply {
        BookingReply::Answer { answer, replayed } => {
            metrics::counter!("bookings_total", "result" => "answered").increment(1);
            line.field("status", answer.status).field("replayed", replayed).info();
        }
        BookingReply::Problem(problem) => {
            let not_run = match problem.not_run {
                RunStatus::NotRun => "not_run",
                RunStatus::Ran => "ran",
                RunStatus::Unknown => "unknown",
            };
            metrics::counter!("bookings_total", "result" => not_run).increment(1);
            line.field("problem", &problem.kind).field("verdict", not_run).info();
        }
    }
}

/// The problem details of a refused booking; `not_run` says whether the booking may have run.
///
/// ```
/// use celeryshed_base::RequestId;
/// use celeryshed_core::booking::RefusalReason;
/// use celeryshed_entry::bookings::booking_problem;
/// use celeryshed_wire::RunStatus;
/// let reason = RefusalReason::LogUnreadable;
/// let problem = booking_problem(RequestId::random(), &reason, RunStatus::Unknown);
/// assert_eq!(problem.status, 503);
/// ```
pub fn booking_problem(
    request_id: RequestId,
    reason: &RefusalReason,
    not_run: RunStatus,
) -> ProblemDetails {
    let ProblemShape(kind, title, status, retry) = problem_shape(reason);
    ProblemDetails {
        kind: format!("/problems/{kind}"),
        title: title.to_owned(),
        status,
        detail: detail_text(reason),
        request_id,
        not_run,
        retry_after_ms: retry.then_some(RETRY_AFTER_MS),
    }
}

/// The problem for an invalid key; no booking can have run under it.
pub(super) fn key_invalid_problem(request_id: RequestId, error: &KeyError) -> ProblemDetails {
    ProblemDetails {
        kind: "/problems/key-invalid".to_owned(),
        title: "idempotency key is not accepted".to_owned(),
        status: 400,
        detail: error.to_string(),
        request_id,
        not_run: RunStatus::NotRun,
        retry_after_ms: None,
    }
}

/// The problem for a booking that was not looked up because `limit` others are in progress.
///
/// An earlier request with the same key may have run, so the verdict is unknown.
pub(super) fn overloaded_problem(request_id: RequestId, limit: usize) -> ProblemDetails {
    ProblemDetails {
        kind: "/problems/overloaded".to_owned(),
        title: "too many bookings in progress".to_owned(),
        status: 503,
        detail: format!("this entry serves {limit} bookings already; resend with the same key"),
        request_id,
        not_run: RunStatus::Unknown,
        retry_after_ms: Some(RETRY_AFTER_MS),
    }
}

/// The problem for a booking whose procedure ended without a reply, as in a shutdown.
pub(super) fn outcome_unknown_problem(request_id: RequestId) -> ProblemDetails {
    booking_problem(request_id, &RefusalReason::OutcomeUnknown, RunStatus::Unknown)
}

fn problem_shape(reason: &RefusalReason) -> ProblemShape {
    match reason {
        RefusalReason::KeyExpired => {
            ProblemShape("key-expired", "idempotency key is too old", 422, false)
        }
        RefusalReason::KeyInFuture => {
            ProblemShape("key-in-future", "idempotency key is from the future", 422, false)
        }
        RefusalReason::BodyMismatch => {
            ProblemShape("key-reused", "idempotency key stands for another call", 422, false)
        }
        RefusalReason::LogUnreadable => {
            ProblemShape("log-unavailable", "claim log can't be read", 503, true)
        }
        RefusalReason::WindowIncomplete => {
            ProblemShape("log-incomplete", "claim log lacks records of the window", 503, true)
        }
        RefusalReason::NoEndpoint => {
            ProblemShape("no-endpoint", "no endpoint takes bookings", 503, true)
        }
        RefusalReason::EndpointRefused { .. } => {
            ProblemShape("endpoint-refused", "endpoints refused the booking", 503, true)
        }
        RefusalReason::Superseded => {
            ProblemShape("superseded", "another request of this key was refused", 409, true)
        }
        RefusalReason::DeadlinePassed => {
            ProblemShape("deadline-passed", "deadline passed", 504, true)
        }
        RefusalReason::OutcomeUnknown => {
            ProblemShape("outcome-unknown", "booking may have run; its answer is lost", 502, false)
        }
        RefusalReason::AnswerNotKept { .. } => {
            ProblemShape("answer-not-kept", "booking ran; its answer was too large", 410, false)
        }
        RefusalReason::AnswerUnreadable => {
            ProblemShape("answer-unreadable", "booking ran; its answer can't be read", 503, true)
        }
    }
}

fn detail_text(reason: &RefusalReason) -> String {
    let text = match reason {
        RefusalReason::KeyExpired => "a key is accepted for the length of the booking window",
        RefusalReason::KeyInFuture => "a key may be created at most 60 s in the future",
        RefusalReason::BodyMismatch => {
            "method, path and body must match those of the first request"
        }
        RefusalReason::LogUnreadable => "resend with the same key; it runs at most once",
        RefusalReason::WindowIncomplete => "use a key created from now on, or ask an operator",
        RefusalReason::NoEndpoint => "resend with the same key; it runs at most once",
        RefusalReason::Superseded => "resend with the same key; it runs at most once",
        RefusalReason::DeadlinePassed => "resend with the same key; it runs at most once",
        RefusalReason::OutcomeUnknown => "it won't be run again under this key",
        RefusalReason::AnswerUnreadable => "resend with the same key to get the recorded answer",
        RefusalReason::EndpointRefused { side, detail } => {
            return format!("sidecar {side}: {detail}");
        }
        RefusalReason::AnswerNotKept { status, size } => {
            return format!("the answer had status {status} and {size} bytes");
        }
    };
    text.to_owned()
}
