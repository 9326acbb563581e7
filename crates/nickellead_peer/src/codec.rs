//! Bytes of a message.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bincode::{Decode, Encode};
use thiserror::Error;

/// Largest message, in bytes.
pub const FRAME_LIMIT: usize = 16 * 1024 * 1024;

/// Why a message could not be exchanged.
#[derive(Debug, Error)]
pub enum PeerError {
    /// No connection, or it broke.
    #[error("connection to the VM failed: {0}")]
    Connection(String),
    /// The message is larger than [`FRAME_LIMIT`].
    #[error("message is larger than {FRAME_LIMIT} bytes")]
    TooLarge,
    /// The bytes are no message of this protocol version.
    #[error("message can't be read: {0}")]
    Malformed(String),
    /// No answer in time.
    #[error("no answer in time")]
    Timeout,
}

const fn config() -> Configuration<LittleEndian, Varint, Limit<FRAME_LIMIT>> {
    bincode::config::standard().with_limit::<FRAME_LIMIT>()
}

/// Bytes of a message.
///
/// # Errors
/// [`PeerError::TooLarge`] when it exceeds the limit.
pub fn encode<T: Encode>(message: &T) -> Result<Vec<u8>, PeerError> {
    let bytes = bincode::encode_to_vec(message, config())
        .map_err(|error| PeerError::Malformed(error.to_string()))?;
    if bytes.len() > FRAME_LIMIT { Err(PeerError::TooLarge) } else { Ok(bytes) }
}

/// The message of these bytes, all of which must be used.
///
/// # Errors
/// [`PeerError::Malformed`] when they are no such message.
pub fn decode<T: Decode<()>>(bytes: &[u8]) -> Result<T, PeerError> {
    let (message, used) = bincode::decode_from_slice(bytes, config())
        .map_err(|error| PeerError::Malformed(error.to_string()))?;
    if used == bytes.len() {
        Ok(message)
    } else {
        Err(PeerError::Malformed(format!("{} bytes too many", bytes.len() - used)))
    }
}
