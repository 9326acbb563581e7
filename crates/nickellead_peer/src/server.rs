//! Answering messages of other VMs.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bincode::{Decode, Encode};
use bytes::Bytes;
use h2::server::SendResponse;
use http::{Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::client::{MESSAGE_PATH, WINDOW, connection_error, read_body};
use crate::codec::{PeerError, decode, encode};
use crate::message::{PeerReply, PeerRequest};

/// Most messages of one VM answered side by side.
const STREAMS_MAX: u32 = 64;
/// How long a message's bytes may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a handshake may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// What answers a message.
pub type PeerHandler<Q = PeerRequest, R = PeerReply> =
    Rc<dyn Fn(Q, SocketAddr) -> Pin<Box<dyn Future<Output = R>>>>;

/// Answers messages on a listener for as long as the thread's runtime runs.
pub async fn serve_peers<Q, R>(listener: TcpListener, handler: PeerHandler<Q, R>)
where
    Q: Decode<()> + 'static,
    R: Encode + 'static,
{
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            // Out of descriptors or alike: give the others time to end.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let handler = Rc::clone(&handler);
        actix_rt::spawn(async move {
            // A broken connection is the other VM's to notice and mend.
            let _ = serve_connection(stream, from, handler).await;
        });
    }
}

async fn serve_connection<Q, R>(
    stream: TcpStream,
    from: SocketAddr,
    handler: PeerHandler<Q, R>,
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
        let (request, respond) = accepted.map_err(connection_error)?;
        let handler = Rc::clone(&handler);
        actix_rt::spawn(async move {
            // As above: the caller sees the stream end.
            let _ = serve_message(request, respond, from, handler).await;
        });
    }
    Ok(())
}

async fn serve_message<Q, R>(
    request: Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
    from: SocketAddr,
    handler: PeerHandler<Q, R>,
) -> Result<(), PeerError>
where
    Q: Decode<()> + 'static,
    R: Encode + 'static,
{
    if request.uri().path() != MESSAGE_PATH {
        return refuse(&mut respond, StatusCode::NOT_FOUND);
    }
    let body = match timeout(BODY_TIMEOUT, read_body(request.into_body(), |_| {})).await {
        Ok(body) => body?,
        Err(_) => return Err(PeerError::Timeout),
    };
    let Ok(message) = decode::<Q>(&body) else {
        return refuse(&mut respond, StatusCode::BAD_REQUEST);
    };
    let reply = encode(&handler(message, from).await)?;
    let mut stream = respond.send_response(Response::new(()), false).map_err(connection_error)?;
    stream.send_data(reply.into(), true).map_err(connection_error)
}

fn refuse(respond: &mut SendResponse<Bytes>, status: StatusCode) -> Result<(), PeerError> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    respond.send_response(response, true).map_err(connection_error)?;
    Ok(())
}
