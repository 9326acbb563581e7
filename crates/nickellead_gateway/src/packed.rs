//! Messages that are packed once and told many times.

use std::fmt;
use std::marker::PhantomData;

use bincode::de::{BorrowDecode, BorrowDecoder, Decoder};
use bincode::enc::Encoder;
use bincode::error::{DecodeError, EncodeError};
use bincode::{Decode, Encode};
use bytes::Bytes;
use miniz_oxide::deflate::compress_to_vec_zlib;
use miniz_oxide::inflate::{TINFLStatus, decompress_to_vec_zlib_with_limit};
use nickellead_peer::{FRAME_LIMIT, PeerError};
use thiserror::Error;

/// Most bytes that one packed message may unpack to: what a VM may tell another without packing.
pub const UNPACKED_LIMIT: usize = FRAME_LIMIT;

/// Level of compression, 0 to 10. For 4,200 routes, level 1 takes 1.6 ms for 104 kB, level 3 takes
/// 5.7 ms for 92 kB and level 6 takes 10 ms for 88 kB of 249 kB. A message is packed once and told
/// to several VMs, and at 10 Mbit/s each of them receives it 10 ms sooner at level 3 than at 1.
const COMPRESSION_LEVEL: u8 = 3;

/// Why a message could not be packed or unpacked.
#[derive(Debug, Error)]
pub enum PackedError {
    /// The message is no message of this protocol version, or too large.
    #[error(transparent)]
    Message(#[from] PeerError),
    /// The bytes unpack to more than [`UNPACKED_LIMIT`].
    #[error("packed bytes hold more than {UNPACKED_LIMIT} bytes")]
    TooLarge,
    /// The bytes are no whole zlib stream, or its checksum does not match.
    #[error("packed bytes can't be read: {0:?}")]
    Corrupt(TINFLStatus),
}

/// A message's bincode bytes as a zlib stream (RFC 1950: deflate with a checksum).
///
/// A copy shares its bytes, and within another message they are a byte string.
pub struct Packed<T> {
    bytes: Bytes,
    message: PhantomData<fn() -> T>,
}

impl<T> Packed<T> {
    /// Bytes as they are told.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are no bytes at all, which is no message.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    fn of(bytes: Vec<u8>) -> Self {
        Self { bytes: Bytes::from(bytes), message: PhantomData }
    }
}

impl<T: Encode> Packed<T> {
    /// Packs a message.
    ///
    /// # Errors
    /// [`PackedError::Message`] when the message exceeds [`UNPACKED_LIMIT`].
    pub fn pack(message: &T) -> Result<Self, PackedError> {
        let plain = nickellead_peer::encode(message)?;
        Ok(Self::of(compress_to_vec_zlib(&plain, COMPRESSION_LEVEL)))
    }
}

impl<T: Decode<()>> Packed<T> {
    /// The message.
    ///
    /// # Errors
    /// [`PackedError`] when the bytes are corrupt, too large or no such message.
    pub fn unpack(&self) -> Result<T, PackedError> {
        let plain = decompress_to_vec_zlib_with_limit(&self.bytes, UNPACKED_LIMIT);
        let plain = plain.map_err(|error| match error.status {
            TINFLStatus::HasMoreOutput => PackedError::TooLarge,
            status => PackedError::Corrupt(status),
        })?;
        Ok(nickellead_peer::decode(&plain)?)
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
        Vec::decode(decoder).map(Self::of)
    }
}

impl<'de, T, Context> BorrowDecode<'de, Context> for Packed<T> {
    fn borrow_decode<D: BorrowDecoder<'de, Context = Context>>(
        decoder: &mut D,
    ) -> Result<Self, DecodeError> {
        Self::decode(decoder)
    }
}
