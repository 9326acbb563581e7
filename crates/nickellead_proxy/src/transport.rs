//! Connections to targets that tell a whole answer from one that broke off.
//!
//! The HTTP client ends an answer's body without an error when the connection
//! ends before the last chunk. A whole body ends before the connection's end is
//! read, so a body during whose last poll the end was read is not whole.

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
    /// Whether the poll under way on this thread read the end of a connection.
    static END_WAS_READ: Cell<bool> = const { Cell::new(false) };
}

/// Runs one poll and tells whether it read the end of a connection.
pub(crate) fn watch_end<T>(poll: impl FnOnce() -> T) -> (T, bool) {
    END_WAS_READ.set(false);
    let polled = poll();
    (polled, END_WAS_READ.get())
}

/// A connection that notes when its end is read.
#[derive(Debug)]
pub(crate) struct WatchedStream(TcpStream);

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let room = buffer.remaining() > 0;
        let polled = Pin::new(&mut self.0).poll_read(context, buffer);
        if room && matches!(polled, Poll::Ready(Ok(()))) && buffer.filled().len() == before {
            END_WAS_READ.set(true);
        }
        polled
    }
}

impl AsyncWrite for WatchedStream {
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

impl ActixStream for WatchedStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, context)
    }
}

/// Makes connections to targets for the HTTP client.
pub(crate) fn watched_connector()
-> impl Service<ConnectInfo<Uri>, Response = Connection<Uri, WatchedStream>, Error = ConnectError>
+ Clone
+ 'static {
    ConnectorService::default().map(|connection: Connection<Uri, TcpStream>| {
        let (stream, request) = connection.into_parts();
        // Without it small requests wait for acknowledgements; a failure only costs time.
        let _ = stream.set_nodelay(true);
        Connection::new(request, WatchedStream(stream))
    })
}
