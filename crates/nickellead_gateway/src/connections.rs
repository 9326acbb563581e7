//! The pool of HTTP/1 connections to one target.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::{TrySendError, http1};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::RepeatClass;
use crate::sent_body::SentBody;

mod carried_ids;
mod leading_bytes;

use carried_ids::CarriedIds;
pub(crate) use carried_ids::IdDigest;
use leading_bytes::{BoundedStream, LeadingBytes, MAX_HEAD_BYTES};

/// Sends requests over one connection.
type RequestSender = http1::SendRequest<SentBody>;

/// A failed request; the request itself if not a byte of it was sent.
pub(crate) type SendFailure = TrySendError<Request<SentBody>>;

/// Longest time that a connection stays idle in the pool, below the usual idle timeout of targets.
const MAX_IDLE_TIME: Duration = Duration::from_millis(8_500);
/// How long before the target's idle timeout a connection is no longer reused.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_200);
/// Longest idle time of a connection that is reused for a request that must not be repeated.
///
/// If the target closes an idle connection while a request is sent, its outcome is unknown.
const MAX_IDLE_TIME_UNSAFE: Duration = Duration::from_millis(4_000);
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Consecutive connect timeouts after which a target counts as unreachable.
const UNREACHABLE_TIMEOUTS: u32 = 2;
/// Interval between connection attempts to an unreachable target; other requests fail at once.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// `TCP_USER_TIMEOUT`: how long sent data may stay unacknowledged before the connection fails.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection on which a request can be sent.
pub(crate) struct ReadyConnection {
    stream: OpenStream,
    /// Whether an earlier request used it.
    pub(crate) reused: bool,
    /// Ids of the requests that used it.
    carried: CarriedIds,
}

impl ReadyConnection {
    fn new(stream: OpenStream) -> Self {
        Self { stream, reused: false, carried: CarriedIds::default() }
    }

    /// Sends a request and waits for the head of its response.
    pub(crate) async fn send(
        &mut self,
        request: Request<SentBody>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.stream.leading.start();
        let response = self.stream.sender.try_send_request(request).await?;
        self.stream.leading.end();
        Ok(response)
    }

    /// Whether a request failed because what the target sent is no head, or more than a head may be.
    pub(crate) fn is_head_malformed(&self, failure: &SendFailure) -> bool {
        self.stream.leading.is_exhausted() || failure.error().is_parse()
    }

    /// Records that a request with this id is sent.
    pub(crate) fn record_sent(&mut self, id: IdDigest) {
        self.carried.insert(id);
    }
}

/// An open connection to a target.
struct OpenStream {
    sender: RequestSender,
    leading: LeadingBytes,
}

struct IdleConnection {
    stream: OpenStream,
    carried: CarriedIds,
    since: Instant,
    idle_timeout: Duration,
}

/// How a connection is closed when it is dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum CloseMode {
    /// Data in the send buffer is still delivered.
    #[default]
    Graceful,
    /// The connection is reset, which discards unsent data.
    Reset,
}

/// Idle connections to one target and the state of its reachability.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    close: CloseMode,
    idle: RefCell<Vec<IdleConnection>>,
    opened: Cell<u64>,
    /// Consecutive connect timeouts.
    consecutive_timeouts: Cell<u32>,
    /// When the last connection attempt began.
    last_attempt: Cell<Option<Instant>>,
}

/// Why no connection was established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectFailure {
    /// No process listens at the address.
    Refused,
    /// The connection failed before any byte of the request was sent, as when the target has too
    /// many.
    Broken,
    /// This VM could not open a connection, as when it has too many.
    Unopened,
    /// The address did not respond within [`CONNECT_TIMEOUT`] or the time that the caller waits.
    TimedOut,
    /// The attempt was given up because the target's availability zone went out of reach.
    OutOfReach,
}

impl ConnectFailure {
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "connection-refused",
            Self::Broken | Self::Unopened => "connection-broken",
            Self::TimedOut => "connection-silent",
            Self::OutOfReach => "zone-out-of-reach",
        }
    }
}

impl From<ErrorKind> for ConnectFailure {
    /// Why opening a connection failed with this error.
    fn from(kind: ErrorKind) -> Self {
        match kind {
            ErrorKind::ConnectionRefused => Self::Refused,
            ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::TimedOut => Self::Broken,
            _ => Self::Unopened,
        }
    }
}

impl ConnectionPool {
    /// An empty pool.
    pub(crate) fn new(close: CloseMode) -> Self {
        Self { close, ..Self::default() }
    }

    /// Takes the most recently used idle connection that has not carried `id`, or opens a new one. Without
    /// an id, any idle connection does.
    pub(crate) async fn take(
        &self,
        address: SocketAddr,
        timeout: Duration,
        repeat: RepeatClass,
        id: Option<IdDigest>,
    ) -> Result<ReadyConnection, ConnectFailure> {
        match self.take_idle(repeat, id) {
            Some(connection) => Ok(connection),
            None => self.open_new(address, timeout).await,
        }
    }

