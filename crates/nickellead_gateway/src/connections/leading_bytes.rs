//! A bound on the bytes that a target sends before the head of its response is complete.
//!
//! The HTTP client skips informational heads without a bound of its own.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes of one head: four times what callers may send by default.
pub(super) const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Most bytes that are read after a request was sent and before the head of its response is known: the
/// head, two reads of the body ahead of it, and informational heads.
const MAX_LEADING_BYTES: usize = 4 * MAX_HEAD_BYTES;

/// How many bytes one connection may still read before the head of a response is complete; no bound while
/// no head is due.
#[derive(Clone, Debug, Default)]
pub(super) struct LeadingBytes(Rc<Cell<Option<usize>>>);

impl LeadingBytes {
    /// Bounds what is read from now on, because a request is sent.
    pub(super) fn start(&self) {
        self.0.set(Some(MAX_LEADING_BYTES));
    }

    /// Removes the bound, because the head of the response is complete.
    pub(super) fn end(&self) {
        self.0.set(None);
    }

    /// Whether the bound was reached.
    pub(super) fn is_exhausted(&self) -> bool {
        self.0.get() == Some(0)
    }

    fn record_read(&self, bytes: usize) {
        self.0.set(self.0.get().map(|left| left.saturating_sub(bytes)));
    }
}

/// A connection that fails once its leading bytes are exhausted.
#[derive(Debug)]
pub(super) struct BoundedStream {
    stream: TcpStream,
    leading: LeadingBytes,
}

impl BoundedStream {
    pub(super) const fn new(stream: TcpStream, leading: LeadingBytes) -> Self {
        Self { stream, leading }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.leading.is_exhausted() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.leading.record_read(buffer.filled().len() - before);
        polled
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
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
