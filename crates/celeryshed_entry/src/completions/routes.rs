//! Routes for completions, and for crash notices and objective counts.

use std::time::Duration;

use celeryshed_base::{ContentDigest, RequestId, ServiceName};
use celeryshed_core::configuration::{ConfigurationState, EndpointKind};
use celeryshed_wire::{ProblemDetails, RunStatus, decode, encode};
use rocket::data::{Data, ToByteUnit};
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome, Request};
use rocket::serde::json::Json;
use rocket::{Route, State, get, post};
use serde_json::{Value, json};
use tokio::io::AsyncReadExt;
use tokio::time::Instant;

use super::dispatch::CompletionJob;
use super::handle::CompletionsHandle;
use super::openai::{AnswerForm, AnswerWriter, CompletionParams, estimate_prompt_tokens};
use super::options::CompletionOptions;
use super::problems::{ProblemKind, ProblemReply, problem};
use super::services::service_routes;
use super::streams::{CompletionReply, event_reply, whole_reply};
use super::teams::{RequestTeam, team_of};

/// Maximum size of a body.
const MAX_BODY_MIB: u64 = 8;

/// Bodies up to this size are read to their end, so that the caller of a too large one gets the
/// refusal; the connection of a larger body is closed.
const MAX_DISCARDED_MIB: u64 = 64;

/// Header with the caller's timeout in milliseconds.
const DEADLINE_HEADER: &str = "Celeryshed-Deadline-Ms";

/// Routes to mount at `/`; the server must manage a [`CompletionsHandle`].
pub fn routes() -> Vec<Route> {
    let mut routes = rocket::routes![complete, complete_chat, list_models, read_burn, take_crash];
    routes.extend(service_routes());
    routes
}

/// Headers of a caller's request.
pub(super) struct CallerHeaders {
    pub(super) request_id: RequestId,
    authorization: Option<String>,
    deadline: Option<String>,
}

impl CallerHeaders {
    pub(super) fn of(request: &Request<'_>) -> Self {
        let header = |name| request.headers().get_one(name).map(str::to_owned);
        Self {
            request_id: RequestId::random(),
            authorization: header("Authorization"),
            deadline: header(DEADLINE_HEADER),
        }
    }

    /// The team that the API key belongs to; an unknown key is refused.
    pub(super) fn team(&self, state: &ConfigurationState) -> Result<RequestTeam, ProblemDetails> {
        team_of(self.authorization.as_deref(), state)
            .map_err(|error| self.refuse(ProblemKind::UnknownKey, &error.to_string()))
    }

    /// Deadline of the request: the caller's timeout, at most [`CompletionOptions::max_request`].
    pub(super) fn deadline(&self, options: &CompletionOptions) -> Result<Instant, ProblemDetails> {
        let Some(text) = &self.deadline else {
            return Ok(Instant::now() + options.max_request);
        };
        let milliseconds = text.parse().map_err(|_| {
            let detail = format!(
                "header {DEADLINE_HEADER} is {text:?}: accepted is a number of milliseconds"
            );
            self.refuse(ProblemKind::Malformed, &detail)
        })?;
        Ok(Instant::now() + Duration::from_millis(milliseconds).min(options.max_request))
    }

    /// The problem details of a request that was refused and did not run.
    pub(super) fn refuse(&self, kind: ProblemKind, detail: &str) -> ProblemDetails {
        problem(kind, self.request_id, RunStatus::NotRun, detail)
    }

