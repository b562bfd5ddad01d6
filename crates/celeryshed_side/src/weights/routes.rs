//! The HTTP interface for other sidecars.

use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{ContentDigest, InstanceName};
use futures::stream::{BoxStream, StreamExt};
use rocket::http::Status;
use rocket::response::stream::ByteStream;
use rocket::{Route, State, get, post};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

use super::task::{ChunkAnswer, WeightsHandle};

/// Longest accepted `wait_ms`.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// The routes; the server must manage the [`WeightsHandle`].
pub fn routes() -> Vec<Route> {
    rocket::routes![serve_chunk, take_offer]
}

type PacedBody = ByteStream<BoxStream<'static, Bytes>>;

/// Least wait for a transfer's turn, for askers that don't wait for the chunk.
const LEAST_PERMIT_WAIT: Duration = Duration::from_millis(100);

/// `GET /side/v1/chunks/<digest>?wait_ms=N`: 200 with the bytes, 202 when the chunk isn't here
/// yet after the wait, 404 when it isn't wanted here.
#[get("/side/v1/chunks/<digest>?<wait_ms>")]
async fn serve_chunk(
    digest: &str,
    wait_ms: Option<u64>,
    weights: &State<WeightsHandle>,
) -> Result<PacedBody, Status> {
    let Ok(chunk) = ContentDigest::try_from(digest) else {
        return Err(Status::BadRequest);
    };
    let wait = Duration::from_millis(wait_ms.unwrap_or_default()).min(WAIT_LIMIT);
    let deadline = Instant::now() + wait;
    match weights.chunk(chunk, wait).await {
        ChunkAnswer::Held(content) => {
            let rest = deadline.saturating_duration_since(Instant::now()).max(LEAST_PERMIT_WAIT);
            let permit = weights.upload_permit(rest).await.ok_or(Status::Accepted)?;
            Ok(paced(content, weights.inner().clone(), permit))
        }
        ChunkAnswer::Pending => Err(Status::Accepted),
        ChunkAnswer::NotWanted => Err(Status::NotFound),
    }
}

/// `POST /side/v1/chunks/<digest>/offers?from=<instance>`: a sidecar says that it holds a chunk.
#[post("/side/v1/chunks/<digest>/offers?<from>")]
async fn take_offer(digest: &str, from: &str, weights: &State<WeightsHandle>) -> Status {
    let (Ok(chunk), Ok(from)) = (ContentDigest::try_from(digest), InstanceName::try_from(from))
    else {
        return Status::BadRequest;
    };
    weights.offer(chunk, from).await;
    Status::NoContent
}

/// The content in slices, each sent when the link's budget allows it.
fn paced(content: Bytes, weights: WeightsHandle, permit: OwnedSemaphorePermit) -> PacedBody {
    let slices = futures::stream::unfold((content, permit), move |(mut rest, permit)| {
        let pacer = weights.pacer().clone();
        let slice_bytes = weights.slice_bytes();
        async move {
            if rest.is_empty() {
                return None;
            }
            let slice = rest.split_to(rest.len().min(slice_bytes));
            pacer.pace(slice.len()).await;
            Some((slice, (rest, permit)))
        }
    });
    ByteStream(slices.boxed())
}
