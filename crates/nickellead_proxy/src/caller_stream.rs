//! Connection of a caller that counts as blocked while the socket's send buffer is full, and knows when
//! the bytes that it delivers had arrived.
//!
//! The system transmits bytes in the send buffer even after the process has ended. Bytes that did
//! not fit are lost with the process.

use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};
use std::time::{Instant, SystemTime};

use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::arrival::{ArrivalClock, ReadArrival, control_buffer, receive};
use crate::connection_activity::ConnectionActivity;
use crate::connection_end::ConnectionEnd;
use crate::held_response::UnsentBytes;
use crate::serve::ServeState;

/// Maximum number of bytes per read.
const MAX_READ_BYTES: usize = 16 * 1024;

/// Connection of a caller, counted while its last write is pending.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    state: Arc<ServeState>,
    /// Whether this connection is counted as blocked.
    is_blocked: bool,
    /// Ends when the caller has taken nothing for too long; exists while a write is pending.
    stall_timer: Option<Pin<Box<Sleep>>>,
    /// Bytes in the connection's write buffer; `None` for HTTP/2.
    unsent: Option<UnsentBytes>,
    /// Whether the caller still reads responses; `None` for HTTP/2.
    end: Option<ConnectionEnd>,
    activity: ConnectionActivity,
    arrival: ReadArrival,
    clock: Rc<ArrivalClock>,
    /// When the system last said that the connection holds no unread bytes.
    empty_at: Option<Instant>,
    /// What the system tells beside the bytes of a read.
    control: Vec<u8>,
}

impl CallerStream {
    /// Wraps a connection that is not blocked, and was not open before `opened_after`, if that is
    /// known.
    pub(crate) fn new(
        stream: TcpStream,
        state: Arc<ServeState>,
        is_http1: bool,
        activity: ConnectionActivity,
        clock: Rc<ArrivalClock>,
        opened_after: Option<Instant>,
    ) -> Self {
        Self {
            stream,
            state,
            is_blocked: false,
            stall_timer: None,
            unsent: is_http1.then(UnsentBytes::default),
            end: is_http1.then(ConnectionEnd::default),
            activity,
            arrival: ReadArrival::new(),
            clock,
            empty_at: opened_after,
            control: control_buffer(),
        }
    }

    /// What happens on the connection.
    pub(crate) fn activity(&self) -> &ConnectionActivity {
        &self.activity
    }

    /// When the bytes that were last read had arrived.
    pub(crate) fn arrival(&self) -> &ReadArrival {
        &self.arrival
    }

    /// Reads what has arrived, and records when it did.
    fn poll_receive(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let size = buffer.remaining().min(MAX_READ_BYTES);
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            let (stream, control) = (&self.stream, &mut self.control);
            let unfilled = buffer.initialize_unfilled_to(size);
            let received = stream.try_io(Interest::READABLE, || receive(stream, unfilled, control));
            match received {
                Ok(received) => {
                    buffer.advance(received.length);
                    // The end of a connection says nothing of the requests before it.
                    if received.length > 0 {
                        self.activity.record_bytes();
                        self.record_arrival(received.arrived);
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.empty_at = Some(Instant::now());
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn record_arrival(&self, arrived: Option<SystemTime>) {
        let now = Instant::now();
        let empty_for = self.empty_at.map(|at| now.saturating_duration_since(at));
        let unread = arrived
            .map(|arrived| self.clock.unread_time(now, SystemTime::now(), arrived, empty_for));
        self.arrival.set(now.checked_sub(unread.unwrap_or_default()).unwrap_or(now));
    }

    /// Bytes in the connection's write buffer; `None` for HTTP/2.
    pub(crate) fn unsent(&self) -> Option<&UnsentBytes> {
        self.unsent.as_ref()
    }

    /// Whether the caller still reads responses; `None` for HTTP/2.
    pub(crate) fn end(&self) -> Option<&ConnectionEnd> {
        self.end.as_ref()
    }

    fn set_blocked(&mut self, is_blocked: bool) {
        if is_blocked == self.is_blocked {
            return;
        }
        self.is_blocked = is_blocked;
        self.activity.set_blocked(is_blocked);
        match is_blocked {
            true => self.state.blocked.fetch_add(1, Ordering::Relaxed),
            false => self.state.blocked.fetch_sub(1, Ordering::Relaxed),
        };
    }

    /// Evaluates a write of `length` bytes: fails it if the caller reads too slowly.
    fn after_write(
        &mut self,
        polled: Poll<io::Result<usize>>,
        length: usize,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        self.set_blocked(polled.is_pending());
        let is_cut = match &polled {
            Poll::Pending => self.is_stalled(context) || self.must_give_way(),
            Poll::Ready(written) => {
                self.activity.record_bytes();
                self.stall_timer = None;
                if written.as_ref().is_ok_and(|written| *written == length) {
                    self.unsent.iter().for_each(UnsentBytes::clear);
                }
                false
            }
        };
        if is_cut {
            self.state.stalled.fetch_add(1, Ordering::Relaxed);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        polled
    }

    /// Whether the caller has taken nothing for too long.
    fn is_stalled(&mut self, context: &mut Context<'_>) -> bool {
        let Some(timeout) = self.state.stall_timeout else { return false };
        let timer = self.stall_timer.get_or_insert_with(|| Box::pin(sleep(timeout)));
        timer.as_mut().poll(context).is_ready()
    }

    /// Whether the caller takes its response so slowly that others need the memory.
    fn must_give_way(&self) -> bool {
        let Some(timeout) = self.state.stall_timeout else { return false };
        self.unsent.as_ref().is_some_and(|unsent| unsent.must_give_way(timeout))
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
        let filled_before = buffer.filled().len();
        let polled = self.poll_receive(context, buffer);
        let has_left = match &polled {
            Poll::Pending => false,
            Poll::Ready(Ok(())) => buffer.filled().len() == filled_before,
            Poll::Ready(Err(_)) => true,
        };
        if has_left {
            self.end.iter().for_each(ConnectionEnd::record);
        }
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.after_write(polled, bytes.len(), context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        let length = buffers.iter().map(|buffer| buffer.len()).sum();
        self.after_write(polled, length, context)
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
