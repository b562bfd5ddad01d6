//! Receives the body of a caller's request into memory that all requests share.

#[cfg(test)]
mod tests;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::request::buffer::{BufferBudget, BufferExceeded, LeasedBuffer};

/// Why a body wasn't received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFailure {
    /// It is larger than the configuration allows.
    TooLarge,
    /// It is invalid, or its connection has ended.
    Malformed,
    /// It needs more memory than is left for it.
    MemoryExceeded,
}

type Result<T> = std::result::Result<T, BodyFailure>;

impl From<BufferExceeded> for BodyFailure {
    fn from(_: BufferExceeded) -> Self {
        Self::MemoryExceeded
    }
}

/// Receives a body of at most `max_bytes`. Its memory is returned with the last copy of the bytes.
pub(crate) async fn receive_body<B>(
    mut body: B,
    max_bytes: usize,
    budget: &BufferBudget,
) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let announced = body.size_hint();
    let at_least = usize::try_from(announced.lower()).unwrap_or(usize::MAX);
    if at_least > max_bytes {
        return Err(BodyFailure::TooLarge);
    }
    let at_most = announced.upper().and_then(|upper| usize::try_from(upper).ok());
    let max_capacity = at_most.map_or(max_bytes, |upper| upper.min(max_bytes));
    let lease = budget.with_room_for(max_bytes).lease();
    lease.check(at_least)?;
    let mut received = LeasedBuffer::new(lease, max_capacity);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyFailure::Malformed)?.into_data() else { continue };
        if data.len() > max_bytes - received.len() {
            return Err(BodyFailure::TooLarge);
        }
        received.append(&data)?;
    }
    Ok(received.into_bytes())
}
