//! Routes that start and cancel attempts.

use bytes::Bytes;
use celeryshed_wire::{AttemptRequest, CancelRequest, decode};
use futures::stream::{self, BoxStream, StreamExt};
use rocket::data::{Data, ToByteUnit};
use rocket::http::Status;
use rocket::response::stream::ByteStream;
use rocket::{Route, State, post};
use serde::de::DeserializeOwned;

use super::runner::AttemptsHandle;
use crate::configuration::RecordedSender;

/// Largest accepted request body.
const MAX_BODY_MIB: u64 = 16;

/// Routes to mount at `/`; they need a managed [`AttemptsHandle`].
pub fn routes() -> Vec<Route> {
    rocket::routes![start_attempt, cancel_attempt]
}

#[post("/side/v1/attempts", data = "<data>")]
async fn start_attempt(
    handle: &State<AttemptsHandle>,
    _sender: RecordedSender,
    data: Data<'_>,
) -> Result<ByteStream<BoxStream<'static, Bytes>>, Status> {
    let request: AttemptRequest = decode_body(data).await?;
    let frames = handle.start(request);
    let frames = stream::unfold(frames, |mut frames| async move {
        frames.recv().await.map(|frame| (frame, frames))
    });
    Ok(ByteStream(frames.boxed()))
}

#[post("/side/v1/cancellations", data = "<data>")]
async fn cancel_attempt(handle: &State<AttemptsHandle>, data: Data<'_>) -> Result<Status, Status> {
    let request: CancelRequest = decode_body(data).await?;
    handle.cancel(request.attempt_id);
    Ok(Status::NoContent)
}

async fn decode_body<T: DeserializeOwned>(data: Data<'_>) -> Result<T, Status> {
    let body = data.open(MAX_BODY_MIB.mebibytes()).into_bytes().await;
    let body = body.map_err(|_| Status::BadRequest)?;
    if !body.is_complete() {
        return Err(Status::PayloadTooLarge);
    }
    decode(&body).map_err(|_| Status::BadRequest)
}