    /// Opens a connection; fails at once while the target is unreachable and no probe is due.
    pub(crate) async fn open_new(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<ReadyConnection, ConnectFailure> {
        if self.is_unreachable() {
            return Err(ConnectFailure::TimedOut);
        }
        self.record_opening();
        let is_full_timeout = timeout >= CONNECT_TIMEOUT;
        let opening = tokio::time::timeout(timeout.min(CONNECT_TIMEOUT), open(address, self.close));
        let opened = opening.await;
        match &opened {
            Ok(_) => self.consecutive_timeouts.set(0),
            // A timeout shorter than CONNECT_TIMEOUT does not show that the target is unreachable.
            Err(_) => self
                .consecutive_timeouts
                .set(self.consecutive_timeouts.get().saturating_add(u32::from(is_full_timeout))),
        }
        match opened {
            Ok(Ok(stream)) => Ok(ReadyConnection::new(stream)),
            Ok(Err(error)) => Err(ConnectFailure::from(error.kind())),
            Err(_) => Err(ConnectFailure::TimedOut),
        }
    }

    /// Opens a connection to find out whether the target can be reached, and keeps it.
    pub(crate) async fn check(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<(), ConnectFailure> {
        self.record_opening();
        match tokio::time::timeout(timeout, open(address, self.close)).await {
            Ok(Ok(stream)) => {
                self.consecutive_timeouts.set(0);
                self.put(ReadyConnection::new(stream), None);
                Ok(())
            }
            Ok(Err(error)) => Err(ConnectFailure::from(error.kind())),
            Err(_) => Err(ConnectFailure::TimedOut),
        }
    }

    fn record_opening(&self) {
        self.last_attempt.set(Some(Instant::now()));
        self.opened.set(self.opened.get() + 1);
    }

    /// Whether the last connection attempts timed out and the next probe is not due yet.
    fn is_unreachable(&self) -> bool {
        let probe_pending = self
            .last_attempt
            .get()
            .is_some_and(|last_attempt| last_attempt.elapsed() < PROBE_INTERVAL);
        self.is_silent() && probe_pending
    }

    /// Whether the last connection attempts timed out.
    pub(crate) fn is_silent(&self) -> bool {
        self.consecutive_timeouts.get() >= UNREACHABLE_TIMEOUTS
    }

    fn take_idle(&self, repeat: RepeatClass, id: Option<IdDigest>) -> Option<ReadyConnection> {
        let max_idle = match repeat {
            RepeatClass::Safe => MAX_IDLE_TIME,
            RepeatClass::Unsafe => MAX_IDLE_TIME_UNSAFE,
        };
        let mut idle = self.idle.borrow_mut();
        idle.retain(|one| one.since.elapsed() < one.idle_timeout && !one.stream.sender.is_closed());
        // The most recent ones are at the end; one whose response was just read may not be ready
        // yet.
        let is_usable = |one: &IdleConnection| {
            let has_carried = id.is_some_and(|id| one.carried.contains(id));
            one.stream.sender.is_ready() && one.since.elapsed() < max_idle && !has_carried
        };
        let index = idle.iter().rposition(is_usable)?;
        let IdleConnection { stream, carried, .. } = idle.remove(index);
        Some(ReadyConnection { stream, reused: true, carried })
    }

    /// Returns a connection on which nothing was sent, or after a complete response to what was sent.
    ///
    /// `idle_timeout` is the target's idle timeout, if it sent one.
    pub(crate) fn put(&self, connection: ReadyConnection, idle_timeout: Option<Duration>) {
        let ReadyConnection { stream, carried, .. } = connection;
        let idle_timeout = idle_timeout.map_or(MAX_IDLE_TIME, |idle_timeout| {
            idle_timeout.saturating_sub(IDLE_TIMEOUT_MARGIN).min(MAX_IDLE_TIME)
        });
        let idle = IdleConnection { stream, carried, since: Instant::now(), idle_timeout };
        self.idle.borrow_mut().push(idle);
    }

    /// Number of connection attempts so far.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

async fn open(address: SocketAddr, close: CloseMode) -> std::io::Result<OpenStream> {
    let stream = TcpStream::connect(address).await?;
    // Both options only reduce latency, so errors are ignored.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    if close == CloseMode::Reset {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    }
    let leading = LeadingBytes::default();
    let io = TokioIo::new(BoundedStream::new(stream, leading.clone()));
    let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(io).await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    actix_rt::spawn(async move {
        // Requests get the error through their senders; an idle connection is just closed.
        let _ = connection.await;
    });
    Ok(OpenStream { sender, leading })
}

/// A connection pool that is shared by the requests to one target.
pub(crate) type SharedPool = Rc<ConnectionPool>;

#[cfg(test)]
mod tests;
