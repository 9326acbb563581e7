//! The body of a target's answer on its way to the caller.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use awc::ClientResponse;
use awc::error::PayloadError;
use bytes::Bytes;
use futures_util::Stream;
use nickellead_route::GatePermit;

use crate::transport::watch_end;

/// Streams an answer's body, whole or with an error; holds the target's turn until its end.
pub(crate) struct AnswerBody {
    response: ClientResponse,
    _permit: GatePermit,
}

impl AnswerBody {
    pub(crate) const fn new(response: ClientResponse, permit: GatePermit) -> Self {
        Self { response, _permit: permit }
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
            (polled, _) => polled,
        }
    }
}
