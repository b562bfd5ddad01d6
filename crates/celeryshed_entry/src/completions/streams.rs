//! Replies to completions: one JSON body or server-sent events.

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

/// Header with the model version that generates the answer.
const VERSION_HEADER: &str = "Celeryshed-Model-Version";

/// Last event of a complete stream.
const END_MARKER: &str = "data: [DONE]\n\n";

/// Reply to a completion.
pub(super) enum CompletionReply {
    /// One JSON body.
    Whole { version: ContentDigest, body: Value },
    /// A stream of server-sent events.
    Events { version: ContentDigest, body: BoxStream<'static, Bytes> },
}

/// Waits for the first event of an answer, which holds the model version.
pub(super) async fn receive_head(
    events: &mut mpsc::Receiver<OutputEvent>,
    writer: &AnswerWriter,
) -> Result<ContentDigest, ProblemDetails> {
    match events.recv().await {
        Some(OutputEvent::Head(version)) => Ok(version),
        Some(OutputEvent::Problem(problem)) => Err(problem),
        Some(OutputEvent::Token(_) | OutputEvent::Done) | None => Err(missing_answer(writer)),
    }
}

/// Collects the answer into one JSON body.
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
                let body = writer.whole_answer(&text, tokens);
                return Ok(CompletionReply::Whole { version, body });
            }
            OutputEvent::Problem(problem) => return Err(problem),
            OutputEvent::Head(_) => {}
        }
    }
    Err(missing_answer(writer))
}

/// Streams the answer; `guard` is held until the stream is dropped.
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
                data_event(&self.writer.token_chunk(&token))
            }
            Some(OutputEvent::Done) => {
                self.ended = true;
                data_event(&self.writer.last_chunk(self.tokens)) + END_MARKER
            }
            Some(OutputEvent::Problem(problem)) => self.error_event(&problem),
            Some(OutputEvent::Head(_)) | None => self.error_event(&missing_answer(&self.writer)),
        };
        Some(Bytes::from(text))
    }

    /// The event for a failed answer; the stream ends after it without [`END_MARKER`].
    fn error_event(&mut self, problem: &ProblemDetails) -> String {
        self.ended = true;
        format!("event: error\ndata: {}\n\n", problem_json(problem))
    }
}

fn data_event(value: &Value) -> String {
    format!("data: {value}\n\n")
}

fn missing_answer(writer: &AnswerWriter) -> ProblemDetails {
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
