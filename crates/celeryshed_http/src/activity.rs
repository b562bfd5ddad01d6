//! Tracks what happens on an accepted connection.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The requests on a connection, and when it was used last; clones share the state.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionActivity(Arc<Mutex<ActivityState>>);

#[derive(Clone, Copy, Debug)]
struct ActivityState {
    /// Requests whose response bodies haven't ended.
    in_progress: usize,
    /// When the first byte of the next request arrived, until its head is complete.
    head_begun_at: Option<Instant>,
    /// When a request began whose body hasn't been received completely.
    body_begun_at: Option<Instant>,
    /// When the connection was opened, or the end of a response was last written to it.
    last_used_at: Instant,
    /// Since when a response waits for its caller to receive the part before; none if it doesn't.
    write_blocked_at: Option<Instant>,
}

impl ConnectionActivity {
    /// The activity of a connection that was just opened.
    pub(crate) fn open() -> Self {
        let last_used_at = Instant::now();
        let state = ActivityState {
            in_progress: 0,
            head_begun_at: None,
            body_begun_at: None,
            last_used_at,
            write_blocked_at: None,
        };
        Self(Arc::new(Mutex::new(state)))
    }

    /// Begins a request, which is in progress until the guard is dropped.
    pub(crate) fn begin(&self) -> RequestGuard {
        let mut state = self.state();
        state.in_progress += 1;
        state.head_begun_at = None;
        RequestGuard(self.clone())
    }

    /// When the connection was last used; `None` while a request is in progress, or its response is
    /// being received. An incomplete request head is a use from its first byte on.
    pub(crate) fn idle_since(&self) -> Option<Instant> {
        let state = self.state();
        (state.in_progress == 0 && state.write_blocked_at.is_none())
            .then(|| state.head_begun_at.unwrap_or(state.last_used_at))
    }

    /// Since when the caller has received nothing of a response that has ended; `None` while a
    /// request is in progress, or nothing waits to be received.
    pub(crate) fn unreceived_since(&self) -> Option<Instant> {
        let state = self.state();
        state.write_blocked_at.filter(|_| state.in_progress == 0)
    }

    /// The body of the request in progress begins.
    pub(crate) fn begin_body(&self) {
        self.state().body_begun_at = Some(Instant::now());
    }

    /// The body of the request in progress was received, or nobody waits for it.
    pub(crate) fn end_body(&self) {
        self.state().body_begun_at = None;
    }

    /// Since when a request waits for the rest of its body.
    pub(crate) fn body_begun_at(&self) -> Option<Instant> {
        self.state().body_begun_at
    }

    /// Whether the next request has arrived in part.
    pub(crate) fn has_unfinished_head(&self) -> bool {
        self.state().head_begun_at.is_some()
    }

    fn received(&self) {
        let mut state = self.state();
        if state.in_progress == 0 {
            state.head_begun_at.get_or_insert_with(Instant::now);
        }
    }

    fn written<T>(&self, written: &Poll<T>) {
        let mut state = self.state();
        let now = Instant::now();
        match written {
            Poll::Pending => {
                state.write_blocked_at.get_or_insert(now);
            }
            Poll::Ready(_) => {
                state.write_blocked_at = None;
                state.last_used_at = now;
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, ActivityState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct RequestGuard(ConnectionActivity);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.in_progress -= 1;
        state.last_used_at = Instant::now();
    }
}

/// Body of a response; its request is in progress until the body was sent.
#[derive(Debug)]
pub(crate) struct TrackedBody<B> {
    body: B,
    _guard: RequestGuard,
}

impl<B> TrackedBody<B> {
    pub(crate) fn new(body: B, guard: RequestGuard) -> Self {
        Self { body, _guard: guard }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for TrackedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A TCP stream that reports its use.
#[derive(Debug)]
pub(crate) struct TrackedStream {
    stream: TcpStream,
    activity: ConnectionActivity,
}

impl TrackedStream {
    pub(crate) fn new(stream: TcpStream, activity: ConnectionActivity) -> Self {
        Self { stream, activity }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > filled {
            self.activity.received();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.activity.written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.activity.written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
