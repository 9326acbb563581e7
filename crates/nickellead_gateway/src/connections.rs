//! Connections to one target: few are opened, and they are used again while sound.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::RepeatClass;

/// Sends requests over one connection.
pub(crate) type RequestSender = http1::SendRequest<Full<Bytes>>;

/// How long a connection may rest when the target does not say.
///
/// Targets close idle ones after about ten seconds.
const REST_MAX: Duration = Duration::from_millis(8_500);
/// A connection is not used again this long before the target closes it.
const REST_MARGIN: Duration = Duration::from_millis(1_200);
/// The same for a request that may not be repeated: the longer a connection has rested, the
/// likelier the target has forgotten it, and then nobody knows whether the request has run.
const REST_UNSAFE: Duration = Duration::from_millis(4_000);
/// Longest time to open a connection: a lost opening packet is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Connections in a row that met silence from which a target counts as out of reach: one may be a
/// lost packet.
const SILENCES_OUT: u32 = 2;
/// Between two connections that are tried towards a target out of reach; requests meanwhile are told
/// at once.
const PROBE_PAUSE: Duration = Duration::from_millis(300);
/// The system gives a connection up when the peer is silent for this long.
const SILENCE_MAX: Duration = Duration::from_secs(3);

/// A connection that is ready for a request.
pub(crate) struct ReadyConnection {
    pub(crate) sender: RequestSender,
    /// Whether it has carried a request before.
    pub(crate) reused: bool,
}

struct RestingConnection {
    sender: RequestSender,
    since: Instant,
    rest: Duration,
}

/// What becomes of bytes that are under way when a connection is given up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum CloseMode {
    /// They may still arrive.
    #[default]
    Graceful,
    /// They are thrown away: the connection is reset.
    Reset,
}

/// The connections of this VM to one target.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    close: CloseMode,
    idle: RefCell<Vec<RestingConnection>>,
    opened: Cell<u64>,
    /// Connections in a row that met silence.
    timeouts_in_a_row: Cell<u32>,
    /// When the last connection was tried.
    last_attempt: Cell<Option<Instant>>,
}

/// Why no connection could be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectFailure {
    /// Nobody listens at the address.
    Refused,
    /// It was broken as it began, before a byte of the request left: a target may do so to connections
    /// beyond those that it takes.
    Broken,
    /// Nothing answered in time.
    TimedOut,
}

impl ConnectFailure {
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "connection-refused",
            Self::Broken => "connection-broken",
            Self::TimedOut => "connection-silent",
        }
    }
}

impl ConnectionPool {
    /// A pool whose connections close in the given way.
    pub(crate) fn new(close: CloseMode) -> Self {
        Self { close, ..Self::default() }
    }

    /// The freshest resting connection, or a new one.
    pub(crate) async fn take(
        &self,
        address: SocketAddr,
        wait: Duration,
        repeat: RepeatClass,
    ) -> Result<ReadyConnection, ConnectFailure> {
        if let Some(sender) = self.take_idle(repeat) {
            return Ok(ReadyConnection { sender, reused: true });
        }
        if self.is_unreachable() {
            return Err(ConnectFailure::TimedOut);
        }
        self.last_attempt.set(Some(Instant::now()));
        self.opened.set(self.opened.get() + 1);
        let whole = wait >= CONNECT_TIMEOUT;
        let opening = tokio::time::timeout(wait.min(CONNECT_TIMEOUT), open(address, self.close));
        let opened = opening.await;
        match &opened {
            Ok(_) => self.timeouts_in_a_row.set(0),
            // A caller with little time left proves nothing.
            Err(_) => self
                .timeouts_in_a_row
                .set(self.timeouts_in_a_row.get().saturating_add(u32::from(whole))),
        }
        match opened {
            Ok(Ok(sender)) => Ok(ReadyConnection { sender, reused: false }),
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                Err(ConnectFailure::Refused)
            }
            Ok(Err(_)) => Err(ConnectFailure::Broken),
            Err(_) => Err(ConnectFailure::TimedOut),
        }
    }

    /// Whether the last connections met silence and the next one is not due yet.
    fn is_unreachable(&self) -> bool {
        let waits = self.last_attempt.get().is_some_and(|tried| tried.elapsed() < PROBE_PAUSE);
        self.timeouts_in_a_row.get() >= SILENCES_OUT && waits
    }

    fn take_idle(&self, repeat: RepeatClass) -> Option<RequestSender> {
        let most = match repeat {
            RepeatClass::Safe => REST_MAX,
            RepeatClass::Unsafe => REST_UNSAFE,
        };
        let mut resting = self.idle.borrow_mut();
        resting.retain(|one| one.since.elapsed() < one.rest && !one.sender.is_closed());
        // The freshest are at the end; one whose last answer was just read may not be ready yet.
        let place =
            resting.iter().rposition(|one| one.sender.is_ready() && one.since.elapsed() < most)?;
        Some(resting.remove(place).sender)
    }

    /// Puts a connection back whose answer is complete.
    ///
    /// `rest` is how long the target keeps an idle connection, if it says so.
    pub(crate) fn put(&self, sender: RequestSender, rest: Option<Duration>) {
        let rest = rest.map_or(REST_MAX, |rest| rest.saturating_sub(REST_MARGIN).min(REST_MAX));
        self.idle.borrow_mut().push(RestingConnection { sender, since: Instant::now(), rest });
    }

    /// Connections opened so far.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Closes what rests.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

async fn open(address: SocketAddr, close: CloseMode) -> std::io::Result<RequestSender> {
    let stream = TcpStream::connect(address).await?;
    // Both options only shorten waits; without them the connection works too.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(SILENCE_MAX));
    if close == CloseMode::Reset {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    }
    let handshake = http1::handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    actix_rt::spawn(async move {
        // Its requests learn of an error; an idle connection just ends.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Shared by the requests to one target.
pub(crate) type SharedPool = Rc<ConnectionPool>;
