//! Routes through which other sidecars fetch and offer chunks.

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

/// Limit of `wait_ms`; longer waits are shortened to this time.
const MAX_CHUNK_WAIT: Duration = Duration::from_secs(30);

/// Routes to mount at `/`; they need a managed [`WeightsHandle`].
pub fn routes() -> Vec<Route> {
    rocket::routes![serve_chunk, take_offer]
}

type PacedBody = ByteStream<BoxStream<'static, Bytes>>;

/// Shortest wait for an upload permit, also for requests with little or none of their `wait_ms`
/// left.
const MIN_PERMIT_WAIT: Duration = Duration::from_millis(100);

/// `GET /side/v1/chunks/<digest>?wait_ms=N`: replies 200 with the content, 202 if the chunk hasn't
/// arrived or no upload permit is free after the wait, and 404 if this sidecar neither holds nor
/// expects the chunk.
#[get("/side/v1/chunks/<digest>?<wait_ms>")]
async fn serve_chunk(
    digest: &str,
    wait_ms: Option<u64>,
    weights: &State<WeightsHandle>,
) -> Result<PacedBody, Status> {
    let Ok(chunk) = ContentDigest::try_from(digest) else {
        return Err(Status::BadRequest);
    };
    let wait = Duration::from_millis(wait_ms.unwrap_or_default()).min(MAX_CHUNK_WAIT);
    let deadline = Instant::now() + wait;
    match weights.chunk(chunk, wait).await {
        ChunkAnswer::Held(content) => {
            let permit_wait =
                deadline.saturating_duration_since(Instant::now()).max(MIN_PERMIT_WAIT);
            let permit = weights.upload_permit(permit_wait).await.ok_or(Status::Accepted)?;
            Ok(paced(content, weights.inner().clone(), permit))
        }
        ChunkAnswer::Pending => Err(Status::Accepted),
        ChunkAnswer::NotExpected => Err(Status::NotFound),
    }
}

/// `POST /side/v1/chunks/<digest>/offers?from=<instance>`: sidecar `from` offers a chunk that it
/// holds.
#[post("/side/v1/chunks/<digest>/offers?<from>")]
async fn take_offer(digest: &str, from: &str, weights: &State<WeightsHandle>) -> Status {
    let (Ok(chunk), Ok(from)) = (ContentDigest::try_from(digest), InstanceName::try_from(from))
    else {
        return Status::BadRequest;
    };
    weights.offer(chunk, from).await;
    Status::NoContent
}

/// Streams the content in slices, each sent when the pacer allows it. The permit is held until the
/// stream ends.
fn paced(content: Bytes, weights: WeightsHandle, permit: OwnedSemaphorePermit) -> PacedBody {
    let slices = futures::stream::unfold((content, permit), move |(mut remaining, permit)| {
        let pacer = weights.pacer().clone();
        let slice_bytes = weights.slice_bytes();
        async move {
            if remaining.is_empty() {
                return None;
            }
            let slice = remaining.split_to(remaining.len().min(slice_bytes));
            pacer.pace(slice.len()).await;
            Some((slice, (remaining, permit)))
        }
    });
    ByteStream(slices.boxed())
}
