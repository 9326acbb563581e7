//! The body of a target's answer on its way to the caller.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use awc::ClientResponse;
use awc::error::PayloadError;
use bytes::Bytes;
use futures_util::Stream;
use nickellead_route::ConcurrencyPermit;
use tokio::time::{Sleep, sleep};

use crate::deadline::Deadline;
use crate::transport::watch_end;

/// Streams an answer's body, whole or with an error, until the request's deadline.
///
/// Holds the target's turn until the body's end.
pub(crate) struct AnswerBody {
    response: ClientResponse,
    _permit: ConcurrencyPermit,
    /// When the body is given up.
    deadline: Deadline,
    // PERF: made when the body is first waited for, which small answers never are.
    alarm: Option<Pin<Box<Sleep>>>,
}

impl AnswerBody {
    pub(crate) const fn new(
        response: ClientResponse,
        permit: ConcurrencyPermit,
        deadline: Deadline,
    ) -> Self {
        Self { response, _permit: permit, deadline, alarm: None }
    }

    fn is_late(&mut self, context: &mut Context<'_>) -> bool {
        let deadline = self.deadline;
        let alarm = self.alarm.get_or_insert_with(|| Box::pin(sleep(deadline.left())));
        alarm.as_mut().poll(context).is_ready()
    }
}

impl Stream for AnswerBody {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let response = Pin::new(&mut self.response);
        match watch_end(|| response.poll_next(context)) {
            (Poll::Ready(None), true) => {
                let broke_off = io::Error::from(io::ErrorKind::UnexpectedEof);
                Poll::Ready(Some(Err(PayloadError::Incomplete(Some(broke_off)))))
            }
            (Poll::Pending, _) if self.is_late(context) => {
                let late = io::Error::from(io::ErrorKind::TimedOut);
                Poll::Ready(Some(Err(PayloadError::Io(late))))
            }
            (polled, _) => polled,
        }
    }
}
