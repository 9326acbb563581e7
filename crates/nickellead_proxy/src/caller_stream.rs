//! A caller's connection that shows whether bytes of answers wait in this process.
//!
//! An answer that was written whole is the system's: it leaves also after the
//! process has ended. What the system had no room for is lost with the process.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection of a caller, counted while its last write found no room.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    /// Shared by all connections.
    waiting: Arc<AtomicUsize>,
    /// Whether this one is counted.
    waits: bool,
}

impl CallerStream {
    /// A connection on which nothing waits yet.
    pub(crate) fn new(stream: TcpStream, waiting: Arc<AtomicUsize>) -> Self {
        Self { stream, waiting, waits: false }
    }

    fn note(&mut self, waits: bool) {
        if waits == self.waits {
            return;
        }
        self.waits = waits;
        match waits {
            true => self.waiting.fetch_add(1, Ordering::Relaxed),
            false => self.waiting.fetch_sub(1, Ordering::Relaxed),
        };
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.note(false);
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
        self.note(polled.is_pending());
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, pieces);
        self.note(polled.is_pending());
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
