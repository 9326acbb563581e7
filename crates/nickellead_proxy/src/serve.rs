//! HTTP/1.1 and HTTP/2 server on one thread.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{ConnectionType, HttpMessage, HttpService, KeepAlive, Payload, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use futures_util::future::LocalBoxFuture;
use nickellead_core::ErrorKind;
use nickellead_limit::{ByteBudget, HeldConnection};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::arrival::{ArrivalClock, note_arrivals};
use crate::caller_body::CallerBody;
use crate::caller_listener::{AcceptedStream, CallerListener};
use crate::caller_stream::{CONNECTION_BYTES, CallerStream};
use crate::connection_activity::{ConnectionActivity, OpenConnections, ReadPhase};
use crate::connection_end::ConnectionEnd;
use crate::error_response::error_response;
use crate::held_response::{UnsentBytes, count_held, end_with_body};
use crate::http2::{self, Http2Limits};

/// Maximum number of connections in the listen backlog.
const BACKLOG: i32 = 1_024;
/// HTTP/2 streams that one connection may have open, which RFC 9113 recommends as the least limit.
const MAX_STREAMS: u32 = 100;
/// Maximum time to receive the head of a request.
pub(crate) const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long what a caller still sends is read and dropped after the last response of its connection.
pub(crate) const LINGER_TIME: Duration = Duration::from_secs(1);
/// Time after which an idle connection is closed, unless another one is set.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a listener counts as full after it dropped a connection.
const FULL_PERIOD: Duration = Duration::from_secs(1);
/// Least time after which an idle connection is closed.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longer than any idle timeout that may be set, which this module applies itself.
const LIBRARY_IDLE_TIMEOUT: Duration = Duration::from_secs(7 * 24 * 3_600);
/// Unsent bytes of a connection that the operating system takes while stalled callers are cut.
///
/// With more, a write stays pending although the caller reads: the system accepts bytes again only
/// once a third of its buffer is free, which may be megabytes.
const MAX_UNSENT_BYTES: u32 = 16 * 1024;
/// First bytes of the HTTP/2 connection preface.
const HTTP2_PREFACE_START: &[u8] = b"PRI * HTTP/2";

/// Error of opening a listener.
pub type ListenError = std::io::Error;

/// Bounds on what callers of one listener make a process hold.
#[derive(Clone, Debug)]
pub struct ServeBounds {
    /// Connections that are open at the same time.
    pub connections: usize,
    /// HTTP/2 streams that one connection may have open.
    pub streams: u32,
    /// Memory that connections count in.
    pub memory: ByteBudget,
}

impl ServeBounds {
    /// Bounds with the usual number of streams.
    #[must_use]
    pub const fn new(connections: usize, memory: ByteBudget) -> Self {
        Self { connections, streams: MAX_STREAMS, memory }
    }
}

impl From<usize> for ServeBounds {
    /// A number of connections whose memory is not bounded.
    fn from(connections: usize) -> Self {
        Self::new(connections, ByteBudget::new(None))
    }
}

/// State of the listeners of a process, by which they are stopped and observed.
#[derive(Debug)]
pub struct ServeState {
    stopping: watch::Sender<bool>,
    draining: AtomicBool,
    running: AtomicUsize,
    open: AtomicUsize,
    /// When a connection was last dropped because there were too many.
    dropped_at: Mutex<Option<Instant>>,
    /// Time after which an idle connection is closed, in milliseconds.
    idle_timeout_ms: AtomicU64,
    /// Number of connections with pending writes.
    pub(crate) blocked: AtomicUsize,
    /// How long a write may be pending; `None` for no limit.
    pub(crate) stall_timeout: Option<Duration>,
    /// Number of connections closed because of `stall_timeout`.
    pub(crate) stalled: AtomicUsize,
    /// Number of connections closed because the memory had no room for a head.
    pub(crate) cut_heads: AtomicUsize,
}

