//! The HTTP interface for other sidecars.

use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::ContentDigest;
use futures::stream::{BoxStream, StreamExt};
use rocket::http::Status;
use rocket::response::stream::ByteStream;
use rocket::{Route, State, get};

use super::task::{ChunkAnswer, WeightsHandle};

/// Bytes sent between two waits for the link. Small, so that live traffic doesn't queue behind
/// distribution traffic.
const SLICE_BYTES: usize = 8 * 1024;

/// Longest accepted `wait_ms`.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// The routes; the server must manage the [`WeightsHandle`].
pub fn routes() -> Vec<Route> {
    rocket::routes![serve_chunk]
}

type PacedBody = ByteStream<BoxStream<'static, Bytes>>;

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
    match weights.chunk(chunk, wait).await {
        ChunkAnswer::Held(content) => Ok(paced(content, weights.inner().clone())),
        ChunkAnswer::Pending => Err(Status::Accepted),
        ChunkAnswer::NotWanted => Err(Status::NotFound),
    }
}

/// The content in slices, each sent when the link's budget allows it.
fn paced(content: Bytes, weights: WeightsHandle) -> PacedBody {
    let slices = futures::stream::unfold(content, move |mut rest| {
        let pacer = weights.pacer().clone();
        async move {
            if rest.is_empty() {
                return None;
            }
            let slice = rest.split_to(rest.len().min(SLICE_BYTES));
            pacer.pace(slice.len()).await;
            Some((slice, rest))
        }
    });
    ByteStream(slices.boxed())
}
