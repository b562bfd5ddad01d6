//! Bodies of the answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The stream broke off and could not be resumed, or its time limit passed. The error closes the
/// caller's connection, so that the answer doesn't look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the event stream ended before its last event")]
pub(crate) struct StreamBroken;

/// Body of an answer to a caller.
#[derive(Debug)]
pub(crate) enum GatewayBody {
    /// A complete body; none once it was sent, or if it is empty.
    Whole(Option<Bytes>),
    /// Events, forwarded as they arrive.
    Events(mpsc::Receiver<Result<Bytes, StreamBroken>>),
}

impl GatewayBody {
    /// A complete body, which may be empty.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()).filter(|bytes| !bytes.is_empty()))
    }
}

impl Default for GatewayBody {
    fn default() -> Self {
        Self::whole("")
    }
}

impl Body for GatewayBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Events(events) => {
                events.poll_recv(context).map(|event| event.map(|event| event.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Events(_) => SizeHint::default(),
        }
    }
}
