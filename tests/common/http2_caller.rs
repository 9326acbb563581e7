//! HTTP/2 callers that keep to flow control.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use h2::SendStream;
use h2::client::handshake;
use http::Request;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};

/// How long a caller waits for room to send more.
const WINDOW_TIMEOUT: Duration = Duration::from_secs(3);
const FRAME_BYTES: usize = 16 * 1024;

/// Streams of a caller, kept open until this is dropped.
pub struct OpenStreams {
    _streams: Vec<SendStream<Bytes>>,
    _runtime: Runtime,
}

/// Opens one connection and sends requests whose bodies stop short of their end.
pub fn send_bodies_short_of_end(
    address: SocketAddr,
    number: usize,
    streams: usize,
    length: usize,
) -> OpenStreams {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let streams = runtime.block_on(async {
        let socket = TcpStream::connect(address).await.unwrap();
        let (mut sender, connection) = handshake(socket).await.unwrap();
        // The other side may close the connection at any time.
        tokio::spawn(async move { drop(connection.await) });
        let mut open = Vec::new();
        for stream in 0..streams {
            let host = nickellead_adapter_standin::HOST;
            let request = Request::post(format!("http://{host}/upload/a"))
                .header("nickellead-request-id", format!("h{number}-{stream}"));
            let request = request.body(()).unwrap();
            let Ok(mut ready) = sender.ready().await else { break };
            let Ok((_response, body)) = ready.send_request(request, false) else { break };
            open.push(send_short_of_end(body, length).await);
            sender = ready;
        }
        open
    });
    OpenStreams { _streams: streams, _runtime: runtime }
}

/// Sends all of a body but its last byte, as far as the other side allows.
async fn send_short_of_end(mut body: SendStream<Bytes>, length: usize) -> SendStream<Bytes> {
    let part = Bytes::from(vec![b'x'; FRAME_BYTES]);
    let mut left = length - 1;
    while left > 0 {
        body.reserve_capacity(left.min(FRAME_BYTES));
        let room = std::future::poll_fn(|context| body.poll_capacity(context));
        let Ok(Some(Ok(room))) = tokio::time::timeout(WINDOW_TIMEOUT, room).await else { break };
        let size = room.min(left).min(FRAME_BYTES);
        if body.send_data(part.slice(..size), false).is_err() {
            break;
        }
        left -= size;
    }
    body
}