impl Default for ServeState {
    fn default() -> Self {
        Self {
            stopping: watch::channel(false).0,
            draining: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            open: AtomicUsize::new(0),
            dropped_at: Mutex::default(),
            idle_timeout_ms: AtomicU64::new(DEFAULT_IDLE_TIMEOUT.as_millis() as u64),
            blocked: AtomicUsize::new(0),
            stall_timeout: None,
            stalled: AtomicUsize::new(0),
            cut_heads: AtomicUsize::new(0),
        }
    }
}

impl ServeState {
    /// State of listeners that close a connection whose caller takes none of the bytes of a
    /// response for this time, or not all of them while memory is short.
    #[must_use]
    pub fn with_stall_timeout(timeout: Option<Duration>) -> Self {
        Self { stall_timeout: timeout, ..Self::default() }
    }

    /// Closes each connection after its next response; new connections are still accepted.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Stops accepting connections and closes the others after their current response.
    pub fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Whether [`ServeState::stop`] was called.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Sets the time after which an idle connection is closed, at least a second. It applies to open
    /// connections as well.
    pub fn set_idle_timeout(&self, timeout: Duration) {
        let millis = timeout.max(MIN_IDLE_TIMEOUT).as_millis();
        self.idle_timeout_ms.store(millis as u64, Ordering::Relaxed);
    }

    pub(crate) fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms.load(Ordering::Relaxed))
    }

    /// Whether a connection was dropped within the last second, because there were too many and none of them
    /// was idle.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.dropped_at().is_some_and(|dropped| dropped.elapsed() < FULL_PERIOD)
    }

    /// Locks the time; a poisoned lock is ignored, because each change is a single assignment.
    fn dropped_at(&self) -> MutexGuard<'_, Option<Instant>> {
        self.dropped_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of open connections of callers.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Number of requests that are being handled and whose callers are still connected.
    #[must_use]
    pub fn running_requests(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Number of connections on which response bytes wait for space in the socket's send buffer.
    #[must_use]
    pub fn blocked_connections(&self) -> usize {
        self.blocked.load(Ordering::Relaxed)
    }

    /// Number of connections that were closed because their callers took nothing.
    #[must_use]
    pub fn stalled_connections(&self) -> usize {
        self.stalled.load(Ordering::Relaxed)
    }

    /// Number of connections that were closed because there was no memory for a long head.
    #[must_use]
    pub fn cut_heads(&self) -> usize {
        self.cut_heads.load(Ordering::Relaxed)
    }
}

/// Counts a request until its response is ready or its caller has disconnected.
struct RunningRequest<'a>(&'a AtomicUsize);

