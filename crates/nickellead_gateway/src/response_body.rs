//! Reading the body of a target's response into memory.

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use nickellead_limit::{BytePurpose, HeldBytes};

use crate::exchange::LossReason;

/// Most bytes of a response body, which is buffered completely before it is forwarded to the
/// caller.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Reads a complete body; `held` becomes its size.
///
/// # Errors
/// The reason why the body is lost: it ended early, was too large, or did not fit into memory.
pub(crate) async fn read_response_body(
    body: Incoming,
    held: &mut HeldBytes,
) -> Result<Bytes, LossReason> {
    if let Some(length) = body.size_hint().exact() {
        let length = usize::try_from(length).unwrap_or(usize::MAX).min(MAX_RESPONSE_BYTES);
        hold(held, length)?;
    }
    let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
    let (mut chunks, mut length) = (Vec::new(), 0);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| LossReason::Broken)?;
        // Trailers are not forwarded.
        let Ok(chunk) = frame.into_data() else { continue };
        length += chunk.len();
        if length > held.bytes() {
            hold(held, length)?;
        }
        chunks.push(chunk);
    }
    hold(held, length)?;
    Ok(join_chunks(chunks, length))
}

fn hold(held: &mut HeldBytes, length: usize) -> Result<(), LossReason> {
    held.resize(length, BytePurpose::Completion).map_err(|_| LossReason::NoMemory)
}

/// A body of one chunk is not copied.
fn join_chunks(mut chunks: Vec<Bytes>, length: usize) -> Bytes {
    if chunks.len() <= 1 {
        return chunks.pop().unwrap_or_default();
    }
    let mut whole = BytesMut::with_capacity(length);
    for chunk in chunks {
        whole.extend_from_slice(&chunk);
    }
    whole.freeze()
}
