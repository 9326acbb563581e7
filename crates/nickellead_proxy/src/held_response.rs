//! Counts the bytes of a response as held until the caller's connection has taken them.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use actix_http::Response;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;
use nickellead_limit::HeldBytes;

use crate::connection_activity::RequestInProgress;

/// Bytes in the write buffer of one HTTP/1 connection.
///
/// The server copies a whole body into the connection's buffer before it writes any of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnsentBytes(Rc<RefCell<UnsentState>>);

#[derive(Debug, Default)]
struct UnsentState {
    held: Vec<HeldBytes>,
    /// When the oldest of them were added.
    since: Option<Instant>,
}

impl UnsentBytes {
    fn add(&self, held: HeldBytes) {
        let mut state = self.0.borrow_mut();
        state.since.get_or_insert_with(Instant::now);
        state.held.push(held);
    }

    /// Returns the bytes, because the system has taken the whole buffer.
    pub(crate) fn clear(&self) {
        *self.0.borrow_mut() = UnsentState::default();
    }

    /// Whether memory is short and the caller has not taken its response within this time.
    pub(crate) fn must_give_way(&self, timeout: Duration) -> bool {
        let state = self.0.borrow();
        let is_overdue = state.since.is_some_and(|since| since.elapsed() >= timeout);
        is_overdue && state.held.iter().any(HeldBytes::is_memory_short)
    }
}

/// Keeps `held` until the caller has taken the response, or its connection has ended. Without a
/// bound the bytes are returned at once.
pub fn hold_until_sent(response: &mut Response<BoxBody>, held: HeldBytes) {
    if held.is_bounded() {
        response.extensions_mut().insert(held);
    }
}

/// Applies [`hold_until_sent`] to a response on a connection; `unsent` is `None` for HTTP/2, which
/// copies only a small part of a body at a time.
pub(crate) fn count_held(
    mut response: Response<BoxBody>,
    unsent: Option<UnsentBytes>,
) -> Response<BoxBody> {
    let held = response.extensions_mut().remove::<HeldBytes>();
    match held {
        None => response,
        Some(_) => response.map_body(|_, body| BoxBody::new(HeldBody { body, held, unsent })),
    }
}

/// Has a request count as in progress until the body of its response was taken by the connection.
pub(crate) fn end_with_body(
    response: Response<BoxBody>,
    in_progress: Option<RequestInProgress>,
) -> Response<BoxBody> {
    match response.body().size() {
        BodySize::None | BodySize::Sized(0) => response,
        _ => response
            .map_body(|_, body| BoxBody::new(BodyInProgress { body, _in_progress: in_progress })),
    }
}

/// A body that is part of a request in progress.
struct BodyInProgress {
    body: BoxBody,
    _in_progress: Option<RequestInProgress>,
}

impl MessageBody for BodyInProgress {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(context)
    }
}

/// A body whose bytes are held.
struct HeldBody {
    body: BoxBody,
    /// `None` once the body was copied into the connection's buffer.
    held: Option<HeldBytes>,
    unsent: Option<UnsentBytes>,
}

impl MessageBody for HeldBody {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_next(context);
        if polled.is_ready()
            && let Some(unsent) = self.unsent.clone()
            && let Some(held) = self.held.take()
        {
            unsent.add(held);
        }
        polled
    }
}
