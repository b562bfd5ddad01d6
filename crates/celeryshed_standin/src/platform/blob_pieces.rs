//! Bodies of blobs, paced by the link.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::ContentDigest;
use futures::StreamExt;
use futures::stream::unfold;

use super::blob_state::{BlobState, BodyFault};
use crate::reply::BodyStream;
use crate::steering::lock;

/// Size of the pieces of a body in bytes; replies that are sent at the same time alternate piece
/// by piece and so share the link evenly.
const PIECE_BYTES: usize = 16 * 1024;

struct PieceSender {
    state: Arc<Mutex<BlobState>>,
    digest: ContentDigest,
    fault: BodyFault,
    rest: Bytes,
    /// Bytes after which a cut or stalled body sends nothing more.
    until_fault: usize,
}

/// The body of one reply.
pub(super) fn paced_body(
    state: Arc<Mutex<BlobState>>,
    digest: ContentDigest,
    fault: BodyFault,
    content: Bytes,
) -> BodyStream {
    let until_fault = content.len() / 2;
    let sender = PieceSender { state, digest, fault, rest: content, until_fault };
    unfold(sender, PieceSender::next).boxed()
}

impl PieceSender {
    async fn next(mut self) -> Option<(std::io::Result<Bytes>, Self)> {
        if self.fault != BodyFault::None && self.until_fault == 0 {
            return self.end_early().await;
        }
        if self.rest.is_empty() {
            return None;
        }
        let piece = self.take_piece();
        let wait = lock(&self.state).reserve_link(piece.len());
        if wait > Duration::ZERO {
            tokio::time::sleep(wait).await;
        }
        if self.rest.is_empty() {
            lock(&self.state).count_copy(self.digest);
        }
        Some((Ok(piece), self))
    }

    fn take_piece(&mut self) -> Bytes {
        let mut size = self.rest.len().min(PIECE_BYTES);
        if self.fault != BodyFault::None {
            size = size.min(self.until_fault);
            self.until_fault -= size;
        }
        self.rest.split_to(size)
    }

    async fn end_early(self) -> Option<(std::io::Result<Bytes>, Self)> {
        if self.fault == BodyFault::Stall {
            std::future::pending::<()>().await;
        }
        Some((Err(std::io::Error::other("cut by fault")), self))
    }
}
