//! Resets a connection that ends before its exchange is complete.
//!
//! A close would still deliver the request, for instance when a link is restored, and its peer
//! would work on it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a request was sent whose response is not complete; clones share the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExchangeState(Arc<AtomicBool>);

impl ExchangeState {
    pub(crate) fn begin(&self) {
        self.0.store(true, Ordering::Release);
    }

    pub(crate) fn is_incomplete(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    fn complete(&self) {
        self.0.store(false, Ordering::Release);
    }
}

/// Body of a response; the exchange is complete once it was read to its end.
#[derive(Debug)]
pub struct ResponseBody {
    incoming: Incoming,
    state: ExchangeState,
}

impl ResponseBody {
    pub(crate) fn new(incoming: Incoming, state: ExchangeState) -> Self {
        let body = Self { incoming, state };
        body.update_state();
        body
    }

    fn update_state(&self) {
        if self.incoming.is_end_stream() {
            self.state.complete();
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context));
        match &frame {
            None => self.state.complete(),
            Some(Ok(_)) => self.update_state(),
            Some(Err(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// A TCP stream that is reset instead of closed while the exchange is incomplete.
#[derive(Debug)]
pub(crate) struct ExchangeStream {
    stream: TcpStream,
    state: ExchangeState,
}

impl ExchangeStream {
    pub(crate) fn new(stream: TcpStream, state: ExchangeState) -> Self {
        Self { stream, state }
    }
}

impl Drop for ExchangeStream {
    fn drop(&mut self) {
        if self.state.is_incomplete() {
            // If the option can't be set, the connection is closed instead.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for ExchangeStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ExchangeStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.state.is_incomplete() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
