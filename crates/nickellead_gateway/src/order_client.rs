//! The HTTP client for orders to targets, with a connection of its own for each order that moves keys.
//!
//! A target's response to an order bears nothing that shows which order it answers, and a target may send
//! a response a second time in place of the next one. On a connection that has carried no other order, the
//! response can only answer this one. Renewals share connections, each of which has carried only renewals
//! that succeeded: a surplus response there says no more than what the last renewals did.
//!
//! An order that a network partition delays must not arrive when the partition heals, because
//! another target may own the keys by then. The connection is therefore reset on a timeout, which
//! discards what is still in this VM's send buffer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};

use crate::RepeatClass;
use crate::connections::{CloseMode, ConnectionPool, ReadyConnection, SharedPool};
use crate::response_body::drain_body;
use crate::sent_body::SentBody;

/// Most bytes of a response body; only the head is used.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// Most targets with a connection pool; beyond it all pools are dropped.
const MAX_POOLS: usize = 1_024;

/// Why a call got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// Nothing was sent, so the call had no effect.
    NotSent,
    /// The connection failed after the call was sent, which may have taken effect.
    Broken,
    /// No response arrived in time; the call may have taken effect.
    Unanswered,
}

/// Which connection a call uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// One of its own, which is closed after the response.
    Own,
    /// One that it shares with other calls of this kind.
    Shared,
}

/// Sends orders over connections that are reset when a call times out.
#[derive(Default)]
pub struct OrderClient {
    /// Shared connections to each target, and its reachability.
    pools: RefCell<HashMap<SocketAddr, SharedPool>>,
}

impl OrderClient {
    /// Posts a JSON body and waits up to `timeout` for the complete response.
    ///
    /// # Errors
    /// [`CallFailure`] says whether the call may have taken effect.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        headers: HeaderMap,
        body: Vec<u8>,
        timeout: Duration,
        connection_use: ConnectionUse,
    ) -> Result<(StatusCode, HeaderMap), CallFailure> {
        let deadline = Instant::now() + timeout;
        let pool = self.pool(address);
        let connecting = match connection_use {
            ConnectionUse::Own => pool.open_new(address, timeout).await,
            ConnectionUse::Shared => pool.take(address, timeout, RepeatClass::Safe, None).await,
        };
        let mut connection = connecting.map_err(|_| CallFailure::NotSent)?;
        let mut request = Request::new(SentBody(Bytes::from(body).into()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = path.parse().map_err(|_| CallFailure::NotSent)?;
        *request.headers_mut() = headers;
        if connection_use == ConnectionUse::Own {
            request.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        let result = tokio::time::timeout(remaining, call(&mut connection, request)).await;
        let result = result.unwrap_or(Err(CallFailure::Unanswered));
        match &result {
            Ok((status, _)) if connection_use == ConnectionUse::Shared && status.is_success() => {
                pool.put(connection, None);
            }
            Ok(_) => {}
            // The next call opens a new connection, which shows whether the target is reachable.
            Err(_) => pool.clear(),
        }
        result
    }

    fn pool(&self, address: SocketAddr) -> SharedPool {
        let mut pools = self.pools.borrow_mut();
        if pools.len() >= MAX_POOLS && !pools.contains_key(&address) {
            pools.clear();
        }
        let new_pool = || Rc::new(ConnectionPool::new(CloseMode::Reset));
        Rc::clone(pools.entry(address).or_insert_with(new_pool))
    }
}

/// Sends a request, reads the complete response and returns its head.
async fn call(
    connection: &mut ReadyConnection,
    request: Request<SentBody>,
) -> Result<(StatusCode, HeaderMap), CallFailure> {
    let sent = connection.send(request).await;
    let response = sent.map_err(|mut error| match error.take_message() {
        Some(_) => CallFailure::NotSent,
        None => CallFailure::Broken,
    })?;
    let (head, body) = response.into_parts();
    drain_body(body, MAX_RESPONSE_BYTES).await.map_err(|_| CallFailure::Broken)?;
    Ok((head.status, head.headers))
}
