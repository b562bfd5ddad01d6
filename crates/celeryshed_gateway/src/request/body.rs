//! Bodies of the answers to callers.

#[cfg(test)]
mod tests;

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};

/// Number of event batches that may wait for a slow caller.
const EVENT_BUFFER_LEN: usize = 16;
/// Bytes of these batches. A larger batch waits alone.
const EVENT_BUFFER_BYTES: u32 = 64 * 1024;

/// The stream ended before it was complete. The error closes the caller's connection, so that the
/// answer doesn't look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the event stream ended before its last event")]
pub(crate) struct StreamBroken;

/// The caller's connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the caller has disconnected")]
pub(crate) struct CallerDisconnected;

/// Body of an answer to a caller.
#[derive(Debug)]
pub(crate) enum GatewayBody {
    /// A complete body; none once it was sent, or if it is empty.
    Whole(Option<Bytes>),
    /// Events, forwarded as they arrive.
    Events(EventReceiver),
}

impl GatewayBody {
    /// A complete body, which may be empty.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()).filter(|bytes| !bytes.is_empty()))
    }

    /// A body of events, and the sender for them.
    pub(crate) fn events() -> (EventSender, Self) {
        let (events, event_receiver) = mpsc::channel(EVENT_BUFFER_LEN);
        let (completion, completion_receiver) = oneshot::channel();
        let room = Arc::new(Semaphore::new(EVENT_BUFFER_BYTES as usize));
        let receiver = EventReceiver { events: event_receiver, completion: completion_receiver };
        (EventSender { events, room, completion }, Self::Events(receiver))
    }
}

/// Whole events that wait for the caller.
#[derive(Debug)]
struct EventBatch {
    bytes: Bytes,
    _room: OwnedSemaphorePermit,
}

/// Sends the events of a stream to its caller. The stream is broken off if the sender is dropped
/// before [`EventSender::complete`].
#[derive(Debug)]
pub(crate) struct EventSender {
    events: mpsc::Sender<EventBatch>,
    /// A permit for each byte that may still wait.
    room: Arc<Semaphore>,
    completion: oneshot::Sender<()>,
}

impl EventSender {
    /// Sends a batch of whole events; waits while the caller is too slow to receive them.
    pub(crate) async fn send(&self, batch: Bytes) -> Result<(), CallerDisconnected> {
        let length = u32::try_from(batch.len()).unwrap_or(u32::MAX).min(EVENT_BUFFER_BYTES);
        let room = tokio::select! {
            room = self.room.clone().acquire_many_owned(length) => room,
            () = self.events.closed() => return Err(CallerDisconnected),
        };
        let room = room.map_err(|_closed| CallerDisconnected)?;
        let batch = EventBatch { bytes: batch, _room: room };
        self.events.send(batch).await.map_err(|_unsent| CallerDisconnected)
    }

    /// Waits until the caller has disconnected.
    pub(crate) async fn closed(&self) {
        self.events.closed().await;
    }

    /// Marks the stream as complete. Batches that were sent before still reach the caller.
    pub(crate) fn complete(self) {
        // The caller may have disconnected.
        let _ = self.completion.send(());
    }
}

/// Receives the events of a stream.
#[derive(Debug)]
pub(crate) struct EventReceiver {
    events: mpsc::Receiver<EventBatch>,
    /// Resolves to an error if the stream is broken off.
    completion: oneshot::Receiver<()>,
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
        let body = self.get_mut();
        match body {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Events(receiver) => {
                if let Some(batch) = ready!(receiver.events.poll_recv(context)) {
                    return Poll::Ready(Some(Ok(Frame::data(batch.bytes))));
                }
                let completion = ready!(Pin::new(&mut receiver.completion).poll(context));
                *body = Self::Whole(None);
                Poll::Ready(completion.err().map(|_dropped| Err(StreamBroken)))
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
