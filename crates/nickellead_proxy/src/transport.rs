//! Connections to targets that distinguish complete from truncated responses.
//!
//! The HTTP client ends a response body without an error if the connection ends before the last
//! chunk. A complete body ends before the end of the connection is read, so a body is truncated if
//! its last poll read the end of the connection.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, ServiceExt};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, ConnectorService};
use awc::http::Uri;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

thread_local! {
    /// Whether the current poll on this thread read the end of a connection.
    static EOF_WAS_READ: Cell<bool> = const { Cell::new(false) };
}

/// Runs one poll and returns whether it read the end of a connection.
pub(crate) fn observe_eof<T>(poll: impl FnOnce() -> T) -> (T, bool) {
    EOF_WAS_READ.set(false);
    let polled = poll();
    (polled, EOF_WAS_READ.get())
}

/// Connection that records when its end is read.
#[derive(Debug)]
pub(crate) struct EofAwareStream(TcpStream);

impl AsyncRead for EofAwareStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let has_capacity = buffer.remaining() > 0;
        let polled = Pin::new(&mut self.0).poll_read(context, buffer);
        if has_capacity && matches!(polled, Poll::Ready(Ok(()))) && buffer.filled().len() == before
        {
            EOF_WAS_READ.set(true);
        }
        polled
    }
}

impl AsyncWrite for EofAwareStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}

impl ActixStream for EofAwareStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, context)
    }
}

/// Connector of the HTTP client for connections to targets.
pub(crate) fn eof_aware_connector()
-> impl Service<ConnectInfo<Uri>, Response = Connection<Uri, EofAwareStream>, Error = ConnectError>
+ Clone
+ 'static {
    ConnectorService::default().map(|connection: Connection<Uri, TcpStream>| {
        let (stream, request) = connection.into_parts();
        // Nagle's algorithm would delay small requests; a failure only adds latency.
        let _ = stream.set_nodelay(true);
        Connection::new(request, EofAwareStream(stream))
    })
}
