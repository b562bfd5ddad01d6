//! Problem details (RFC 9457) in replies to callers.

use std::io::Cursor;
use std::time::Duration;

use celeryshed_base::RequestId;
use celeryshed_wire::{ProblemDetails, RunStatus};
use rocket::http::{ContentType, Header, Status};
use rocket::request::Request;
use rocket::response::{self, Responder, Response};
use serde_json::{Value, json};

/// Kind of a problem; determines its type, title and status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProblemKind {
    /// The request's header fields, path or body are invalid.
    Malformed,
    /// The API key belongs to no contract.
    UnknownKey,
    /// The service doesn't exist or takes requests of another kind.
    UnknownService,
    /// This entry drains.
    Draining,
    /// This entry knows no configuration yet.
    Starting,
    /// No endpoint has a free slot.
    Overloaded,
    /// No endpoint of the service can run the request.
    NoEndpoint,
    /// The request crashed endpoints and is refused.
    Quarantined,
    /// The endpoint failed and the request is not retried.
    EndpointFailed,
    /// No endpoint has the model version of the tokens sent so far.
    VersionGone,
    /// The request's deadline passed.
    DeadlinePassed,
}

impl ProblemKind {
    fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::UnknownKey => 401,
            Self::UnknownService => 404,
            Self::Quarantined => 422,
            Self::Draining | Self::Starting | Self::Overloaded | Self::NoEndpoint => 503,
            Self::EndpointFailed | Self::VersionGone => 502,
            Self::DeadlinePassed => 504,
        }
    }

    fn name_and_title(self) -> (&'static str, &'static str) {
        match self {
            Self::Malformed => ("malformed", "The request is malformed"),
            Self::UnknownKey => ("unknown-key", "The API key is not known"),
            Self::UnknownService => ("unknown-service", "The service is not known"),
            Self::Draining => ("draining", "This entry takes no new work"),
            Self::Starting => ("starting", "This entry is starting"),
            Self::Overloaded => ("overloaded", "No endpoint can take the request now"),
            Self::NoEndpoint => ("no-endpoint", "No endpoint of the service is left"),
            Self::Quarantined => ("quarantined", "The request crashes endpoints"),
            Self::EndpointFailed => ("endpoint-failed", "The endpoint failed"),
            Self::VersionGone => ("version-gone", "The version that began the answer is gone"),
            Self::DeadlinePassed => ("deadline-passed", "The deadline passed"),
        }
    }
}

/// Builds the problem details of one request.
pub(super) fn problem(
    kind: ProblemKind,
    request_id: RequestId,
    not_run: RunStatus,
    detail: &str,
) -> ProblemDetails {
    let (name, title) = kind.name_and_title();
    ProblemDetails {
        kind: format!("/problems/{name}"),
        title: title.to_owned(),
        status: kind.status(),
        detail: detail.to_owned(),
        request_id,
        not_run,
        retry_after_ms: None,
    }
}

/// Sets the time after which the caller may retry.
pub(super) fn with_retry_after(problem: ProblemDetails, pause: Duration) -> ProblemDetails {
    ProblemDetails { retry_after_ms: Some(pause.as_millis() as u64), ..problem }
}

/// The JSON body of a problem; `not_run` is `true`, `false` or `"unknown"`.
pub(super) fn problem_json(problem: &ProblemDetails) -> Value {
    let not_run = match problem.not_run {
        RunStatus::NotRun => json!(true),
        RunStatus::Ran => json!(false),
        RunStatus::Unknown => json!("unknown"),
    };
    let mut value = json!({
        "type": problem.kind,
        "title": problem.title,
        "status": problem.status,
        "detail": problem.detail,
        "request_id": problem.request_id,
        "not_run": not_run,
    });
    if let Some(pause) = problem.retry_after_ms {
        value["retry_after_ms"] = json!(pause);
    }
    value
}

/// Reply with problem details as `application/problem+json`.
#[derive(Clone, Debug, PartialEq)]
pub struct ProblemReply(pub ProblemDetails);

impl From<ProblemDetails> for ProblemReply {
    fn from(problem: ProblemDetails) -> Self {
        Self(problem)
    }
}

impl<'r> Responder<'r, 'static> for ProblemReply {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        let body = problem_json(&self.0).to_string();
        let mut response = Response::build();
        response.status(Status::new(self.0.status));
        response.header(ContentType::new("application", "problem+json"));
        if let Some(pause) = self.0.retry_after_ms {
            response.header(Header::new("Retry-After", pause.div_ceil(1000).to_string()));
        }
        if self.0.status == 401 {
            response.header(Header::new("WWW-Authenticate", "Bearer"));
        }
        response.sized_body(body.len(), Cursor::new(body)).ok()
    }
}
