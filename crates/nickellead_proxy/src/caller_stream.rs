//! Connection of a caller that counts as blocked while the socket's send buffer is full, and knows when
//! the bytes that it delivers had arrived.
//!
//! It delivers the bytes of one request at a time, and of each body only as much as the request waits for, so that
//! nothing queues in the HTTP library.
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
use std::time::{Duration, Instant, SystemTime};

use bytes::{Buf, BytesMut};
use nickellead_limit::HeldConnection;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::arrival::{ArrivalClock, ReadArrival, control_buffer, receive};
use crate::blank_line::BlankLineScanner;
use crate::connection_activity::{ConnectionActivity, ReadPhase};
use crate::connection_end::ConnectionEnd;
use crate::held_response::UnsentBytes;
use crate::serve::{HEAD_TIMEOUT, LINGER_TIME, ServeState};

/// Maximum number of bytes per read.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Bytes that a connection hands on before other connections have their turn.
const TURN_BYTES: usize = 32 * 1024;
/// Maximum number of bytes per read of a head. What follows a head is kept until it is wanted.
const MAX_HEAD_READ_BYTES: usize = 4 * 1024;
/// Bytes behind a request in progress that are read, by which the end of the connection is noticed.
const MAX_AHEAD_BYTES: usize = 4 * 1024;
/// Memory that an open HTTP/1 connection takes: its state and its buffers.
pub(crate) const CONNECTION_BYTES: usize = 32 * 1024;
/// Bytes of a head that are part of [`CONNECTION_BYTES`].
const HEAD_SHARE_BYTES: usize = 8 * 1024;
/// Steps in which the bytes of a longer head are counted.
const HEAD_STEP_BYTES: usize = 16 * 1024;
/// The buffer of a head grows by copying, and takes up to twice its length.
const HEAD_COPIES: usize = 2;
/// Maximum time from the first byte of a head to its last one. The HTTP library answers a first head that is late
/// before this time.
const HEAD_TIME: Duration = HEAD_TIMEOUT.saturating_add(Duration::from_secs(1));

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
    /// `None` for HTTP/2, which has windows.
    gate: Option<RequestGate>,
    /// Whether the library is to parse a head before it gets more bytes.
    is_paused: bool,
    /// Bytes handed on in this turn.
    turn_bytes: usize,
    /// Bytes of the head that is being read.
    head_bytes: usize,
    /// Number of heads that were read before it.
    heads_ended: u64,
    /// Ends when the head is late; exists while it is incomplete.
    head_timer: Option<Pin<Box<Sleep>>>,
    /// Ends when a connection is closed that the last response ended; exists from then on.
    linger_timer: Option<Pin<Box<Sleep>>>,
    /// The memory that the connection takes.
    held: HeldConnection,
}

/// Lets the HTTP library see one request at a time.
#[derive(Debug, Default)]
struct RequestGate {
    scanner: BlankLineScanner,
    /// Bytes that were read and not handed on.
    ahead: BytesMut,
}

