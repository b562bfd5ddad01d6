//! Routes for calls to plain services below `/services/<service>/`.

use celeryshed_base::ServiceName;
use celeryshed_core::configuration::EndpointKind;
use celeryshed_wire::{
    BookingForward, BookingReply, CallWork, ProblemDetails, RunStatus, ServiceAnswer,
};
use rocket::data::Data;
use rocket::http::{ContentType, Method, Status};
use rocket::request::Request;
use rocket::response::Responder;
use rocket::route::{Handler, Outcome};
use rocket::{Response, Route};
use serde_bytes::ByteBuf;
use std::io::Cursor;
use tokio::time::Instant;

use super::calls::CallJob;
use super::handle::{CompletionsHandle, ProgressGuard};
use super::problems::{ProblemKind, ProblemReply};
use super::routes::{CallerHeaders, read_body};

/// Header with the key of a booking; a call with this header is a booking.
const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

/// Path prefix of all services.
const SERVICES_PATH: &str = "/services/";

/// Methods that are forwarded to services.
const SERVICE_METHODS: [Method; 5] =
    [Method::Get, Method::Post, Method::Put, Method::Delete, Method::Patch];

/// One route per method in [`SERVICE_METHODS`].
pub(super) fn service_routes() -> Vec<Route> {
    SERVICE_METHODS
        .map(|method| Route::new(method, "/services/<service>/<path..>", ServiceHandler))
        .into()
}

#[derive(Clone, Copy, Debug)]
struct ServiceHandler;

#[rocket::async_trait]
impl Handler for ServiceHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let headers = CallerHeaders::of(request);
        let key = request.headers().get_one(IDEMPOTENCY_KEY_HEADER);
        let result = match (read_call(request, &headers, data).await, key) {
            (Ok((handle, job, _guard)), None) => handle.call(job).await,
            (Ok((handle, job, _guard)), Some(key)) => book(handle, job, key).await,
            (Err(refusal), None) => Err(refusal),
            (Err(refusal), Some(_)) => Err(refused_before_lookup(refusal)),
        };
        let responded = match result {
            Ok(answer) => ServiceReply(answer).respond_to(request),
            Err(problem) => ProblemReply(problem).respond_to(request),
        };
        match responded {
            Ok(response) => Outcome::Success(response),
            Err(status) => Outcome::Error(status),
        }
    }
}

/// Reads and checks a call; the guard counts the call as in progress.
async fn read_call<'r>(
    request: &'r Request<'_>,
    headers: &CallerHeaders,
    data: Data<'_>,
) -> Result<(&'r CompletionsHandle, CallJob, ProgressGuard), ProblemDetails> {
    let handle = request.rocket().state::<CompletionsHandle>();
    let handle = handle.expect("the server manages a CompletionsHandle");
    let (guard, state) = handle.begin_request(headers.request_id)?;
    let team = headers.team(&state)?;
    let (service, path) = service_and_path(request, headers)?;
    headers.check_service(&state, &service, EndpointKind::Plain)?;
    let body = read_body(data, headers).await?;
    let call = CallWork {
        method: request.method().as_str().to_owned(),
        path,
        content_type: request.content_type().map(ToString::to_string),
        body: ByteBuf::from(body),
        idempotency_key: request.headers().get_one(IDEMPOTENCY_KEY_HEADER).map(str::to_owned),
        claim: None,
    };
    let deadline = headers.deadline(handle.options())?;
    let request_id = headers.request_id;
    Ok((handle, CallJob { request_id, team, service, call, deadline }, guard))
}

async fn book(
    handle: &CompletionsHandle,
    job: CallJob,
    key: &str,
) -> Result<ServiceAnswer, ProblemDetails> {
    let time_left = job.deadline.saturating_duration_since(Instant::now());
    let booking = BookingForward {
        request_id: job.request_id,
        team: job.team.name,
        service: job.service,
        key: key.to_owned(),
        deadline_ms: time_left.as_millis() as u64,
        call: job.call,
    };
    match handle.book(booking).await {
        BookingReply::Answer { answer, replayed: _ } => Ok(answer),
        BookingReply::Problem(problem) => Err(problem),
    }
}

/// The refusal of a booking whose key was not looked up. An earlier request with this key may have
/// run, so that `NotRun` becomes `Unknown`.
fn refused_before_lookup(refusal: ProblemDetails) -> ProblemDetails {
    let not_run = match refusal.not_run {
        RunStatus::NotRun | RunStatus::Unknown => RunStatus::Unknown,
        RunStatus::Ran => RunStatus::Ran,
    };
    ProblemDetails { not_run, ..refusal }
}

/// Splits the undecoded path and query, so that percent-encoding reaches the service unchanged.
fn service_and_path(
    request: &Request<'_>,
    headers: &CallerHeaders,
) -> Result<(ServiceName, String), ProblemDetails> {
    let uri = request.uri();
    let remainder = uri.path().as_str().strip_prefix(SERVICES_PATH).unwrap_or_default();
    let (service, path) = remainder.split_once('/').unwrap_or((remainder, ""));
    let service = ServiceName::try_from(service)
        .map_err(|error| headers.refuse(ProblemKind::Malformed, &error.to_string()))?;
    let path = match uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    Ok((service, path))
}

/// Forwards a service's answer unchanged.
struct ServiceReply(ServiceAnswer);

impl<'r> Responder<'r, 'static> for ServiceReply {
    fn respond_to(self, _request: &'r Request<'_>) -> rocket::response::Result<'static> {
        let ServiceAnswer { status, content_type, body } = self.0;
        let body = body.into_vec();
        let mut response = Response::build();
        response.status(Status::new(status));
        if let Some(content_type) = content_type.as_deref().and_then(ContentType::parse_flexible) {
            response.header(content_type);
        }
        response.sized_body(body.len(), Cursor::new(body)).ok()
    }
}
