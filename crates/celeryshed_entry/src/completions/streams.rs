//! Answers of completions towards callers: whole JSON or server-sent events.

use bytes::Bytes;
use celeryshed_base::ContentDigest;
use celeryshed_wire::{ProblemDetails, RunStatus};
use futures::stream::{self, BoxStream, StreamExt};
use rocket::http::{ContentType, Header};
use rocket::request::Request;
use rocket::response::stream::ByteStream;
use rocket::response::{self, Responder, Response};
use serde_json::Value;
use tokio::sync::mpsc;

use super::dispatch::OutputEvent;
use super::handle::ProgressGuard;
use super::openai::AnswerWriter;
use super::problems::{ProblemKind, problem, problem_json};

/// Header that names the version that answers.
const VERSION_HEADER: &str = "Celeryshed-Model-Version";

/// End marker of a stream.
const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Answer of a completion.
pub(super) enum CompletionReply {
    /// A whole answer.
    Whole { version: ContentDigest, body: Value },
    /// Server-sent events.
    Events { version: ContentDigest, body: BoxStream<'static, Bytes> },
}

/// Waits for the version, or for the problem that came instead.
pub(super) async fn receive_head(
    events: &mut mpsc::Receiver<OutputEvent>,
    writer: &AnswerWriter,
) -> Result<ContentDigest, ProblemDetails> {
    match events.recv().await {
        Some(OutputEvent::Head(version)) => Ok(version),
        Some(OutputEvent::Problem(problem)) => Err(problem),
        Some(OutputEvent::Token(_) | OutputEvent::Done) | None => Err(lost(writer)),
    }
}

/// Collects a whole answer.
pub(super) async fn whole_reply(
    mut events: mpsc::Receiver<OutputEvent>,
    writer: &AnswerWriter,
) -> Result<CompletionReply, ProblemDetails> {
    let version = receive_head(&mut events, writer).await?;
    let (mut text, mut tokens) = (String::new(), 0);
    while let Some(event) = events.recv().await {
        match event {
            OutputEvent::Token(token) => {
                text.push_str(&token);
                tokens += 1;
            }
            OutputEvent::Done => {
                let body = writer.whole(&text, tokens);
                return Ok(CompletionReply::Whole { version, body });
            }
            OutputEvent::Problem(problem) => return Err(problem),
            OutputEvent::Head(_) => {}
        }
    }
    Err(lost(writer))
}

/// Streams the answer; `guard` is held until its last event is taken.
pub(super) async fn event_reply(
    mut events: mpsc::Receiver<OutputEvent>,
    writer: AnswerWriter,
    guard: ProgressGuard,
) -> Result<CompletionReply, ProblemDetails> {
    let version = receive_head(&mut events, &writer).await?;
    let state = EventBody { events, writer, tokens: 0, ended: false, _guard: guard };
    let body = stream::unfold(state, |mut state| async move {
        let bytes = state.next().await?;
        Some((bytes, state))
    });
    Ok(CompletionReply::Events { version, body: body.boxed() })
}

struct EventBody {
    events: mpsc::Receiver<OutputEvent>,
    writer: AnswerWriter,
    tokens: u32,
    ended: bool,
    _guard: ProgressGuard,
}

impl EventBody {
    async fn next(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        let text = match self.events.recv().await {
            Some(OutputEvent::Token(token)) => {
                self.tokens += 1;
                data_event(&self.writer.part(&token))
            }
            Some(OutputEvent::Done) => {
                self.ended = true;
                data_event(&self.writer.last_part(self.tokens)) + DONE_EVENT
            }
            Some(OutputEvent::Problem(problem)) => self.error_event(&problem),
            Some(OutputEvent::Head(_)) | None => self.error_event(&lost(&self.writer)),
        };
        Some(Bytes::from(text))
    }

    /// The explicit error event; no end marker follows it.
    fn error_event(&mut self, problem: &ProblemDetails) -> String {
        self.ended = true;
        format!("event: error\ndata: {}\n\n", problem_json(problem))
    }
}

fn data_event(value: &Value) -> String {
    format!("data: {value}\n\n")
}

fn lost(writer: &AnswerWriter) -> ProblemDetails {
    let detail = "the answer was lost inside this entry";
    problem(ProblemKind::EndpointFailed, writer.request_id, RunStatus::Unknown, detail)
}

impl<'r> Responder<'r, 'r> for CompletionReply {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        let (version, response) = match self {
            Self::Whole { version, body } => {
                let body = body.to_string();
                let response = (ContentType::JSON, body).respond_to(request)?;
                (version, response)
            }
            Self::Events { version, body } => {
                let content_type = ContentType::EventStream;
                (version, (content_type, ByteStream(body)).respond_to(request)?)
            }
        };
        let mut built = Response::build_from(response);
        built.header(Header::new(VERSION_HEADER, version.to_string()));
        built.header(Header::new("Cache-Control", "no-store")).ok()
    }
}
