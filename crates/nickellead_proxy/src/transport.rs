//! Connections to targets that distinguish complete from truncated responses and can be retired.
//!
//! The HTTP client ends a response body without an error if the connection ends before the last
//! chunk. A complete body ends before the end of the connection is read, so a body is truncated if
//! its last poll read the end of the connection.
//!
//! The client returns a connection to its pool as soon as a response without a body is read. If that
//! response answers another request, the one that is due is still to come there, so the connection must
//! not be used again. It is closed, because more bytes than that response may still come there.

use std::cell::{Cell, RefCell, RefMut};
use std::io;
use std::net::Shutdown;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, ServiceExt};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, ConnectorService};
use awc::http::Uri;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

thread_local! {
    /// What the current poll on this thread has read.
    static POLL_READS: Cell<PollReads> = const { Cell::new(PollReads { has_eof: false, bytes: 0 }) };
    /// The connection that the current poll on this thread read last.
    static LAST_READ: RefCell<Option<ConnectionHandle>> = const { RefCell::new(None) };
}

/// What one poll read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PollReads {
    /// Whether it read the end of a connection.
    pub(crate) has_eof: bool,
    /// Number of bytes that it read.
    pub(crate) bytes: usize,
}

/// Refers to an open connection.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionHandle {
    is_retired: Rc<Cell<bool>>,
    /// A handle does not keep the connection open.
    stream: Weak<RefCell<TcpStream>>,
}

impl ConnectionHandle {
    /// Closes the connection, which the client's pool may still hold.
    pub(crate) fn retire(&self) {
        self.is_retired.set(true);
        if let Some(stream) = self.stream.upgrade() {
            // Fails only if the target has closed the connection.
            let _ = SockRef::from(&*stream.borrow()).shutdown(Shutdown::Both);
        }
    }
}

/// Completes an exchange; returns with its result the connection that it read last.
pub(crate) async fn observe_connection<T>(
    exchange: impl Future<Output = T>,
) -> (T, Option<ConnectionHandle>) {
    let mut exchange = pin!(exchange);
    std::future::poll_fn(|context| {
        LAST_READ.take();
        let polled = exchange.as_mut().poll(context);
        let last_read = LAST_READ.take();
        polled.map(|result| (result, last_read))
    })
    .await
}

/// Runs one poll and returns what it read.
pub(crate) fn observe_reads<T>(poll: impl FnOnce() -> T) -> (T, PollReads) {
    POLL_READS.set(PollReads::default());
    let polled = poll();
    (polled, POLL_READS.get())
}

/// Connection that records when it and its end are read, and that fails once it is retired.
#[derive(Debug)]
pub(crate) struct ObservedStream {
    stream: Rc<RefCell<TcpStream>>,
    handle: ConnectionHandle,
}

impl ObservedStream {
    fn new(stream: TcpStream) -> Self {
        let stream = Rc::new(RefCell::new(stream));
        let handle = ConnectionHandle { is_retired: Rc::default(), stream: Rc::downgrade(&stream) };
        Self { stream, handle }
    }

    fn stream(&self) -> RefMut<'_, TcpStream> {
        self.stream.borrow_mut()
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // The client's pool reads from a connection before it uses it again.
        if self.handle.is_retired.get() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        LAST_READ.set(Some(self.handle.clone()));
        let before = buffer.filled().len();
        let has_capacity = buffer.remaining() > 0;
        let polled = Pin::new(&mut *self.stream()).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        let is_eof = has_capacity && matches!(polled, Poll::Ready(Ok(()))) && bytes == 0;
        let reads = POLL_READS.get();
        POLL_READS.set(PollReads { has_eof: reads.has_eof || is_eof, bytes: reads.bytes + bytes });
        polled
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.stream()).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream()).poll_shutdown(context)
    }
}

impl ActixStream for ObservedStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&*self.stream(), context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&*self.stream(), context)
    }
}

/// Connector of the HTTP client for connections to targets.
pub(crate) fn observed_connector()
-> impl Service<ConnectInfo<Uri>, Response = Connection<Uri, ObservedStream>, Error = ConnectError>
+ Clone
+ 'static {
    ConnectorService::default().map(|connection: Connection<Uri, TcpStream>| {
        let (stream, request) = connection.into_parts();
        // Nagle's algorithm would delay small requests; a failure only adds latency.
        let _ = stream.set_nodelay(true);
        Connection::new(request, ObservedStream::new(stream))
    })
}
