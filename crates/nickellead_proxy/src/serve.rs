//! Listening for HTTP/1.1 and HTTP/2 on one thread.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{ConnectionType, HttpService, KeepAlive, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use socket2::{Domain, Protocol, Socket, Type};
use std::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::caller_stream::CallerStream;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;
/// How long a request's head may take.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Begin of a connection that speaks HTTP/2.
const HTTP2_BEGIN: &[u8] = b"PRI * HTTP/2";

/// Why an address can't be listened on.
pub type ListenError = std::io::Error;

/// What a process's listeners share with whoever stops them.
#[derive(Debug)]
pub struct ServeState {
    stopping: watch::Sender<bool>,
    draining: AtomicBool,
    running: AtomicUsize,
    open: AtomicUsize,
    /// Connections on which bytes of answers wait for room.
    waiting: Arc<AtomicUsize>,
}

impl Default for ServeState {
    fn default() -> Self {
        Self {
            stopping: watch::channel(false).0,
            draining: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            open: AtomicUsize::new(0),
            waiting: Arc::default(),
        }
    }
}

impl ServeState {
    /// Goes on taking connections, but closes each after its next answer.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Takes no new connections, and closes the others after their current answer.
    pub fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Whether [`ServeState::stop`] was called.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Connections that are open.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Requests under way whose callers have not left.
    #[must_use]
    pub fn running_requests(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Connections on which bytes of answers wait for room in the caller's window.
    #[must_use]
    pub fn blocked_connections(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }
}

/// A request under way; it is counted no more once its answer stands or its caller has left.
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

/// Opens a listener that several threads may share.
///
/// # Errors
/// The system's error, such as an address that is in use.
pub fn bind_listener(address: SocketAddr) -> Result<TcpListener, ListenError> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Answers requests on a listener until the process is stopping.
pub async fn serve_http<H, F>(
    listener: TcpListener,
    connections_max: usize,
    state: Arc<ServeState>,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let shared = Arc::clone(&state);
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(IDLE_TIMEOUT))
        .client_request_timeout(HEAD_TIMEOUT)
        // A caller that closes its side has left: its request's work ends at once.
        .h1_allow_half_closed(false)
        .finish(fn_service(move |request: Request| {
            let answering = handler(request);
            let state = Arc::clone(&shared);
            async move { Ok::<_, Infallible>(answer(answering, &state).await) }
        }));
    // Only a listener outside a runtime fails here, and this function runs inside one.
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    let mut stopping = state.stopping.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // An error would mean that the state is gone, and this function holds it.
            _ = stopping.wait_for(|stopping| *stopping) => return,
        };
        let Ok((stream, _)) = accepted else {
            // Out of descriptors or alike: give the others time to end.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        if state.open_connections() >= connections_max {
            continue;
        }
        // Without it small answers wait for acknowledgements; a failure only costs time.
        let _ = stream.set_nodelay(true);
        let (service, state) = (Rc::clone(&service), Arc::clone(&state));
        state.open.fetch_add(1, Ordering::Relaxed);
        actix_rt::spawn(async move {
            if let Ok(protocol) = read_protocol(&stream).await {
                let caller = stream.peer_addr().ok();
                let stream = CallerStream::new(stream, Arc::clone(&state.waiting));
                // A broken connection ends here; the caller sees it as such.
                let _ = service.call((stream, protocol, caller)).await;
            }
            state.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// The protocol that a caller speaks, by the first bytes that it sends.
async fn read_protocol(stream: &TcpStream) -> std::io::Result<actix_http::Protocol> {
    let mut begin = [0; HTTP2_BEGIN.len()];
    let length = stream.peek(&mut begin).await?;
    Ok(match begin[..length] == *HTTP2_BEGIN {
        true => actix_http::Protocol::Http2,
        false => actix_http::Protocol::Http1,
    })
}

async fn answer<F>(answering: F, state: &ServeState) -> Response<BoxBody>
where
    F: Future<Output = Response<BoxBody>>,
{
    let running = RunningRequest::new(&state.running);
    let mut response = answering.await;
    drop(running);
    if state.is_stopping() || state.draining.load(Ordering::Relaxed) {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}
