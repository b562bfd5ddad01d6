//! Bodies of blob replies, sent at the rate of the link.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::ContentDigest;
use futures::StreamExt;
use futures::stream::unfold;

use super::blob_state::{BlobState, BodyFault};
use crate::faults::lock;
use crate::reply::BodyStream;

/// Size in bytes of the pieces into which a body is split. Concurrent replies alternate piece by
/// piece, so they share the link evenly.
const PIECE_BYTES: usize = 16 * 1024;

struct PieceSender {
    state: Arc<Mutex<BlobState>>,
    digest: ContentDigest,
    fault: BodyFault,
    remaining: Bytes,
    /// Bytes that a truncated or stalled body still sends.
    bytes_until_fault: usize,
}

/// Creates the body of one reply; the first half is sent before `fault` takes effect.
pub(super) fn paced_body(
    state: Arc<Mutex<BlobState>>,
    digest: ContentDigest,
    fault: BodyFault,
    content: Bytes,
) -> BodyStream {
    let bytes_until_fault = content.len() / 2;
    let sender = PieceSender { state, digest, fault, remaining: content, bytes_until_fault };
    unfold(sender, PieceSender::next).boxed()
}

impl PieceSender {
    async fn next(mut self) -> Option<(std::io::Result<Bytes>, Self)> {
        if self.fault != BodyFault::None && self.bytes_until_fault == 0 {
            return self.stall_or_truncate().await;
        }
        if self.remaining.is_empty() {
            return None;
        }
        let piece = self.take_piece();
        let wait = lock(&self.state).reserve_link(piece.len());
        if wait > Duration::ZERO {
            tokio::time::sleep(wait).await;
        }
        if self.remaining.is_empty() {
            lock(&self.state).count_copy(self.digest);
        }
        Some((Ok(piece), self))
    }

    fn take_piece(&mut self) -> Bytes {
        let mut size = self.remaining.len().min(PIECE_BYTES);
        if self.fault != BodyFault::None {
            size = size.min(self.bytes_until_fault);
            self.bytes_until_fault -= size;
        }
        self.remaining.split_to(size)
    }

    async fn stall_or_truncate(self) -> Option<(std::io::Result<Bytes>, Self)> {
        if self.fault == BodyFault::Stalled {
            std::future::pending::<()>().await;
        }
        Some((Err(std::io::Error::other("cut by fault")), self))
    }
}
