//! Answering messages of other VMs.

use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bincode::{Decode, Encode};
use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, SendStream};
use http::{Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::client::{STALL_TIME, WINDOW, connection_error, read_body};
use crate::codec::{PeerError, decode, encode};
use crate::message::{PeerReply, PeerRequest};

/// Most messages of one VM answered side by side.
const STREAMS_MAX: u32 = 64;
/// Answers above this size take turns, in bytes: those that a reader has to take in piece by piece.
const LARGE_ANSWER: usize = WINDOW as usize;
/// Large answers of one VM that are on their way side by side.
///
/// With their windows they put 64 KiB ahead of small answers and of new connections: 52 ms on a link
/// of 10 Mbit/s, well below the limits of those who wait for these. All at once, fifteen changes of
/// 1,400 routes would take 0.3 s. In turn they arrive earlier on the whole, and who has its copy can
/// tell it on.
const LARGE_AT_ONCE: usize = 4;
/// A large answer that takes longer goes on without its turn: a reader behind a slow link must not hold
/// back the others. Four answers of 30 KB take this long on a link of 10 Mbit/s.
const TURN_TIME: Duration = Duration::from_millis(100);
/// How long a handshake may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// What answers a message.
pub type PeerHandler<Q = PeerRequest, R = PeerReply> =
    Rc<dyn Fn(Q, SocketAddr) -> Pin<Box<dyn Future<Output = R>>>>;

/// Answers messages on a listener for as long as the thread's runtime runs.
///
/// `path` names the protocol and its version: messages of others are refused.
pub async fn serve_peers<Q, R>(
    listener: TcpListener,
    path: &'static str,
    handler: PeerHandler<Q, R>,
) where
    Q: Decode<()> + 'static,
    R: Encode + 'static,
{
    let turns = Rc::new(Semaphore::new(LARGE_AT_ONCE));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            // Out of descriptors or alike: give the others time to end.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (handler, turns) = (Rc::clone(&handler), Rc::clone(&turns));
        actix_rt::spawn(async move {
            // A broken connection is the other VM's to notice and mend.
            let _ = serve_connection(stream, from, handler, turns, path).await;
        });
    }
}

async fn serve_connection<Q, R>(
    stream: TcpStream,
    from: SocketAddr,
    handler: PeerHandler<Q, R>,
    turns: Rc<Semaphore>,
    path: &'static str,
) -> Result<(), PeerError>
where
    Q: Decode<()> + 'static,
    R: Encode + 'static,
{
    stream.set_nodelay(true).map_err(connection_error)?;
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(STREAMS_MAX)
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW);
    let handshake = timeout(HANDSHAKE_TIMEOUT, builder.handshake::<_, Bytes>(stream)).await;
    let mut connection = match handshake {
        Ok(connection) => connection.map_err(connection_error)?,
        Err(_) => return Err(PeerError::Timeout),
    };
    while let Some(accepted) = connection.accept().await {
        let (request, mut respond) = accepted.map_err(connection_error)?;
        if request.uri().path() != path {
            refuse(&mut respond, StatusCode::NOT_FOUND)?;
            continue;
        }
        let (handler, turns) = (Rc::clone(&handler), Rc::clone(&turns));
        actix_rt::spawn(async move {
            // As above: the caller sees the stream end.
            let _ = serve_message(request, respond, from, handler, turns).await;
        });
    }
    Ok(())
}

async fn serve_message<Q, R>(
    request: Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
    from: SocketAddr,
    handler: PeerHandler<Q, R>,
    turns: Rc<Semaphore>,
) -> Result<(), PeerError>
where
    Q: Decode<()> + 'static,
    R: Encode + 'static,
{
    let body = read_body(request.into_body(), |_| {}).await?;
    let Ok(message) = decode::<Q>(&body) else {
        return refuse(&mut respond, StatusCode::BAD_REQUEST);
    };
    let reply = encode(&handler(message, from).await)?;
    if reply.len() <= LARGE_ANSWER {
        let mut stream = begin_answer(&mut respond)?;
        return stream.send_data(reply.into(), true).map_err(connection_error);
    }
    // Turns are never taken away, so this can't fail.
    let turn = turns.acquire().await.map_err(connection_error)?;
    let sending = send_paced(begin_answer(&mut respond)?, reply.into());
    let mut sending = std::pin::pin!(sending);
    if let Ok(sent) = timeout(TURN_TIME, &mut sending).await {
        return sent;
    }
    drop(turn);
    sending.await
}

fn begin_answer(respond: &mut SendResponse<Bytes>) -> Result<SendStream<Bytes>, PeerError> {
    respond.send_response(Response::new(()), false).map_err(connection_error)
}

/// Sends a body no faster than its reader takes it in, for as long as it does.
async fn send_paced(mut stream: SendStream<Bytes>, mut body: Bytes) -> Result<(), PeerError> {
    while !body.is_empty() {
        stream.reserve_capacity(body.len());
        let granted = timeout(STALL_TIME, poll_fn(|context| stream.poll_capacity(context))).await;
        let granted = match granted {
            Ok(Some(granted)) => granted.map_err(connection_error)?,
            Ok(None) => return Err(PeerError::Connection("closed by the reader".to_owned())),
            Err(_) => {
                stream.send_reset(Reason::CANCEL);
                return Err(PeerError::Timeout);
            }
        };
        let part = body.split_to(granted.min(body.len()));
        let last = body.is_empty();
        stream.send_data(part, last).map_err(connection_error)?;
    }
    Ok(())
}

fn refuse(respond: &mut SendResponse<Bytes>, status: StatusCode) -> Result<(), PeerError> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    respond.send_response(response, true).map_err(connection_error)?;
    Ok(())
}