    /// Checks that the service exists and its endpoints are of this kind.
    pub(super) fn check_service(
        &self,
        state: &ConfigurationState,
        service: &ServiceName,
        kind: EndpointKind,
    ) -> Result<(), ProblemDetails> {
        match state.services.get(service) {
            Some(definition) if definition.kind == kind => Ok(()),
            Some(_) => {
                let detail = format!("service {service} doesn't take requests of this kind");
                Err(self.refuse(ProblemKind::UnknownService, &detail))
            }
            None => {
                let detail = format!("service {service} doesn't exist");
                Err(self.refuse(ProblemKind::UnknownService, &detail))
            }
        }
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for CallerHeaders {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        Outcome::Success(Self::of(request))
    }
}

#[post("/v1/completions", data = "<data>")]
async fn complete(
    handle: &State<CompletionsHandle>,
    headers: CallerHeaders,
    data: Data<'_>,
) -> Result<CompletionReply, ProblemReply> {
    Ok(answer_completion(handle, &headers, data, AnswerForm::Text).await?)
}

#[post("/v1/chat/completions", data = "<data>")]
async fn complete_chat(
    handle: &State<CompletionsHandle>,
    headers: CallerHeaders,
    data: Data<'_>,
) -> Result<CompletionReply, ProblemReply> {
    Ok(answer_completion(handle, &headers, data, AnswerForm::Chat).await?)
}

#[get("/v1/models")]
fn list_models(
    handle: &State<CompletionsHandle>,
    headers: CallerHeaders,
) -> Result<Json<Value>, ProblemReply> {
    let (_guard, state) = handle.begin_request(headers.request_id)?;
    headers.team(&state)?;
    let services = state.services.iter();
    let engines = services.filter(|(_, definition)| definition.kind == EndpointKind::Engine);
    let models = engines.map(|(service, definition)| {
        json!({
            "id": service,
            "object": "model",
            "owned_by": "celeryshed",
            "version": definition.version,
        })
    });
    let models: Vec<Value> = models.collect();
    Ok(Json(json!({"object": "list", "data": models})))
}

#[get("/entry/v1/burn")]
async fn read_burn(handle: &State<CompletionsHandle>) -> Result<Vec<u8>, Status> {
    let body = encode(&handle.burn_reply().await).map_err(|_| Status::InternalServerError)?;
    Ok(body.to_vec())
}

#[post("/entry/v1/crashes", data = "<data>")]
async fn take_crash(handle: &State<CompletionsHandle>, data: Data<'_>) -> Result<Status, Status> {
    let body = data.open(MAX_BODY_MIB.mebibytes()).into_bytes().await;
    let body = body.map_err(|_| Status::BadRequest)?;
    handle.observe_crash(decode(&body).map_err(|_| Status::BadRequest)?).await;
    Ok(Status::NoContent)
}

async fn answer_completion(
    handle: &CompletionsHandle,
    headers: &CallerHeaders,
    data: Data<'_>,
    form: AnswerForm,
) -> Result<CompletionReply, ProblemDetails> {
    let (guard, state) = handle.begin_request(headers.request_id)?;
    let team = headers.team(&state)?;
    let body = read_body(data, headers).await?;
    let params = CompletionParams::parse(&body, form)
        .map_err(|error| headers.refuse(ProblemKind::Malformed, &error.to_string()))?;
    headers.check_service(&state, &params.service, EndpointKind::Engine)?;
    let job = completion_job(handle.options(), headers, team, &params)?;
    let writer = AnswerWriter {
        form,
        request_id: headers.request_id,
        model: params.service.to_string(),
        prompt_tokens: estimate_prompt_tokens(&params.prompt),
        max_tokens: params.max_tokens,
    };
    let events = handle.complete(job);
    match params.stream {
        true => event_reply(events, writer, guard).await,
        false => whole_reply(events, &writer).await,
    }
}

fn completion_job(
    options: &CompletionOptions,
    headers: &CallerHeaders,
    team: RequestTeam,
    params: &CompletionParams,
) -> Result<CompletionJob, ProblemDetails> {
    let adapter = params.adapter.as_ref().map_or("", celeryshed_base::AdapterName::as_str);
    let content =
        [params.service.as_str().as_bytes(), adapter.as_bytes(), params.prompt.as_bytes()];
    Ok(CompletionJob {
        request_id: headers.request_id,
        team,
        service: params.service.clone(),
        prompt: params.prompt.clone(),
        max_tokens: params.max_tokens,
        adapter: params.adapter.clone(),
        fingerprint: ContentDigest::of_parts(&content),
        deadline: headers.deadline(options)?,
    })
}

/// Reads a body of at most [`MAX_BODY_MIB`]. The rest of a larger body is read and discarded,
/// because a caller that is still sending when the connection closes doesn't receive the refusal.
pub(super) async fn read_body(
    data: Data<'_>,
    headers: &CallerHeaders,
) -> Result<Vec<u8>, ProblemDetails> {
    let malformed =
        |error: std::io::Error| headers.refuse(ProblemKind::Malformed, &error.to_string());
    let mut stream = data.open(MAX_DISCARDED_MIB.mebibytes());
    let limit = MAX_BODY_MIB << 20;
    let mut body = Vec::new();
    (&mut stream).take(limit + 1).read_to_end(&mut body).await.map_err(malformed)?;
    if body.len() as u64 > limit {
        tokio::io::copy(&mut stream, &mut tokio::io::sink()).await.map_err(malformed)?;
        let detail = format!("the body is larger than {MAX_BODY_MIB} MiB");
        return Err(headers.refuse(ProblemKind::Malformed, &detail));
    }
    Ok(body)
}
