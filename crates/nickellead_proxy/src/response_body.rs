//! Body of a target's response, streamed to the caller.

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
use crate::transport::observe_reads;

/// Most bytes of a chunked body that are read without data among them: the extension of a chunk, or
/// trailers.
const MAX_BYTES_WITHOUT_DATA: usize = 64 * 1024;

/// Streams a response body until the request's deadline; a truncated body ends with an error.
///
/// Holds the target's concurrency permit until the end of the body.
pub(crate) struct ResponseBody {
    response: ClientResponse,
    _permit: ConcurrencyPermit,
    /// Bytes that were read since the last data.
    bytes_without_data: usize,
    /// Time at which the stream fails if the body is not complete.
    deadline: Deadline,
    // PERF: created on the first pending poll, which small responses never reach.
    timer: Option<Pin<Box<Sleep>>>,
}

impl ResponseBody {
    pub(crate) const fn new(
        response: ClientResponse,
        permit: ConcurrencyPermit,
        deadline: Deadline,
    ) -> Self {
        Self { response, _permit: permit, bytes_without_data: 0, deadline, timer: None }
    }

    fn is_past_deadline(&mut self, context: &mut Context<'_>) -> bool {
        let deadline = self.deadline;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(deadline.remaining())));
        timer.as_mut().poll(context).is_ready()
    }
}

impl Stream for ResponseBody {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let response = Pin::new(&mut self.response);
        let (polled, reads) = observe_reads(|| response.poll_next(context));
        self.bytes_without_data = match polled {
            Poll::Pending => self.bytes_without_data + reads.bytes,
            Poll::Ready(_) => 0,
        };
        match (polled, reads.has_eof) {
            (Poll::Ready(None), true) => {
                let truncated = io::Error::from(io::ErrorKind::UnexpectedEof);
                Poll::Ready(Some(Err(PayloadError::Incomplete(Some(truncated)))))
            }
            (Poll::Pending, _) if self.bytes_without_data > MAX_BYTES_WITHOUT_DATA => {
                let too_many = io::Error::from(io::ErrorKind::InvalidData);
                Poll::Ready(Some(Err(PayloadError::Io(too_many))))
            }
            (Poll::Pending, _) if self.is_past_deadline(context) => {
                let timed_out = io::Error::from(io::ErrorKind::TimedOut);
                Poll::Ready(Some(Err(PayloadError::Io(timed_out))))
            }
            (polled, _) => polled,
        }
    }
}
