//! The body of a caller's request, held in parts until it is sent to a target.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use actix_http::Payload;
use actix_http::body::{BodySize, MessageBody};
use actix_http::error::PayloadError;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use nickellead_core::ErrorKind;
use nickellead_limit::{BytePurpose, HeldBytes};

/// Bytes of all parts of a large body but the last. Parts of one size leave no gaps in the memory that
/// later ones can't use.
const PART_BYTES: usize = 64 * 1024;
/// Bytes of the first part of a body without a declared length.
const FIRST_PART_BYTES: usize = 4 * 1024;
/// A body that is incomplete after this time gives way while memory is short. It is the time after which
/// a response gives way that its caller has not taken.
const GIVE_WAY_TIME: Duration = Duration::from_secs(10);

/// The body of a request, in parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestBody {
    parts: VecDeque<Bytes>,
    length: usize,
}

impl RequestBody {
    /// Number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there are no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Its parts in order.
    pub fn parts(&self) -> impl Iterator<Item = &[u8]> {
        self.parts.iter().map(AsRef::as_ref)
    }

    /// Takes the first part that was not taken yet.
    pub fn take_part(&mut self) -> Option<Bytes> {
        let part = self.parts.pop_front()?;
        self.length -= part.len();
        Some(part)
    }

    /// All bytes in one piece.
    #[must_use]
    pub fn to_vec(&self) -> Vec<u8> {
        let mut whole = Vec::with_capacity(self.length);
        self.parts().for_each(|part| whole.extend_from_slice(part));
        whole
    }

    fn push(&mut self, part: Bytes) {
        if !part.is_empty() {
            self.length += part.len();
            self.parts.push_back(part);
        }
    }
}

impl From<Bytes> for RequestBody {
    fn from(bytes: Bytes) -> Self {
        let mut body = Self::default();
        body.push(bytes);
        body
    }
}

impl MessageBody for RequestBody {
    type Error = std::convert::Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.length as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Poll::Ready(self.take_part().map(Ok))
    }
}

/// A body that grows, within what is held for it.
struct BodyBuffer<'a> {
    whole: RequestBody,
    /// The part that is being filled.
    last: BytesMut,
    /// Bytes that all parts can take.
    capacity: usize,
    /// Length of the whole body, if the caller stated it.
    declared: Option<usize>,
    limit: usize,
    held: &'a mut HeldBytes,
}

impl BodyBuffer<'_> {
    /// Copies bytes into the parts.
    ///
    /// # Errors
    /// The body is larger than allowed, or does not fit into the memory.
    fn push(&mut self, mut chunk: &[u8]) -> Result<(), ErrorKind> {
        while !chunk.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.start_part()?;
            }
            let room = self.last.capacity() - self.last.len();
            let (fitting, rest) = chunk.split_at(room.min(chunk.len()));
            self.last.extend_from_slice(fitting);
            chunk = rest;
        }
        Ok(())
    }

    /// Adds an empty part, which is counted before it is allocated.
    fn start_part(&mut self) -> Result<(), ErrorKind> {
        self.finish_part();
        let most = self.declared.unwrap_or(self.limit);
        let left = most.checked_sub(self.capacity).filter(|left| *left > 0);
        let left = left.ok_or(ErrorKind::BodyTooLarge)?;
        let size = match self.declared {
            Some(_) => PART_BYTES,
            None => self.capacity.clamp(FIRST_PART_BYTES, PART_BYTES),
        };
        let size = size.min(left);
        let needed = self.held.bytes().max(self.capacity + size);
        self.held.resize(needed, BytePurpose::Admission).map_err(|_| ErrorKind::MemoryFull)?;
        self.last = BytesMut::with_capacity(size);
        self.capacity += self.last.capacity();
        Ok(())
    }

    fn finish_part(&mut self) {
        self.whole.push(std::mem::take(&mut self.last).freeze());
    }
}

/// Reads a whole body of at most `limit` bytes, so that the request can be sent again. `declared` is its
/// length if the caller stated it, and then `held` has room for it; otherwise `held` grows.
///
/// # Errors
/// The body is larger than `limit`, is incomplete, arrives too slowly, or does not fit into the memory.
pub async fn read_body(
    mut payload: Payload,
    declared: Option<usize>,
    limit: usize,
    held: &mut HeldBytes,
) -> Result<RequestBody, ErrorKind> {
    let whole = RequestBody::default();
    if matches!(payload, Payload::None) {
        return Ok(whole);
    }
    let last = BytesMut::new();
    let mut buffer = BodyBuffer { whole, last, capacity: 0, declared, limit, held };
    let started = Instant::now();
    while let Some(chunk) = payload.next().await {
        buffer.push(&chunk.map_err(|error| body_error(&error))?)?;
        if buffer.held.is_memory_short() && started.elapsed() >= GIVE_WAY_TIME {
            return Err(ErrorKind::MemoryFull);
        }
    }
    buffer.finish_part();
    Ok(buffer.whole)
}

fn body_error(error: &PayloadError) -> ErrorKind {
    match error {
        PayloadError::Io(error) if error.kind() == io::ErrorKind::TimedOut => ErrorKind::BodyLate,
        _ => ErrorKind::BodyTruncated,
    }
}