impl<'a> RunningRequest<'a> {
    fn new(running: &'a AtomicUsize) -> Self {
        running.fetch_add(1, Ordering::Relaxed);
        Self(running)
    }
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Opens a listener whose port several threads may share.
///
/// # Errors
/// The error of the system, such as an address that is in use.
pub fn bind_listener(address: SocketAddr) -> Result<TcpListener, ListenError> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    note_arrivals(&socket);
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Serves requests on a listener until [`ServeState::stop`] is called.
pub async fn serve_http<H, F>(
    listener: TcpListener,
    bounds: impl Into<ServeBounds>,
    state: Arc<ServeState>,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let bounds = bounds.into();
    let http2_handler = Rc::new(http2_handler(Arc::clone(&state), handler.clone()));
    let factory = http1_service(Arc::clone(&state), handler);
    // This only fails outside a runtime, and this function runs inside one.
    let Ok(listener) = CallerListener::new(listener) else {
        return;
    };
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    let clock = Rc::new(ArrivalClock::default());
    let connections = OpenConnections::default();
    let mut stopping = state.stopping.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // The sender can't be dropped, because this function holds the state.
            _ = stopping.wait_for(|stopping| *stopping) => return,
        };
        let Ok(AcceptedStream { stream, opened_after }) = accepted else {
            // Typically out of file descriptors: wait until other connections close.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let has_room = state.open_connections() < bounds.connections || connections.close_idlest();
        let held = match has_room {
            true => hold_connection(&bounds.memory, &connections).await,
            false => None,
        };
        let Some(held) = held else {
            *state.dropped_at() = Some(Instant::now());
            continue;
        };
        // Nagle's algorithm would delay small responses; a failure only adds latency.
        let _ = stream.set_nodelay(true);
        if state.stall_timeout.is_some() {
            // A failure only makes callers seem to take nothing for longer.
            let _ = SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
        }
        let (service, state) = (Rc::clone(&service), Arc::clone(&state));
        let (clock, http2_handler) = (Rc::clone(&clock), Rc::clone(&http2_handler));
        state.open.fetch_add(1, Ordering::Relaxed);
        let connections = connections.clone();
        let limits = Http2Limits { streams: bounds.streams, stall_timeout: state.stall_timeout };
        actix_rt::spawn(async move {
            let activity = connections.open();
            let serving = async {
                let Ok(protocol) = read_protocol(&stream).await else { return };
                // The end of a connection is only seen once its events were taken from the system.
                tokio::task::yield_now().await;
                let caller = stream.peer_addr().ok();
                let is_http1 = protocol == actix_http::Protocol::Http1;
                let mut held = held;
                if !is_http1 && held.resize(http2::CONNECTION_BYTES).is_err() {
                    return;
                }
                let (shared, activity) = (Arc::clone(&state), activity.clone());
                let stream = CallerStream::new(
                    stream,
                    shared,
                    is_http1,
                    activity.clone(),
                    clock,
                    opened_after,
                    held,
                );
                if is_http1 {
                    // The caller observes a lost connection itself.
                    let _ = service.call((stream, protocol, caller)).await;
                } else {
                    let handler = move |request| {
                        let in_progress = activity.begin_request(ReadPhase::Later);
                        let handled = http2_handler(request);
                        async move {
                            let response = handled.await;
                            drop(in_progress);
                            response
                        }
                    };
                    http2::serve_connection(stream, caller, limits, Rc::new(handler)).await;
                }
            };
            tokio::select! {
                () = Box::pin(serving) => {}
                () = activity.wait_until_closed(&state) => {}
            }
            connections.remove(&activity);
            state.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Takes room for a connection, if need be in place of an idle one, which is closed.
async fn hold_connection(
    memory: &ByteBudget,
    connections: &OpenConnections,
) -> Option<HeldConnection> {
    if let Ok(held) = memory.hold_connection(CONNECTION_BYTES) {
        return Some(held);
    }
    connections.close_idlest().then_some(())?;
    // The task of the idle connection returns its room.
    tokio::task::yield_now().await;
    memory.hold_connection(CONNECTION_BYTES).ok()
}

/// Hands requests of HTTP/2 callers to the handler.
fn http2_handler<H, F>(
    state: Arc<ServeState>,
    handler: H,
) -> impl Fn(Request) -> LocalBoxFuture<'static, Response<BoxBody>>
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    move |mut request| {
        watch_body(&mut request, None, &state);
        let response = handler(request);
        let state = Arc::clone(&state);
        Box::pin(async move { respond(response, None, &state).await })
    }
}

/// Has the body of a request fail when nothing arrives of it for too long.
fn watch_body(request: &mut Request, activity: Option<ConnectionActivity>, state: &ServeState) {
    let payload = request.take_payload();
    if !matches!(payload, Payload::None) {
        let body = CallerBody::new(payload, activity, state.stall_timeout);
        *request.payload() = Payload::Stream { payload: Box::pin(body) };
    }
}

/// What follows the head of an HTTP/1 request.
fn phase_after(request: &mut Request) -> ReadPhase {
    if matches!(request.payload(), Payload::None) {
        return ReadPhase::Later;
    }
    let is_chunked = request.headers().contains_key("transfer-encoding");
    let length = request.headers().get("content-length").filter(|_| !is_chunked);
    let length = length.and_then(|value| value.to_str().ok()?.trim().parse().ok());
    length.map_or(ReadPhase::UndeclaredBody, ReadPhase::DeclaredBody)
}

/// Detects a caller's protocol by the first bytes that it sends.
async fn read_protocol(stream: &TcpStream) -> std::io::Result<actix_http::Protocol> {
    let mut start = [0; HTTP2_PREFACE_START.len()];
    let length = stream.peek(&mut start).await?;
    Ok(match start[..length] == *HTTP2_PREFACE_START {
        true => actix_http::Protocol::Http2,
        false => actix_http::Protocol::Http1,
    })
}

/// The server of HTTP/1 connections.
fn http1_service<H, F>(
    state: Arc<ServeState>,
    handler: H,
) -> impl ServiceFactory<
    (CallerStream, actix_http::Protocol, Option<SocketAddr>),
    Config = (),
    Response = (),
    Error = actix_http::error::DispatchError,
    InitError = (),
>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    HttpService::build()
        .keep_alive(KeepAlive::Timeout(LIBRARY_IDLE_TIMEOUT))
        .client_request_timeout(HEAD_TIMEOUT)
        // Closing a connection with unread bytes resets it, and the caller would lose the response.
        .client_disconnect_timeout(LINGER_TIME)
        // A caller that closes its side has disconnected, so its request is cancelled.
        .h1_allow_half_closed(false)
        .on_connect_ext(|stream: &CallerStream, data| {
            data.insert(stream.arrival().clone());
            data.insert(stream.activity().clone());
            if let Some(unsent) = stream.unsent() {
                data.insert(unsent.clone());
            }
            if let Some(end) = stream.end() {
                data.insert(end.clone());
            }
        })
        .finish(fn_service(move |mut request: Request| {
            let activity = request.conn_data::<ConnectionActivity>().cloned();
            let phase = phase_after(&mut request);
            let in_progress = activity.as_ref().map(|activity| activity.begin_request(phase));
            watch_body(&mut request, activity.clone(), &state);
            let unsent = request.conn_data::<UnsentBytes>().cloned();
            let end = request.conn_data::<ConnectionEnd>().cloned().unwrap_or_default();
            let is_last = request.head().connection_type() == ConnectionType::Close;
            let response = (!end.is_known()).then(|| handler(request));
            let state = Arc::clone(&state);
            // A connection without a request in progress does not keep room for one.
            let handled: LocalBoxFuture<'static, _> = Box::pin(async move {
                let Some(response) = response else { return Ok(refuse_after_end()) };
                let mut response = respond(response, unsent, &state).await;
                // What is left of a body that was not read could be of any length.
                let has_unread = activity.is_some_and(|activity| activity.has_unread_body());
                // Callers that are turned away get a turn, too.
                if has_unread || state.is_full() {
                    response.head_mut().set_connection_type(ConnectionType::Close);
                }
                if is_last || response.head().connection_type() == ConnectionType::Close {
                    end.record();
                }
                Ok::<_, Infallible>(end_with_body(response, in_progress))
            });
            handled
        }))
}

/// Refuses a request that was read behind the end of its connection.
fn refuse_after_end() -> Response<BoxBody> {
    let mut response = error_response(ErrorKind::Stopping);
    response.head_mut().set_connection_type(ConnectionType::Close);
    response
}

async fn respond<F>(
    response: F,
    unsent: Option<UnsentBytes>,
    state: &ServeState,
) -> Response<BoxBody>
where
    F: Future<Output = Response<BoxBody>>,
{
    let running = RunningRequest::new(&state.running);
    let mut response = response.await;
    drop(running);
    if state.is_stopping() || state.draining.load(Ordering::Relaxed) {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    count_held(response, unsent)
}