impl RequestGate {
    /// Drops the first bytes that were put aside.
    fn drop_ahead(&mut self, bytes: usize) {
        self.ahead.advance(bytes);
        if self.ahead.is_empty() {
            self.ahead = BytesMut::new();
        }
    }
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
        held: HeldConnection,
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
            gate: is_http1.then(RequestGate::default),
            is_paused: false,
            turn_bytes: 0,
            head_bytes: 0,
            heads_ended: 0,
            head_timer: None,
            linger_timer: None,
            held,
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
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let size = bytes.len().min(MAX_READ_BYTES);
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            let (stream, control) = (&self.stream, &mut self.control);
            let unfilled = &mut bytes[..size];
            let received = stream.try_io(Interest::READABLE, || receive(stream, unfilled, control));
            match received {
                Ok(received) => {
                    // The end of a connection says nothing of the requests before it.
                    if received.length > 0 {
                        self.activity.record_bytes();
                        self.record_arrival(received.arrived);
                    }
                    return Poll::Ready(Ok(received.length));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.empty_at = Some(Instant::now());
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    /// Hands on what has arrived for the request in progress, or the next one if there is none.
    fn poll_phase(
        &mut self,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let phase = match self.gate {
            Some(_) => self.activity.phase(),
            None => return self.poll_receive(context, bytes),
        };
        if self.activity.begun() != self.heads_ended {
            self.heads_ended = self.activity.begun();
            self.end_head();
        }
        if phase == ReadPhase::Head && self.is_over() {
            return self.poll_receive(context, bytes);
        }
        let most = match phase {
            ReadPhase::Head => MAX_HEAD_READ_BYTES,
            ReadPhase::DeclaredBody(left) => {
                usize::try_from(left).unwrap_or(usize::MAX).min(self.activity.wanted())
            }
            ReadPhase::UndeclaredBody => self.activity.wanted(),
            ReadPhase::Later => 0,
        };
        if most == 0 {
            self.activity.register_reader(context);
            return match phase {
                ReadPhase::Later => self.poll_ahead(context),
                _ => Poll::Pending,
            };
        }
        let size = bytes.len().min(most);
        let handed_on = match self.take_ahead(phase, &mut bytes[..size]) {
            0 => {
                let received = ready!(self.poll_receive(context, &mut bytes[..size]))?;
                self.put_aside(phase, &bytes[..received])
            }
            taken => taken,
        };
        match phase {
            ReadPhase::Head => self.count_head(handed_on)?,
            _ => self.activity.record_handed_on(handed_on),
        }
        Poll::Ready(Ok(handed_on))
    }

    /// Number of bytes up to where a head or a body may end, after which no more are handed on until that is
    /// known.
    fn find_pause(&mut self, phase: ReadPhase, bytes: &[u8]) -> usize {
        let Some(gate) = &mut self.gate else { return bytes.len() };
        if matches!(phase, ReadPhase::DeclaredBody(_) | ReadPhase::Later) {
            gate.scanner = BlankLineScanner::default();
            return bytes.len();
        }
        let Some(end) = gate.scanner.find_end(bytes) else { return bytes.len() };
        match phase {
            // The library parses the head before it reads again.
            ReadPhase::Head => self.is_paused = true,
            // The request asks for more unless its body ends here.
            _ => self.activity.record_handed_on(usize::MAX),
        }
        end
    }

    /// Keeps what may not be handed on yet; returns the number of bytes before it.
    fn put_aside(&mut self, phase: ReadPhase, bytes: &[u8]) -> usize {
        let end = self.find_pause(phase, bytes);
        self.gate.iter_mut().for_each(|gate| gate.ahead.extend_from_slice(&bytes[end..]));
        end
    }

    /// Takes bytes that were put aside; returns how many.
    fn take_ahead(&mut self, phase: ReadPhase, bytes: &mut [u8]) -> usize {
        let Some(gate) = self.gate.as_mut().filter(|gate| !gate.ahead.is_empty()) else { return 0 };
        let size = gate.ahead.len().min(bytes.len());
        bytes[..size].copy_from_slice(&gate.ahead[..size]);
        let end = self.find_pause(phase, &bytes[..size]);
        self.gate.iter_mut().for_each(|gate| gate.drop_ahead(end));
        end
    }

    /// Whether bytes are put aside.
    fn has_ahead(&self) -> bool {
        self.gate.as_ref().is_some_and(|gate| !gate.ahead.is_empty())
    }

    /// Watches for the end of the connection behind a request in progress; the first bytes behind it are put
    /// aside.
    fn poll_ahead(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if self.has_ahead() {
            return Poll::Pending;
        }
        let mut bytes = [0; MAX_AHEAD_BYTES];
        let length = ready!(self.poll_receive(context, &mut bytes))?;
        if length == 0 {
            return Poll::Ready(Ok(0));
        }
        self.gate.iter_mut().for_each(|gate| gate.ahead.extend_from_slice(&bytes[..length]));
        Poll::Pending
    }

    /// Counts bytes of a head, which beyond the connection's share need room.
    fn count_head(&mut self, bytes: usize) -> io::Result<()> {
        self.head_bytes += bytes;
        let added =
            self.head_bytes.saturating_sub(HEAD_SHARE_BYTES).next_multiple_of(HEAD_STEP_BYTES);
        let needed = CONNECTION_BYTES + HEAD_COPIES * added;
        if added > 0 && self.held.resize(needed).is_err() {
            self.state.cut_heads.fetch_add(1, Ordering::Relaxed);
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        Ok(())
    }

    /// Returns what a complete head took.
    fn end_head(&mut self) {
        if self.head_bytes > 0 {
            self.head_bytes = 0;
            self.head_timer = None;
            // Fewer bytes always fit.
            let _ = self.held.resize(CONNECTION_BYTES);
        }
    }

    /// Whether a head has been incomplete for too long.
    fn is_head_late(&mut self, context: &mut Context<'_>) -> bool {
        if self.head_bytes == 0 || self.activity.phase() != ReadPhase::Head {
            return false;
        }
        let timer = self.head_timer.get_or_insert_with(|| Box::pin(sleep(HEAD_TIME)));
        timer.as_mut().poll(context).is_ready()
    }

    /// Whether the last response of the connection was given, so that nothing more of it is served.
    fn is_over(&self) -> bool {
        self.end.as_ref().is_some_and(ConnectionEnd::is_known)
    }

    /// Whether the caller has had enough time to read the last response of the connection, while it still
    /// sends what nobody reads.
    fn has_lingered(&mut self, context: &mut Context<'_>) -> bool {
        if !self.is_over() || self.activity.phase() != ReadPhase::Head {
            return false;
        }
        let timer = self.linger_timer.get_or_insert_with(|| Box::pin(sleep(LINGER_TIME)));
        timer.as_mut().poll(context).is_ready()
    }

    /// Hands on bytes unless it is the turn of other connections.
    fn poll_turn(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.has_lingered(context) {
            return Poll::Ready(Ok(()));
        }
        if std::mem::take(&mut self.is_paused) {
            // A caller that has left by now does not get its request served.
            let ahead = self.poll_ahead(context).map_ok(|_| ());
            if self.has_ahead() {
                context.waker().wake_by_ref();
            }
            return ahead;
        }
        if self.turn_bytes >= TURN_BYTES {
            self.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let bytes = buffer.initialize_unfilled();
        match self.poll_phase(context, bytes) {
            Poll::Ready(Ok(length)) => {
                self.turn_bytes += length;
                buffer.advance(length);
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                self.turn_bytes = 0;
                if self.activity.phase() != ReadPhase::Head {
                    self.end.iter().for_each(|end| end.register_reader(context));
                }
                match self.is_head_late(context) {
                    true => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
                    false => Poll::Pending,
                }
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
        let polled = self.poll_turn(context, buffer);
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
