//! The body of a request as it arrives on a caller's connection.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::Payload;
use actix_http::error::PayloadError;
use bytes::Bytes;
use futures_util::Stream;
use tokio::time::{Sleep, sleep};

use crate::connection_activity::ConnectionActivity;

/// A body whose connection hands on bytes only as they are wanted, and that fails once nothing has arrived
/// for too long.
pub(crate) struct CallerBody {
    payload: Payload,
    /// `None` for HTTP/2, which has windows.
    activity: Option<ConnectionActivity>,
    /// How long nothing may arrive; `None` for no limit.
    stall_timeout: Option<Duration>,
    /// Exists while nothing arrives.
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl CallerBody {
    pub(crate) fn new(
        payload: Payload,
        activity: Option<ConnectionActivity>,
        stall_timeout: Option<Duration>,
    ) -> Self {
        Self { payload, activity, stall_timeout, stall_timer: None }
    }

    /// Whether nothing has arrived for too long.
    fn is_stalled(&mut self, context: &mut Context<'_>) -> bool {
        let Some(timeout) = self.stall_timeout else { return false };
        let timer = self.stall_timer.get_or_insert_with(|| Box::pin(sleep(timeout)));
        timer.as_mut().poll(context).is_ready()
    }
}

impl Stream for CallerBody {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let polled = Pin::new(&mut self.payload).poll_next(context);
        match polled {
            Poll::Pending => {
                self.activity.iter().for_each(ConnectionActivity::want_body);
                if self.is_stalled(context) {
                    let error = io::Error::from(io::ErrorKind::TimedOut);
                    return Poll::Ready(Some(Err(PayloadError::Io(error))));
                }
            }
            Poll::Ready(Some(Ok(_))) => self.stall_timer = None,
            Poll::Ready(_) => self.activity.iter().for_each(ConnectionActivity::end_body),
        }
        polled
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        // The rest of a body that nobody reads is dropped by the HTTP library.
        self.activity.iter().for_each(ConnectionActivity::drop_body);
    }
}
