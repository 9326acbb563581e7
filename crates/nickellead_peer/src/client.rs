//! Client that sends messages to one VM.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bincode::{Decode, Encode};
use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use h2::client::{Builder, ResponseFuture, SendRequest};
use http::Request;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::call_delay::stamp_call;
use crate::codec::{MAX_MESSAGE_BYTES, PeerError, decode, encode};
use crate::message::{PeerReply, PeerRequest};

/// Maximum time to open a connection.
///
/// Below the system's first SYN retransmission after one second, so that connecting to a machine
/// that does not respond is retried earlier, and above the round trip of a way of 55 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Flow-control windows: the bytes of one response that may be queued on a link ahead of others.
///
/// They take 13 ms on a link of 10 Mbit/s, and allow 0.7 MB a second on a way of 12 ms.
pub(crate) const WINDOW_BYTES: u32 = 16 * 1024;
/// Maximum time between two chunks of a message.
///
/// The total time has no limit, because a restarted transfer takes longer than a slow one. Half of
/// [`WINDOW_BYTES`] is acknowledged at a time, so links must carry at least that much in this time.
pub(crate) const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Progress of the last exchange, including a failed one.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExchangeProgress {
    /// Time from the request until the response began or the exchange failed.
    pub time_to_response: Duration,
    /// Time from the beginning of the response until the last bytes that arrived.
    pub transfer_time: Duration,
    /// Bytes of the response that arrived.
    pub bytes: usize,
}

/// Client of one VM, with one connection that is opened on demand and reopened after a failure.
///
/// `Q` is the type of requests and `R` the type of responses.
#[derive(Debug)]
pub struct PeerClient<Q = PeerRequest, R = PeerReply> {
    address: SocketAddr,
    path: &'static str,
    connection: Option<SendRequest<Bytes>>,
    progress: ExchangeProgress,
    messages: PhantomData<fn(Q) -> R>,
}

impl<Q: Encode, R: Decode<()>> PeerClient<Q, R> {
    /// Creates a client of the VM at `address`; `path` identifies the protocol and its version.
    #[must_use]
    pub const fn new(address: SocketAddr, path: &'static str) -> Self {
        Self {
            address,
            path,
            connection: None,
            progress: ExchangeProgress {
                time_to_response: Duration::ZERO,
                transfer_time: Duration::ZERO,
                bytes: 0,
            },
            messages: PhantomData,
        }
    }

    /// Address on which the VM listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Progress of the last call, including a failed one.
    #[must_use]
    pub const fn progress(&self) -> ExchangeProgress {
        self.progress
    }

    /// Sends a request and receives the response, which must begin within `limit`.
    ///
    /// # Errors
    /// A [`PeerError`]; the next call then opens a new connection.
    pub async fn call(&mut self, message: &Q, limit: Duration) -> Result<R, PeerError> {
        self.progress = ExchangeProgress::default();
        let started = Instant::now();
        let response = match timeout(limit, self.send_request(message)).await {
            Ok(response) => response,
            Err(_) => Err(PeerError::Timeout),
        };
        self.progress.time_to_response = started.elapsed();
        let result = match response {
            Ok(body) => self.receive_response(body).await,
            Err(error) => Err(error),
        };
        if result.is_err() {
            self.connection = None;
        }
        result
    }

    /// Sends a request and returns the body of the response once it begins.
    async fn send_request(&mut self, message: &Q) -> Result<RecvStream, PeerError> {
        let body = encode(message)?;
        let sender = self.connect().await?;
        let mut sender = sender.ready().await.map_err(connection_error)?;
        let response = start_request(&mut sender, self.address, self.path, body.into(), None)?;
        begin_body(response).await
    }

    async fn receive_response(&mut self, body: RecvStream) -> Result<R, PeerError> {
        let started = Instant::now();
        let progress = &mut self.progress;
        let body = read_body(body, STALL_TIMEOUT, |bytes| {
            progress.bytes += bytes;
            progress.transfer_time = started.elapsed();
        });
        decode(&body.await?)
    }

    async fn connect(&mut self) -> Result<SendRequest<Bytes>, PeerError> {
        if let Some(connection) = &self.connection {
            return Ok(connection.clone());
        }
        let mut builder = Builder::new();
        builder.initial_window_size(WINDOW_BYTES).initial_connection_window_size(WINDOW_BYTES);
        let sender = open_connection(self.address, &builder).await?;
        self.connection = Some(sender.clone());
        Ok(sender)
    }
}

/// Opens a connection and serves it in a task of its own.
pub(crate) async fn open_connection(
    address: SocketAddr,
    builder: &Builder,
) -> Result<SendRequest<Bytes>, PeerError> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(stream) => stream.map_err(connection_error)?,
        Err(_) => return Err(PeerError::Timeout),
    };
    stream.set_nodelay(true).map_err(connection_error)?;
    let (sender, connection) =
        builder.handshake::<_, Bytes>(stream).await.map_err(connection_error)?;
    actix_rt::spawn(async move {
        // The calls that use the connection report its errors.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Starts a request whose message is `body`; `written` tells when, if the other VM is to know how late it is.
pub(crate) fn start_request(
    sender: &mut SendRequest<Bytes>,
    address: SocketAddr,
    path: &str,
    body: Bytes,
    written: Option<Instant>,
) -> Result<ResponseFuture, PeerError> {
    let mut request =
        Request::post(format!("http://{address}{path}")).body(()).map_err(connection_error)?;
    if let Some(written) = written {
        stamp_call(request.headers_mut(), written);
    }
    let (response, mut stream) = sender.send_request(request, false).map_err(connection_error)?;
    stream.send_data(body, true).map_err(connection_error)?;
    Ok(response)
}

/// Waits until a response begins and returns its body.
pub(crate) async fn begin_body(response: ResponseFuture) -> Result<RecvStream, PeerError> {
    let response = response.await.map_err(connection_error)?;
    match response.status().is_success() {
        true => Ok(response.into_body()),
        false => Err(PeerError::Refused(response.status().as_u16())),
    }
}

/// Reads a whole body of at most [`MAX_MESSAGE_BYTES`]; fails if a chunk takes longer than
/// `chunk_timeout`.
///
/// Calls `on_chunk` with the size of each chunk.
pub(crate) async fn read_body(
    mut body: RecvStream,
    chunk_timeout: Duration,
    mut on_chunk: impl FnMut(usize),
) -> Result<Bytes, PeerError> {
    let mut message = BytesMut::new();
    while let Some(chunk) =
        timeout(chunk_timeout, body.data()).await.map_err(|_| PeerError::Timeout)?
    {
        let chunk = chunk.map_err(connection_error)?;
        on_chunk(chunk.len());
        if message.len() + chunk.len() > MAX_MESSAGE_BYTES {
            return Err(PeerError::TooLarge);
        }
        // Releasing capacity only fails if the stream has ended.
        let _ = body.flow_control().release_capacity(chunk.len());
        message.extend_from_slice(&chunk);
    }
    Ok(message.freeze())
}

pub(crate) fn connection_error(error: impl std::fmt::Display) -> PeerError {
    PeerError::Connection(error.to_string())
}
