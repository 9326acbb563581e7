//! Server of concurrent calls that acknowledges each call before it is handled.

use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bincode::{Decode, Encode};
use bytes::Bytes;
use h2::SendStream;
use h2::server::{Builder, SendResponse};
use http::{Request, StatusCode};
use tokio::net::{TcpListener, TcpStream};

use crate::arrived::poll_arrived;
use crate::call_delay::{CallDelays, SendTime};
use crate::channel::{CONNECTION_WINDOW_BYTES, MAX_CALLS};
use crate::client::{STALL_TIMEOUT, WINDOW_BYTES, read_body};
use crate::codec::{PeerError, decode, encode};
use crate::server::{accept_connections, begin_response, refuse, send_paced, serve_requests};

/// Where a call came from, and how late it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallArrival {
    /// Address of the other VM's end of the connection.
    pub from: SocketAddr,
    /// How much longer than usual the call was under way, as far as is known: durations that its message
    /// tells have passed by as much.
    pub delay: Duration,
}

/// Handler that computes the response to a call.
pub type CallHandler<Q, R> = Rc<dyn Fn(Q, CallArrival) -> Pin<Box<dyn Future<Output = R>>>>;

/// Responds to calls of [`PeerChannel`](crate::PeerChannel)s for as long as the thread's runtime
/// runs.
///
/// The head of a response is sent as soon as the message has arrived, and the body when the handler
/// is done. The handler's future is dropped if the caller cancels the call or its connection ends.
/// `path` identifies the protocol and its version; calls to other paths are refused.
pub async fn serve_calls<Q, R>(
    listener: TcpListener,
    path: &'static str,
    handler: CallHandler<Q, R>,
) where
    Q: Decode<()> + 'static,
    R: Encode + 'static,
{
    let delays = Rc::new(CallDelays::new());
    accept_connections(listener, |stream, from| {
        serve_connection(stream, from, Rc::clone(&handler), Rc::clone(&delays), path)
    })
    .await;
}

async fn serve_connection<Q, R>(
    stream: TcpStream,
    from: SocketAddr,
    handler: CallHandler<Q, R>,
    delays: Rc<CallDelays>,
    path: &'static str,
) -> Result<(), PeerError>
where
    Q: Decode<()> + 'static,
    R: Encode + 'static,
{
    let mut builder = Builder::new();
    builder
        .max_concurrent_streams(MAX_CALLS)
        // Callers may cancel all their calls while this VM stands still.
        .max_pending_accept_reset_streams(MAX_CALLS as usize)
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES);
    serve_requests(stream, &builder, path, |request, respond| {
        serve_call(request, respond, from, Rc::clone(&handler), Rc::clone(&delays))
    })
    .await
}

async fn serve_call<Q, R>(
    request: Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
    from: SocketAddr,
    handler: CallHandler<Q, R>,
    delays: Rc<CallDelays>,
) -> Result<(), PeerError>
where
    Q: Decode<()> + 'static,
    R: Encode + 'static,
{
    let sent = SendTime::read(request.headers());
    let body = read_body(request.into_body(), STALL_TIMEOUT, |_| {}).await?;
    let Ok(message) = decode::<Q>(&body) else {
        return refuse(&mut respond, StatusCode::BAD_REQUEST);
    };
    let mut stream = begin_response(&mut respond)?;
    if is_cancelled(&mut stream).await {
        return Ok(());
    }
    let delay = sent.map(|sent| delays.delay(sent, Instant::now())).unwrap_or_default();
    let arrival = CallArrival { from, delay };
    let reply = tokio::select! {
        biased;
        _ = poll_fn(|context| stream.poll_reset(context)) => return Ok(()),
        reply = handler(message, arrival) => encode(&reply)?,
    };
    send_paced(stream, reply.into()).await
}

/// Whether the caller cancelled the call, as far as that has arrived: it may have given up while
/// this VM or its thread stood still.
async fn is_cancelled(stream: &mut SendStream<Bytes>) -> bool {
    poll_arrived(|context| stream.poll_reset(context)).await.is_some()
}
