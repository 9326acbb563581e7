//! Client that makes many calls to one VM at the same time.

use std::cell::{Cell, RefCell};
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bincode::{Decode, Encode};
use bytes::Bytes;
use h2::RecvStream;
use h2::client::{Builder, SendRequest};
use tokio::sync::{Mutex, Semaphore, SemaphorePermit};
use tokio::time::{Instant, timeout_at};

use crate::arrived::poll_arrived;
use crate::client::{WINDOW_BYTES, begin_body, open_connection, read_body, start_request};
use crate::codec::{PeerError, decode, encode};

/// Maximum number of concurrent calls on one connection.
pub(crate) const MAX_CALLS: u32 = 256;
/// Flow-control window of a connection with many calls.
///
/// Several times the window of one call, so that a large body does not hold up small ones.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 4 * WINDOW_BYTES;

/// Client of one VM for concurrent calls, with one connection that is opened on demand and reopened
/// after a failure.
///
/// `Q` is the type of requests and `R` the type of responses. The VM serves them with
/// [`serve_calls`](crate::serve_calls).
#[derive(Debug)]
pub struct PeerChannel<Q, R> {
    address: SocketAddr,
    path: &'static str,
    connection: RefCell<Option<ChannelConnection>>,
    /// Held while the connection is opened.
    opening: Mutex<()>,
    /// Calls that may begin. More would wait inside the connection and count as not acknowledged.
    free_calls: Semaphore,
    opened: Cell<u64>,
    messages: PhantomData<fn(Q) -> R>,
}

/// An open connection, as far as is known.
#[derive(Clone, Debug)]
struct ChannelConnection {
    /// Number among the connections that the channel opened.
    number: u64,
    sender: SendRequest<Bytes>,
}

impl<Q: Encode, R: Decode<()>> PeerChannel<Q, R> {
    /// Creates a client of the VM at `address`; `path` identifies the protocol and its version.
    #[must_use]
    pub fn new(address: SocketAddr, path: &'static str) -> Self {
        Self {
            address,
            path,
            connection: RefCell::default(),
            opening: Mutex::const_new(()),
            free_calls: Semaphore::const_new(MAX_CALLS as usize),
            opened: Cell::default(),
            messages: PhantomData,
        }
    }

    /// Address on which the VM listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens a connection unless one is open, so that a call which must not be repeated fails before
    /// anything is sent.
    ///
    /// # Errors
    /// A [`PeerError`] if there is no connection after `limit`.
    pub async fn prepare(&self, limit: Duration) -> Result<(), PeerError> {
        match timeout_at(Instant::now() + limit, self.connect()).await {
            Ok(connected) => connected.map(|_| ()),
            Err(_) => Err(PeerError::Timeout),
        }
    }

    /// Sends a request, which must be acknowledged within `ack_timeout`, and receives the response,
    /// which must be complete within `limit`; both count from now.
    ///
    /// Dropping the future cancels the call at the other VM.
    ///
    /// # Errors
    /// [`PeerError::NotSent`], [`PeerError::Refused`] and a [`PeerError::TooLarge`] request prove that
    /// the VM does not handle the message. After [`PeerError::NotAcknowledged`], later calls open a new
    /// connection. Any other [`PeerError`] concerns this call only.
    pub async fn call(
        &self,
        message: &Q,
        ack_timeout: Duration,
        limit: Duration,
    ) -> Result<R, PeerError> {
        let started = Instant::now();
        let acknowledged_by = started + ack_timeout.min(limit);
        let mut pending = self.begin(message, acknowledged_by).await?;
        match pending.wait_acknowledged(acknowledged_by).await? {
            Acknowledgement::Received => pending.receive(started + limit).await,
            Acknowledgement::Late => Err(PeerError::NotAcknowledged),
        }
    }

