//! Server that responds to messages of other VMs.

use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bincode::{Decode, Encode};
use bytes::Bytes;
use h2::server::{Builder, Connection, SendResponse};
use h2::{Reason, RecvStream, SendStream};
use http::{Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::client::{STALL_TIMEOUT, WINDOW_BYTES, connection_error, read_body};
use crate::codec::{PeerError, decode, encode};
use crate::message::{PeerReply, PeerRequest};

/// Maximum number of concurrent requests on one connection.
const MAX_STREAMS: u32 = 64;
/// Responses above this size exceed the flow-control window and need a slot.
const LARGE_RESPONSE_BYTES: usize = WINDOW_BYTES as usize;
/// Maximum number of large responses that a VM sends concurrently.
///
/// Bounds the bytes that are queued on a link ahead of small responses and new connections. Sending
/// fewer at a time also completes the first ones earlier, and their receivers can pass them on. The
/// windows of four are 64 KiB, which take 52 ms on a link of 10 Mbit/s.
const MAX_LARGE_RESPONSES: usize = 4;
/// Maximum time that a large response occupies a slot; it then continues without one, so that
/// receivers behind slow links do not block the others. Four responses of 30 KB take this long on a link
/// of 10 Mbit/s.
const SLOT_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum duration of a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Handler that computes the response to a request from the given address.
pub type PeerHandler<Q = PeerRequest, R = PeerReply> =
    Rc<dyn Fn(Q, SocketAddr) -> Pin<Box<dyn Future<Output = R>>>>;

/// Responds to requests on a listener for as long as the thread's runtime runs.
///
/// `path` identifies the protocol and its version; requests for other paths are refused.
pub async fn serve_peers<Q, R>(
    listener: TcpListener,
    path: &'static str,
    handler: PeerHandler<Q, R>,
) where
    Q: Decode<()> + 'static,
    R: Encode + 'static,
{
    let slots = Rc::new(Semaphore::new(MAX_LARGE_RESPONSES));
    accept_connections(listener, |stream, from| {
        serve_connection(stream, from, Rc::clone(&handler), Rc::clone(&slots), path)
    })
    .await;
}

/// Accepts connections and serves each of them in a task of its own.
pub(crate) async fn accept_connections<F>(
    listener: TcpListener,
    serve: impl Fn(TcpStream, SocketAddr) -> F,
) where
    F: Future<Output = Result<(), PeerError>> + 'static,
{
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            // Typically out of file descriptors: wait until other connections close.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let serving = serve(stream, from);
        actix_rt::spawn(async move {
            // The other VM observes a lost connection and reconnects.
            let _ = serving.await;
        });
    }
}

/// Serves each request for `path` on an accepted connection in a task of its own, and refuses others.
pub(crate) async fn serve_requests<F>(
    stream: TcpStream,
    builder: &Builder,
    path: &'static str,
    serve: impl Fn(Request<RecvStream>, SendResponse<Bytes>) -> F,
) -> Result<(), PeerError>
where
    F: Future<Output = Result<(), PeerError>> + 'static,
{
    let mut connection = open_accepted(stream, builder).await?;
    while let Some(accepted) = connection.accept().await {
        let (request, mut respond) = accepted.map_err(connection_error)?;
        if request.uri().path() != path {
            refuse(&mut respond, StatusCode::NOT_FOUND)?;
            continue;
        }
        let serving = serve(request, respond);
        actix_rt::spawn(async move {
            // The other VM observes the end of the stream.
            let _ = serving.await;
        });
    }
    Ok(())
}

/// Performs the handshake of an accepted connection.
async fn open_accepted(
    stream: TcpStream,
    builder: &Builder,
) -> Result<Connection<TcpStream, Bytes>, PeerError> {
    stream.set_nodelay(true).map_err(connection_error)?;
    match timeout(HANDSHAKE_TIMEOUT, builder.handshake::<_, Bytes>(stream)).await {
        Ok(connection) => connection.map_err(connection_error),
        Err(_) => Err(PeerError::Timeout),
    }
}

async fn serve_connection<Q, R>(
    stream: TcpStream,
    from: SocketAddr,
    handler: PeerHandler<Q, R>,
    slots: Rc<Semaphore>,
    path: &'static str,
) -> Result<(), PeerError>
where
    Q: Decode<()> + 'static,
    R: Encode + 'static,
{
    let mut builder = Builder::new();
    builder
        .max_concurrent_streams(MAX_STREAMS)
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES);
    serve_requests(stream, &builder, path, |request, respond| {
        serve_message(request, respond, from, Rc::clone(&handler), Rc::clone(&slots))
    })
    .await
}

async fn serve_message<Q, R>(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    from: SocketAddr,
    handler: PeerHandler<Q, R>,
    slots: Rc<Semaphore>,
) -> Result<(), PeerError>
where
    Q: Decode<()> + 'static,
    R: Encode + 'static,
{
    let body = read_body(request.into_body(), STALL_TIMEOUT, |_| {}).await?;
    let Ok(message) = decode::<Q>(&body) else {
        return refuse(&mut respond, StatusCode::BAD_REQUEST);
    };
    let reply = encode(&handler(message, from).await)?;
    if reply.len() <= LARGE_RESPONSE_BYTES {
        let mut stream = begin_response(&mut respond)?;
        return stream.send_data(reply.into(), true).map_err(connection_error);
    }
    // The semaphore is never closed, so this can't fail.
    let slot = slots.acquire().await.map_err(connection_error)?;
    let sending = send_paced(begin_response(&mut respond)?, reply.into());
    let mut sending = std::pin::pin!(sending);
    if let Ok(sent) = timeout(SLOT_TIMEOUT, &mut sending).await {
        return sent;
    }
    drop(slot);
    sending.await
}

pub(crate) fn begin_response(
    respond: &mut SendResponse<Bytes>,
) -> Result<SendStream<Bytes>, PeerError> {
    respond.send_response(Response::new(()), false).map_err(connection_error)
}

/// Sends a body as the receiver grants capacity; fails if none is granted for [`STALL_TIMEOUT`].
pub(crate) async fn send_paced(
    mut stream: SendStream<Bytes>,
    mut body: Bytes,
) -> Result<(), PeerError> {
    while !body.is_empty() {
        stream.reserve_capacity(body.len());
        let granted =
            timeout(STALL_TIMEOUT, poll_fn(|context| stream.poll_capacity(context))).await;
        let granted = match granted {
            Ok(Some(granted)) => granted.map_err(connection_error)?,
            Ok(None) => return Err(PeerError::Connection("closed by the receiver".to_owned())),
            Err(_) => {
                stream.send_reset(Reason::CANCEL);
                return Err(PeerError::Timeout);
            }
        };
        let chunk = body.split_to(granted.min(body.len()));
        let last = body.is_empty();
        stream.send_data(chunk, last).map_err(connection_error)?;
    }
    Ok(())
}

pub(crate) fn refuse(
    respond: &mut SendResponse<Bytes>,
    status: StatusCode,
) -> Result<(), PeerError> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    respond.send_response(response, true).map_err(connection_error)?;
    Ok(())
}
