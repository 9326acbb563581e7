//! What names one content of declarations, so that a wrong result of a change is noticed.

use std::fmt;

use bincode::enc::write::Writer;
use bincode::error::EncodeError;
use bincode::{Decode, Encode};
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3;

/// Names one content of declarations, so that two VMs can compare theirs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DeclaredState {
    /// Version of the declarations.
    pub version: u64,
    /// XXH3-64 of everything but the version.
    pub digest: u64,
}

impl fmt::Display for DeclaredState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "version {} with digest {:016x}", self.version, self.digest)
    }
}

/// Why a change can't be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// It changes another content than the one known.
    #[error("change is from {needed}, not from {known}")]
    WrongBase {
        /// The content that it changes.
        needed: DeclaredState,
        /// The content that is known.
        known: DeclaredState,
    },
    /// It does not lead to the content that it names.
    #[error("change led to {reached} instead of {promised}")]
    WrongResult {
        /// The content that it names.
        promised: DeclaredState,
        /// The content that it led to.
        reached: DeclaredState,
    },
}

impl ChangeError {
    /// Checks that a change is from the content known.
    ///
    /// # Errors
    /// [`ChangeError::WrongBase`] when it is not.
    pub fn check_base(needed: DeclaredState, known: DeclaredState) -> Result<(), Self> {
        if needed == known { Ok(()) } else { Err(Self::WrongBase { needed, known }) }
    }

    /// Checks that a change led to the content that it names.
    ///
    /// # Errors
    /// [`ChangeError::WrongResult`] when it did not.
    pub fn check_result(promised: DeclaredState, reached: DeclaredState) -> Result<(), Self> {
        if promised == reached { Ok(()) } else { Err(Self::WrongResult { promised, reached }) }
    }
}

/// Digest of a message's bincode bytes, of which no copy is made.
///
/// # Panics
/// Never: the writer takes all bytes, and numbers, strings and collections of them always encode.
#[allow(clippy::expect_used)]
#[must_use]
pub fn digest_of<T: Encode>(message: &T) -> u64 {
    let mut writer = DigestWriter(Xxh3::new());
    let config = bincode::config::standard();
    bincode::encode_into_writer(message, &mut writer, config).expect("plain values encode");
    writer.0.digest()
}

/// Takes bytes into a digest.
struct DigestWriter(Xxh3);

impl Writer for DigestWriter {
    fn write(&mut self, bytes: &[u8]) -> Result<(), EncodeError> {
        self.0.update(bytes);
        Ok(())
    }
}