    /// Sends a request, for which a connection must be free by `until`.
    ///
    /// # Errors
    /// See [`PeerChannel::call`].
    pub async fn begin(
        &self,
        message: &Q,
        until: Instant,
    ) -> Result<PendingCall<'_, Q, R>, PeerError> {
        // What passes until a connection is free counts as a delay of the call.
        let written = Some(std::time::Instant::now());
        let message = Bytes::from(encode(message)?);
        let free = timeout_at(until, self.free_calls.acquire()).await;
        let Ok(Ok(call)) = free else { return Err(PeerError::NotSent) };
        // The reason of a failure makes no difference to callers: the VM can't be reached.
        let connected = timeout_at(until, self.connect()).await;
        let Ok(Ok(mut connection)) = connected else { return Err(PeerError::NotSent) };
        // The VM handles complete messages only.
        let response =
            start_request(&mut connection.sender, self.address, self.path, message, written)
                .map_err(|_| PeerError::NotSent)?;
        let state = CallState::Sent(Box::pin(begin_body(response)));
        Ok(PendingCall { channel: self, connection: connection.number, state, _call: call })
    }

    /// Returns the open connection, or opens one unless another call has just done so.
    async fn connect(&self) -> Result<ChannelConnection, PeerError> {
        if let Some(connection) = self.usable_connection().await {
            return Ok(connection);
        }
        let _opening = self.opening.lock().await;
        if let Some(connection) = self.usable_connection().await {
            return Ok(connection);
        }
        let mut builder = Builder::new();
        builder
            // Responses to cancelled calls may still arrive.
            .max_concurrent_reset_streams(MAX_CALLS as usize)
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES);
        let sender = open_connection(self.address, &builder).await?;
        let number = self.opened.get() + 1;
        self.opened.set(number);
        let connection = ChannelConnection { number, sender };
        self.connection.replace(Some(connection.clone()));
        Ok(connection)
    }

    /// The open connection; forgets it if it failed.
    async fn usable_connection(&self) -> Option<ChannelConnection> {
        let ChannelConnection { number, sender } = self.connection.borrow().clone()?;
        match sender.ready().await {
            Ok(sender) => Some(ChannelConnection { number, sender }),
            Err(_) => {
                self.forget(number);
                None
            }
        }
    }

    /// Lets later calls open a new connection; calls in progress keep this one.
    fn forget(&self, number: u64) {
        self.connection.borrow_mut().take_if(|connection| connection.number == number);
    }
}

/// A request that was sent. Dropping it cancels the call at the other VM.
pub struct PendingCall<'a, Q, R> {
    channel: &'a PeerChannel<Q, R>,
    /// Number of the connection that the request was sent on.
    connection: u64,
    state: CallState,
    _call: SemaphorePermit<'a>,
}

/// How far a call is.
enum CallState {
    /// The response has not begun.
    Sent(Pin<Box<dyn Future<Output = Result<RecvStream, PeerError>>>>),
    /// The response has begun.
    Acknowledged(RecvStream),
}

/// Whether the other VM acknowledged a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acknowledgement {
    /// It did.
    Received,
    /// It has not arrived in time. It may still arrive.
    Late,
}

impl<Q: Encode, R: Decode<()>> PendingCall<'_, Q, R> {
    /// Waits until the VM acknowledges the request. What arrived before `until` counts, even if this
    /// thread stood still and has not read it yet.
    ///
    /// # Errors
    /// [`PeerError::NotAcknowledged`] if the connection failed, [`PeerError::Refused`] if the VM did
    /// not accept the message.
    pub async fn wait_acknowledged(
        &mut self,
        until: Instant,
    ) -> Result<Acknowledgement, PeerError> {
        let CallState::Sent(response) = &mut self.state else {
            return Ok(Acknowledgement::Received);
        };
        let begun = match timeout_at(until, response.as_mut()).await {
            Ok(begun) => Some(begun),
            Err(_) => poll_arrived(|context| response.as_mut().poll(context)).await,
        };
        match begun {
            Some(Ok(body)) => {
                self.state = CallState::Acknowledged(body);
                Ok(Acknowledgement::Received)
            }
            Some(Err(PeerError::Connection(_))) => Err(PeerError::NotAcknowledged),
            Some(Err(error)) => Err(error),
            None => {
                // The VM may be gone without a reset of the connection.
                self.channel.forget(self.connection);
                Ok(Acknowledgement::Late)
            }
        }
    }

    /// Receives the response, which must be complete at `until`.
    ///
    /// # Errors
    /// A [`PeerError`]; the VM may have handled the message.
    pub async fn receive(mut self, until: Instant) -> Result<R, PeerError> {
        if self.wait_acknowledged(until).await? == Acknowledgement::Late {
            return Err(PeerError::NotAcknowledged);
        }
        let CallState::Acknowledged(body) = self.state else {
            return Err(PeerError::NotAcknowledged);
        };
        let response = read_body(body, until.saturating_duration_since(Instant::now()), |_| {});
        match timeout_at(until, response).await {
            Ok(Err(PeerError::TooLarge)) => {
                Err(PeerError::Malformed("response too large".to_owned()))
            }
            Ok(response) => decode(&response?),
            Err(_) => Err(PeerError::Timeout),
        }
    }
}
