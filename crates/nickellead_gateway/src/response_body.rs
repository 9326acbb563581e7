//! Reading the body of a target's response into memory.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use nickellead_limit::{BytePurpose, HeldBytes};

use crate::RouteRule;
use crate::exchange::LossReason;

/// Most bytes of a response body, which is buffered completely before it is forwarded to the
/// caller.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Most bytes of a body without a declared length, on a route whose responses are not large: a fiftieth of
/// what a VM with 160 MB of memory holds for all requests and responses.
const MAX_UNDECLARED_BYTES: usize = 1024 * 1024;
/// A chunk of a body without a declared length counts as at least this many bytes, because each takes
/// processor time.
const MIN_CHUNK_BYTES: usize = 128;
/// Most bytes of a refusal's body, which is read only to use the connection again.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;
/// How long a refusal waits for its body, which usually comes with the head.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(25);

/// How large the responses of a route are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseScale {
    /// Small enough that many fit into the memory of a VM.
    Usual,
    /// Downloads.
    Large,
}

impl ResponseScale {
    /// The scale of a route's responses.
    pub(crate) const fn of(rule: &RouteRule) -> Self {
        match rule.large_responses {
            true => Self::Large,
            false => Self::Usual,
        }
    }

    /// Most bytes of a body without a declared length.
    const fn max_undeclared_bytes(self) -> usize {
        match self {
            Self::Usual => MAX_UNDECLARED_BYTES,
            Self::Large => MAX_RESPONSE_BYTES,
        }
    }
}

/// Reads a complete body; `held` becomes its size.
///
/// # Errors
/// The reason why the body is lost: it ended early, was too large, or did not fit into memory.
pub(crate) async fn read_response_body(
    body: Incoming,
    scale: ResponseScale,
    held: &mut HeldBytes,
) -> Result<Bytes, LossReason> {
    match body.size_hint().exact() {
        Some(length) => read_declared(body, length, scale, held).await,
        None => read_undeclared(body, scale.max_undeclared_bytes(), held).await,
    }
}

/// Reads a body whose length the head declares; the HTTP client ends it there.
async fn read_declared(
    mut body: Incoming,
    length: u64,
    scale: ResponseScale,
    held: &mut HeldBytes,
) -> Result<Bytes, LossReason> {
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    if length > MAX_RESPONSE_BYTES {
        return Err(LossReason::Malformed);
    }
    // Room for bytes that may never come would be missing for other requests.
    hold(held, length.min(scale.max_undeclared_bytes()))?;
    let mut whole = WholeBody::default();
    while let Some(chunk) = next_chunk(&mut body).await? {
        let arrived = whole.len() + chunk.len();
        if arrived > held.bytes() {
            hold(held, arrived)?;
        }
        whole.push(chunk, length);
    }
    Ok(whole.freeze())
}

/// Reads a body that ends with the connection or with its last chunk.
async fn read_undeclared(
    mut body: Incoming,
    max_bytes: usize,
    held: &mut HeldBytes,
) -> Result<Bytes, LossReason> {
    let mut whole = WholeBody::default();
    let mut cost = 0;
    while let Some(chunk) = next_chunk(&mut body).await? {
        cost += chunk.len().max(MIN_CHUNK_BYTES);
        if cost > max_bytes {
            return Err(LossReason::Malformed);
        }
        let length = whole.len() + chunk.len();
        if length > held.bytes() {
            hold(held, length)?;
        }
        whole.push(chunk, length);
    }
    hold(held, whole.len())?;
    Ok(whole.freeze())
}

/// Reads the body of a refusal and drops it; returns whether the connection can be used again.
pub(crate) async fn drain_refusal(body: Incoming) -> bool {
    let draining = drain_body(body, MAX_REFUSAL_BYTES);
    let drained = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, draining).await;
    matches!(drained, Ok(Ok(())))
}

/// Reads a body and drops it.
///
/// # Errors
/// It ended early or is larger than `max_bytes`.
pub(crate) async fn drain_body(mut body: Incoming, max_bytes: usize) -> Result<(), LossReason> {
    let mut cost = 0;
    while let Some(chunk) = next_chunk(&mut body).await? {
        cost += chunk.len().max(MIN_CHUNK_BYTES);
        if cost > max_bytes {
            return Err(LossReason::Malformed);
        }
    }
    Ok(())
}

/// The next bytes of a body; `None` after its end. Trailers are not forwarded.
async fn next_chunk(body: &mut Incoming) -> Result<Option<Bytes>, LossReason> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| LossReason::Broken)?;
        if let Ok(chunk) = frame.into_data() {
            return Ok(Some(chunk));
        }
    }
    Ok(None)
}

fn hold(held: &mut HeldBytes, length: usize) -> Result<(), LossReason> {
    held.resize(length, BytePurpose::Completion).map_err(|_| LossReason::NoMemory)
}

/// The bytes of a body so far.
#[derive(Default)]
struct WholeBody {
    /// The first chunk, while there is no other: a body of one chunk is not copied.
    first: Bytes,
    /// All chunks; small ones would take more memory each by itself.
    joined: BytesMut,
}

impl WholeBody {
    fn len(&self) -> usize {
        self.first.len() + self.joined.len()
    }

    /// Adds a chunk of a body with at least `length` bytes.
    fn push(&mut self, chunk: Bytes, length: usize) {
        if self.len() == 0 {
            self.first = chunk;
            return;
        }
        if self.joined.is_empty() {
            self.joined.reserve(length);
            self.joined.extend_from_slice(&std::mem::take(&mut self.first));
        }
        self.joined.extend_from_slice(&chunk);
    }

    fn freeze(self) -> Bytes {
        match self.joined.is_empty() {
            true => self.first,
            false => self.joined.freeze(),
        }
    }
}
