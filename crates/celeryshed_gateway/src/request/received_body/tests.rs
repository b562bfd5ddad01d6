//! Bodies that callers send.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame};

use super::{BodyFailure, receive_body};
use crate::request::buffer::{BufferBudget, LeaseRule};

const MAX_BODY_BYTES: usize = 1000;

/// A body without a length, in chunks of one byte that share a large buffer.
struct ChunkedBody(Bytes);

impl Body for ChunkedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let is_empty = self.0.is_empty();
        Poll::Ready((!is_empty).then(|| Ok(Frame::data(self.0.split_to(1)))))
    }
}

fn chunked(length: usize) -> ChunkedBody {
    ChunkedBody(Bytes::from(vec![b'x'; length]))
}

fn whole(length: usize) -> Full<Bytes> {
    Full::new(Bytes::from(vec![b'x'; length]))
}

#[tokio::test]
async fn bodies_up_to_the_limit_are_received() {
    let budget = BufferBudget::new(MAX_BODY_BYTES, LeaseRule::FreeShare);
    for length in [0, 1, MAX_BODY_BYTES] {
        let sent = Bytes::from(vec![b'x'; length]);
        let received = receive_body(whole(length), MAX_BODY_BYTES, &budget).await;
        assert_eq!(received, Ok(sent.clone()));
        drop(received);
        let received = receive_body(chunked(length), MAX_BODY_BYTES, &budget).await;
        assert_eq!(received, Ok(sent));
    }
    let length = MAX_BODY_BYTES + 1;
    let failed = receive_body(whole(length), MAX_BODY_BYTES, &budget).await;
    assert_eq!(failed, Err(BodyFailure::TooLarge));
    let failed = receive_body(chunked(length), MAX_BODY_BYTES, &budget).await;
    assert_eq!(failed, Err(BodyFailure::TooLarge));
}

/// Guards against memory that is returned while a copy of the body still takes it.
#[tokio::test]
async fn memory_is_kept_until_the_last_copy_is_dropped() {
    let budget = BufferBudget::new(2 * MAX_BODY_BYTES, LeaseRule::FreeShare);
    let held = receive_body(whole(MAX_BODY_BYTES), MAX_BODY_BYTES, &budget).await.unwrap();
    let copy = held.clone();
    drop(held);
    let failed = receive_body(whole(MAX_BODY_BYTES), MAX_BODY_BYTES, &budget).await;
    assert_eq!(failed, Err(BodyFailure::MemoryExceeded));
    let failed = receive_body(chunked(MAX_BODY_BYTES), MAX_BODY_BYTES, &budget).await;
    assert_eq!(failed, Err(BodyFailure::MemoryExceeded));
    assert!(receive_body(whole(MAX_BODY_BYTES / 2), MAX_BODY_BYTES, &budget).await.is_ok());
    drop(copy);
    assert!(receive_body(whole(MAX_BODY_BYTES), MAX_BODY_BYTES, &budget).await.is_ok());
}
