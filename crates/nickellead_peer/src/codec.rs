//! Encoding and decoding of messages.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bincode::{Decode, Encode};
use thiserror::Error;

/// Maximum size of an encoded message.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Error of an exchange with another VM.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The connection could not be opened or was lost.
    #[error("connection to the VM failed: {0}")]
    Connection(String),
    /// The message is larger than [`MAX_MESSAGE_BYTES`].
    #[error("message is larger than {MAX_MESSAGE_BYTES} bytes")]
    TooLarge,
    /// The bytes are not a message of this protocol version.
    #[error("malformed message: {0}")]
    Malformed(String),
    /// The other VM did not respond in time.
    #[error("response timed out")]
    Timeout,
    /// No part of the message was sent: the connection could not be opened, failed before, or has no
    /// room for another call in time.
    #[error("message was not sent")]
    NotSent,
    /// The message was sent, and nothing shows whether the other VM received it: no response began
    /// in time, or the connection failed before.
    #[error("message was not acknowledged")]
    NotAcknowledged,
    /// The other VM did not accept the message, and does not handle it.
    #[error("message was refused with status {0}")]
    Refused(u16),
}

impl PeerError {
    /// Whether the other VM does not handle the message.
    #[must_use]
    pub const fn is_unhandled(&self) -> bool {
        matches!(self, Self::NotSent | Self::Refused(_) | Self::TooLarge)
    }
}

const fn config() -> Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>> {
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>()
}

/// Encodes a message.
///
/// # Errors
/// [`PeerError::TooLarge`] when the result exceeds [`MAX_MESSAGE_BYTES`].
pub fn encode<T: Encode>(message: &T) -> Result<Vec<u8>, PeerError> {
    let bytes = bincode::encode_to_vec(message, config())
        .map_err(|error| PeerError::Malformed(error.to_string()))?;
    if bytes.len() > MAX_MESSAGE_BYTES { Err(PeerError::TooLarge) } else { Ok(bytes) }
}

/// Decodes a message that takes up all of `bytes`.
///
/// # Errors
/// [`PeerError::Malformed`] when the bytes are not such a message.
pub fn decode<T: Decode<()>>(bytes: &[u8]) -> Result<T, PeerError> {
    let (message, used) = bincode::decode_from_slice(bytes, config())
        .map_err(|error| PeerError::Malformed(error.to_string()))?;
    if used == bytes.len() {
        Ok(message)
    } else {
        Err(PeerError::Malformed(format!("{} trailing bytes", bytes.len() - used)))
    }
}
