//! Compressed messages, which are encoded once and sent to several VMs.

use std::fmt;
use std::marker::PhantomData;

use bincode::de::{BorrowDecode, BorrowDecoder, Decoder};
use bincode::enc::Encoder;
use bincode::error::{DecodeError, EncodeError};
use bincode::{Decode, Encode};
use bytes::Bytes;
use miniz_oxide::deflate::compress_to_vec_zlib;
use miniz_oxide::inflate::{TINFLStatus, decompress_to_vec_zlib_with_limit};
use nickellead_peer::{MAX_MESSAGE_BYTES, PeerError};
use thiserror::Error;

/// Most bytes that a packed message may unpack to, which is the limit of an uncompressed frame.
pub const MAX_UNPACKED_BYTES: usize = MAX_MESSAGE_BYTES;

/// Compression level from 0 to 10: a compromise between CPU time on the sender and transfer time on
/// slow links.
///
/// For 4,200 routes, level 1 takes 1.6 ms for 104 kB, level 3 takes 5.7 ms for 92 kB and level 6 takes
/// 10 ms for 88 kB of 249 kB. A message is compressed once and sent to several VMs, and at 10 Mbit/s each
/// of them receives it 10 ms sooner at level 3 than at level 1.
const COMPRESSION_LEVEL: u8 = 3;

/// Why a message could not be packed or unpacked.
#[derive(Debug, Error)]
pub enum PackedError {
    /// The bytes are not a message of this protocol version, or the message is too large.
    #[error(transparent)]
    Message(#[from] PeerError),
    /// The bytes unpack to more than [`MAX_UNPACKED_BYTES`].
    #[error("packed message exceeds {MAX_UNPACKED_BYTES} bytes")]
    TooLarge,
    /// The bytes are not a complete zlib stream, or its checksum does not match.
    #[error("invalid zlib stream: {0:?}")]
    Corrupt(TINFLStatus),
}

/// A message's bincode bytes as a zlib stream (RFC 1950: deflate with a checksum).
///
/// Clones share the bytes. Within another message, it is encoded as a byte string.
pub struct Packed<T> {
    bytes: Bytes,
    message: PhantomData<fn() -> T>,
}

impl<T> Packed<T> {
    /// Number of compressed bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are no bytes, which is never a valid message.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    fn from_bytes(bytes: Vec<u8>) -> Self {
        Self { bytes: Bytes::from(bytes), message: PhantomData }
    }
}

impl<T: Encode> Packed<T> {
    /// Encodes and compresses a message.
    ///
    /// # Errors
    /// [`PackedError::Message`] when the message exceeds [`MAX_UNPACKED_BYTES`].
    pub fn pack(message: &T) -> Result<Self, PackedError> {
        let encoded = nickellead_peer::encode(message)?;
        Ok(Self::from_bytes(compress_to_vec_zlib(&encoded, COMPRESSION_LEVEL)))
    }
}

impl<T: Decode<()>> Packed<T> {
    /// Decompresses and decodes the message.
    ///
    /// # Errors
    /// [`PackedError`] if the bytes are corrupt, too large or not a message of this type.
    pub fn unpack(&self) -> Result<T, PackedError> {
        let encoded = decompress_to_vec_zlib_with_limit(&self.bytes, MAX_UNPACKED_BYTES);
        let encoded = encoded.map_err(|error| match error.status {
            TINFLStatus::HasMoreOutput => PackedError::TooLarge,
            status => PackedError::Corrupt(status),
        })?;
        Ok(nickellead_peer::decode(&encoded)?)
    }
}

impl<T> Clone for Packed<T> {
    fn clone(&self) -> Self {
        Self { bytes: self.bytes.clone(), message: PhantomData }
    }
}

impl<T> PartialEq for Packed<T> {
    fn eq(&self, other: &Self) -> bool {
        self.bytes == other.bytes
    }
}

impl<T> fmt::Debug for Packed<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Packed({} bytes)", self.len())
    }
}

impl<T> Encode for Packed<T> {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        self.bytes.as_ref().encode(encoder)
    }
}

impl<T, Context> Decode<Context> for Packed<T> {
    fn decode<D: Decoder<Context = Context>>(decoder: &mut D) -> Result<Self, DecodeError> {
        Vec::decode(decoder).map(Self::from_bytes)
    }
}

impl<'de, T, Context> BorrowDecode<'de, Context> for Packed<T> {
    fn borrow_decode<D: BorrowDecoder<'de, Context = Context>>(
        decoder: &mut D,
    ) -> Result<Self, DecodeError> {
        Self::decode(decoder)
    }
}
