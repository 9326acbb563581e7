//! Sending messages to one VM.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bincode::{Decode, Encode};
use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use h2::client::SendRequest;
use http::Request;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::codec::{FRAME_LIMIT, PeerError, decode, encode};
use crate::message::{PeerReply, PeerRequest};

/// How long a connection may take: a way of 55 ms there and back, and some more.
///
/// A machine without power says nothing, and the system asks it again only after a second: a VM that
/// starts before the one that it follows would lose that time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Flow-control windows, in bytes: what one answer may put on a link ahead of the others.
///
/// It takes 13 ms on a link of 10 Mbit/s, and lets a reader on a way of 12 ms have 0.7 MB a second.
pub(crate) const WINDOW: u32 = 16 * 1024;
/// Longest time between two parts of a message.
///
/// A copy that goes on arriving, however slowly, is better waited for than begun anew: with
/// [`WINDOW`], half of which is acknowledged at a time, this bears links down to 8 KB a second.
pub(crate) const STALL_TIME: Duration = Duration::from_secs(1);

/// How far the last exchange came, also one that failed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExchangeProgress {
    /// From the question until the answer began, or was given up.
    pub time_to_response: Duration,
    /// From the answer's beginning until its last bytes that came.
    pub transfer_time: Duration,
    /// Bytes of the answer that came.
    pub bytes: usize,
}

/// One connection to one VM, made when first needed and again after a failure.
///
/// `Q` is what it sends and `R` what it gets back.
#[derive(Debug)]
pub struct PeerClient<Q = PeerRequest, R = PeerReply> {
    address: SocketAddr,
    path: &'static str,
    connection: Option<SendRequest<Bytes>>,
    progress: ExchangeProgress,
    messages: PhantomData<fn(Q) -> R>,
}

impl<Q: Encode, R: Decode<()>> PeerClient<Q, R> {
    /// A client of the VM at `address`; `path` names the protocol and its version.
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

    /// Where the VM listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// How far the last call came.
    #[must_use]
    pub const fn progress(&self) -> ExchangeProgress {
        self.progress
    }

    /// Sends a message and waits for the answer: `limit` at most until it begins, and then for as
    /// long as parts of it come.
    ///
    /// # Errors
    /// A [`PeerError`]; the connection is then made anew by the next call.
    pub async fn call(&mut self, message: &Q, limit: Duration) -> Result<R, PeerError> {
        self.progress = ExchangeProgress::default();
        let asked = Instant::now();
        let begun = match timeout(limit, self.ask(message)).await {
            Ok(begun) => begun,
            Err(_) => Err(PeerError::Timeout),
        };
        self.progress.time_to_response = asked.elapsed();
        let answer = match begun {
            Ok(body) => self.take_answer(body).await,
            Err(error) => Err(error),
        };
        if answer.is_err() {
            self.connection = None;
        }
        answer
    }

    /// Sends a message; gives the answer's body once it begins.
    async fn ask(&mut self, message: &Q) -> Result<RecvStream, PeerError> {
        let body = encode(message)?;
        let sender = self.connect().await?;
        let mut sender = sender.ready().await.map_err(connection_error)?;
        let request = Request::post(format!("http://{}{}", self.address, self.path))
            .body(())
            .map_err(connection_error)?;
        let (response, mut stream) =
            sender.send_request(request, false).map_err(connection_error)?;
        stream.send_data(body.into(), true).map_err(connection_error)?;
        let response = response.await.map_err(connection_error)?;
        match response.status().is_success() {
            true => Ok(response.into_body()),
            false => Err(PeerError::Malformed(format!("status {}", response.status()))),
        }
    }

    async fn take_answer(&mut self, body: RecvStream) -> Result<R, PeerError> {
        let began = Instant::now();
        let progress = &mut self.progress;
        let body = read_body(body, |bytes| {
            progress.bytes += bytes;
            progress.transfer_time = began.elapsed();
        });
        decode(&body.await?)
    }

    async fn connect(&mut self) -> Result<SendRequest<Bytes>, PeerError> {
        if let Some(connection) = &self.connection {
            return Ok(connection.clone());
        }
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(stream) => stream.map_err(connection_error)?,
            Err(_) => return Err(PeerError::Timeout),
        };
        stream.set_nodelay(true).map_err(connection_error)?;
        let (sender, connection) = h2::client::Builder::new()
            .initial_window_size(WINDOW)
            .initial_connection_window_size(WINDOW)
            .handshake::<_, Bytes>(stream)
            .await
            .map_err(connection_error)?;
        actix_rt::spawn(async move {
            // Errors of the connection reach the calls that use it.
            let _ = connection.await;
        });
        self.connection = Some(sender.clone());
        Ok(sender)
    }
}

/// Reads a body whole, within [`FRAME_LIMIT`] and for as long as parts come within [`STALL_TIME`];
/// tells `note` the size of each.
pub(crate) async fn read_body(
    mut body: RecvStream,
    mut note: impl FnMut(usize),
) -> Result<Bytes, PeerError> {
    let mut whole = BytesMut::new();
    while let Some(part) = timeout(STALL_TIME, body.data()).await.map_err(|_| PeerError::Timeout)? {
        let part = part.map_err(connection_error)?;
        note(part.len());
        if whole.len() + part.len() > FRAME_LIMIT {
            return Err(PeerError::TooLarge);
        }
        // A failed release only means that the stream is over.
        let _ = body.flow_control().release_capacity(part.len());
        whole.extend_from_slice(&part);
    }
    Ok(whole.freeze())
}

pub(crate) fn connection_error(error: impl std::fmt::Display) -> PeerError {
    PeerError::Connection(error.to_string())
}
