//! Connection of a caller that counts as blocked while the socket's send buffer is full.
//!
//! The system transmits bytes in the send buffer even after the process has ended. Bytes that did
//! not fit are lost with the process.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Connection of a caller, counted while its last write is pending.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    /// Number of blocked connections; shared by all connections.
    blocked: Arc<AtomicUsize>,
    /// Whether this connection is counted.
    is_blocked: bool,
}

impl CallerStream {
    /// Wraps a connection that is not blocked.
    pub(crate) fn new(stream: TcpStream, blocked: Arc<AtomicUsize>) -> Self {
        Self { stream, blocked, is_blocked: false }
    }

    fn set_blocked(&mut self, is_blocked: bool) {
        if is_blocked == self.is_blocked {
            return;
        }
        self.is_blocked = is_blocked;
        match is_blocked {
            true => self.blocked.fetch_add(1, Ordering::Relaxed),
            false => self.blocked.fetch_sub(1, Ordering::Relaxed),
        };
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.set_blocked(false);
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.set_blocked(polled.is_pending());
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.set_blocked(polled.is_pending());
        polled
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
