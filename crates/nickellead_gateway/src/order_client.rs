//! One call to a target that has no effect once it was given up.
//!
//! An order that a cut link holds up must not arrive when the link heals: by
//! then another target may hold the keys. So its connection is reset when the
//! wait for its answer ends, which throws away what has not left this VM.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};

use crate::RepeatClass;
use crate::connections::{CloseMode, ConnectionPool, RequestSender, SharedPool};

/// Largest body of an answer to an order, in bytes.
const ANSWER_MAX: usize = 64 * 1024;
/// Most targets to which connections rest; beyond it all resting ones are closed.
const POOLS_MAX: usize = 1_024;

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// Nothing was sent.
    NotSent,
    /// It was sent, and the connection broke or ended: it may have had effect.
    Broken,
    /// It was sent, and nothing came: it may have had effect.
    Unanswered,
}

/// Calls targets on connections that are reset when a call is given up.
#[derive(Default)]
pub struct OrderClient {
    pools: RefCell<HashMap<SocketAddr, SharedPool>>,
}

impl OrderClient {
    /// Posts a JSON body and waits for the whole answer, `wait` at most.
    ///
    /// # Errors
    /// [`CallFailure`] tells whether the call may have had effect.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        headers: HeaderMap,
        body: Vec<u8>,
        wait: Duration,
    ) -> Result<(StatusCode, HeaderMap), CallFailure> {
        let until = Instant::now() + wait;
        let pool = self.pool(address);
        let connecting = pool.take(address, wait, RepeatClass::Safe).await;
        let mut connection = connecting.map_err(|_| CallFailure::NotSent)?;
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = path.parse().map_err(|_| CallFailure::NotSent)?;
        *request.headers_mut() = headers;
        let left = until.saturating_duration_since(Instant::now());
        let answer = tokio::time::timeout(left, call(&mut connection.sender, request)).await;
        let answer = answer.unwrap_or(Err(CallFailure::Unanswered));
        match answer {
            Ok(_) => pool.put(connection.sender, None),
            // The next call must show by a new connection whether the target is there at all.
            Err(_) => pool.clear(),
        }
        answer
    }

    fn pool(&self, address: SocketAddr) -> SharedPool {
        let mut pools = self.pools.borrow_mut();
        if pools.len() >= POOLS_MAX && !pools.contains_key(&address) {
            pools.clear();
        }
        let fresh = || Rc::new(ConnectionPool::new(CloseMode::Reset));
        Rc::clone(pools.entry(address).or_insert_with(fresh))
    }
}

/// Sends a request and reads the whole answer, of which only the head counts.
async fn call(
    sender: &mut RequestSender,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, HeaderMap), CallFailure> {
    let sent = sender.try_send_request(request).await;
    let response = sent.map_err(|mut error| match error.take_message() {
        Some(_) => CallFailure::NotSent,
        None => CallFailure::Broken,
    })?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, ANSWER_MAX).collect().await;
    body.map_err(|_| CallFailure::Broken)?;
    Ok((head.status, head.headers))
}
