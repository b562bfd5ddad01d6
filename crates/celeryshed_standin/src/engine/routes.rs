//! HTTP routes of the engine.

use bytes::Bytes;
use celeryshed_base::{AttemptId, ContentDigest};
use celeryshed_wire::{EngineCommand, EngineRequest};
use futures::StreamExt;
use futures::stream::unfold;
use rocket::serde::json::Json;
use rocket::{Route, State, get, post, put, routes};
use serde::Serialize;
use tokio::sync::mpsc::UnboundedReceiver;
use uuid::Uuid;

use super::commands::CommandOutcome;
use super::control::EngineControl;
use super::counts::EngineFaults;
use super::stream::{Rejection, StreamPiece};
use crate::reply::{BodyStream, Reply};

/// `Retry-After` of requests that are refused because the queue is full.
const QUEUE_RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

pub(super) fn engine_routes() -> Vec<Route> {
    routes![complete, cancel, command, load, events, put_chunk, counts, faults]
}

#[derive(Serialize)]
struct ErrorBody {
    error: String,
}

#[derive(Serialize)]
struct CancelBody {
    cancelled: bool,
}

fn error_reply(status: u16, error: impl ToString) -> Reply {
    Reply::json_status(status, &ErrorBody { error: error.to_string() })
}

fn rejection_reply(rejection: Rejection) -> Reply {
    match rejection {
        Rejection::Invalid(_) => error_reply(400, rejection),
        Rejection::NotLoaded(_) => error_reply(409, rejection),
        Rejection::QueueFull => Reply::retry(429, "queue is full", QUEUE_RETRY_AFTER),
        Rejection::Down => Reply::Disconnect,
    }
}

/// Applies latency and outage to a call; returns the reply to send if the call fails, also while
/// the engine is down.
async fn apply_call_faults(control: &EngineControl) -> Result<(), Reply> {
    control.apply_call_faults().await?;
    if control.is_down() { Err(Reply::Disconnect) } else { Ok(()) }
}

#[post("/v1/completions", data = "<body>")]
async fn complete(body: Vec<u8>, control: &State<EngineControl>) -> Reply {
    if let Err(reply) = apply_call_faults(control).await {
        return reply;
    }
    let request: EngineRequest = match serde_json::from_slice(&body) {
        Ok(request) => request,
        Err(reason) => return error_reply(400, reason),
    };
    match control.complete(request) {
        Ok(pieces) => sse_reply(pieces),
        Err(rejection) => rejection_reply(rejection),
    }
}

fn sse_reply(pieces: UnboundedReceiver<StreamPiece>) -> Reply {
    Reply::Streamed {
        content_type: "text/event-stream",
        headers: Vec::new(),
        body: sse_body(pieces),
    }
}

fn sse_body(pieces: UnboundedReceiver<StreamPiece>) -> BodyStream {
    let events = unfold(pieces, |mut pieces| async {
        let piece = pieces.recv().await?;
        Some((sse_event(&piece), pieces))
    });
    events.boxed()
}

fn sse_event(piece: &StreamPiece) -> std::io::Result<Bytes> {
    match piece {
        StreamPiece::Done => Ok(Bytes::from_static(b"data: [DONE]\n\n")),
        StreamPiece::Chunk(chunk) => {
            let json = serde_json::to_string(chunk).map_err(std::io::Error::other)?;
            Ok(format!("data: {json}\n\n").into())
        }
    }
}

#[post("/v1/completions/<attempt>/cancel")]
async fn cancel(attempt: &str, control: &State<EngineControl>) -> Reply {
    if let Err(reply) = apply_call_faults(control).await {
        return reply;
    }
    match Uuid::parse_str(attempt) {
        Ok(id) => Reply::json(&CancelBody { cancelled: control.cancel(AttemptId(id)) }),
        Err(reason) => error_reply(400, reason),
    }
}

#[post("/commands", data = "<body>")]
async fn command(body: Vec<u8>, control: &State<EngineControl>) -> Reply {
    if let Err(reply) = apply_call_faults(control).await {
        return reply;
    }
    let command: EngineCommand = match serde_json::from_slice(&body) {
        Ok(command) => command,
        Err(reason) => return error_reply(400, reason),
    };
    match control.command(command).await {
        Some(CommandOutcome::Done(reply)) => Reply::json(&reply),
        Some(CommandOutcome::Stale(reply)) => Reply::json_status(409, &reply),
        Some(CommandOutcome::Failed(failure)) => Reply::json_status(422, &failure),
        None => Reply::Disconnect,
    }
}

#[get("/load")]
async fn load(control: &State<EngineControl>) -> Reply {
    if let Err(reply) = apply_call_faults(control).await {
        return reply;
    }
    control.load().map_or(Reply::Disconnect, |load| Reply::json(&load))
}

#[get("/events?<from>")]
async fn events(from: Option<u64>, control: &State<EngineControl>) -> Reply {
    if let Err(reply) = apply_call_faults(control).await {
        return reply;
    }
    Reply::json(&control.events(from.unwrap_or(0)))
}

#[put("/weights/<version>/<index>", data = "<content>")]
async fn put_chunk(
    version: &str,
    index: u32,
    content: Vec<u8>,
    control: &State<EngineControl>,
) -> Reply {
    if let Err(reply) = apply_call_faults(control).await {
        return reply;
    }
    let version = match ContentDigest::try_from(version) {
        Ok(version) => version,
        Err(reason) => return error_reply(400, reason),
    };
    match control.put_chunk(version, index, &content) {
        Ok(()) => Reply::text(200, "stored"),
        Err(reason) => error_reply(400, reason),
    }
}

#[get("/control/counts")]
fn counts(control: &State<EngineControl>) -> Reply {
    Reply::json(&control.counts())
}

#[post("/control/faults", data = "<faults>")]
fn faults(faults: Json<EngineFaults>, control: &State<EngineControl>) -> Reply {
    control.set_faults(faults.into_inner());
    Reply::json(&control.faults())
}
