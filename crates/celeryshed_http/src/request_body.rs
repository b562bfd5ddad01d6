//! Body of a request to the server.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::EXPECT;

use crate::activity::ConnectionActivity;

/// Body of a request; the server receives what its handler leaves unread.
#[derive(Debug)]
pub struct RequestBody {
    /// None once the body was received completely, or failed.
    incoming: Option<Incoming>,
    /// Whether the caller sends the body only once the handler reads it.
    awaits_reader: bool,
    unread: UnreadBody,
    activity: ConnectionActivity,
}

/// What the handler of a request has left unread of its body.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnreadBody(Arc<Mutex<Option<Incoming>>>);

impl RequestBody {
    /// Passes the rest of the request's body on when the handler drops it.
    pub(crate) fn track(
        request: Request<Incoming>,
        activity: &ConnectionActivity,
    ) -> (Request<Self>, UnreadBody) {
        if !request.body().is_end_stream() {
            activity.begin_body();
        }
        let unread = UnreadBody::default();
        let awaits_reader = request.headers().contains_key(EXPECT);
        let request = request.map(|incoming| Self {
            incoming: Some(incoming),
            awaits_reader,
            unread: unread.clone(),
            activity: activity.clone(),
        });
        (request, unread)
    }
}

impl UnreadBody {
    /// Receives and drops the rest of the body.
    pub(crate) async fn discard(&self) {
        let rest = self.0.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(mut rest) = rest else { return };
        while let Some(Ok(_discarded)) = rest.frame().await {}
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        self.awaits_reader = false;
        let Some(incoming) = &mut self.incoming else { return Poll::Ready(None) };
        let frame = ready!(Pin::new(incoming).poll_frame(context));
        if !matches!(frame, Some(Ok(_))) {
            self.incoming = None;
        }
        // The handler may act on the last part without another read.
        if self.is_end_stream() {
            self.activity.end_body();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.as_ref().is_none_or(|incoming| incoming.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming
            .as_ref()
            .map_or_else(|| SizeHint::with_exact(0), |incoming| incoming.size_hint())
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if !self.is_end_stream() && !self.awaits_reader {
            let mut unread = self.unread.0.lock().unwrap_or_else(PoisonError::into_inner);
            *unread = self.incoming.take();
        }
    }
}
