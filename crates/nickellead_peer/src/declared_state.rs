//! Version and digest of declarations, which detect changes with a wrong result.

use std::fmt;

use bincode::enc::write::Writer;
use bincode::error::EncodeError;
use bincode::{Decode, Encode};
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3;

/// Identifies one state of the declarations, so that two VMs can compare theirs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DeclaredState {
    /// Version of the declarations.
    pub version: u64,
    /// XXH3-64 of the declarations without their version.
    pub digest: u64,
}

impl fmt::Display for DeclaredState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "version {} with digest {:016x}", self.version, self.digest)
    }
}

/// Error of applying a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// The change applies to another state than the known one.
    #[error("change applies to {needed}, but the known state is {known}")]
    WrongBase {
        /// State that the change applies to.
        needed: DeclaredState,
        /// Known state.
        known: DeclaredState,
    },
    /// The change leads to another state than it declares.
    #[error("change led to {actual} instead of {expected}")]
    WrongResult {
        /// State that the change declares as its result.
        expected: DeclaredState,
        /// State that applying it led to.
        actual: DeclaredState,
    },
}

impl ChangeError {
    /// Checks that a change applies to the known state.
    ///
    /// # Errors
    /// [`ChangeError::WrongBase`] when it does not.
    pub fn check_base(needed: DeclaredState, known: DeclaredState) -> Result<(), Self> {
        if needed == known { Ok(()) } else { Err(Self::WrongBase { needed, known }) }
    }

    /// Checks that a change led to the state that it declares.
    ///
    /// # Errors
    /// [`ChangeError::WrongResult`] when it did not.
    pub fn check_result(expected: DeclaredState, actual: DeclaredState) -> Result<(), Self> {
        if expected == actual { Ok(()) } else { Err(Self::WrongResult { expected, actual }) }
    }
}

/// Computes the digest of a message's bincode encoding without buffering it.
///
/// # Panics
/// Never: the writer accepts all bytes, and numbers, strings and collections of them always encode.
#[allow(clippy::expect_used)]
#[must_use]
pub fn digest_of<T: Encode>(message: &T) -> u64 {
    let mut writer = DigestWriter(Xxh3::new());
    let config = bincode::config::standard();
    bincode::encode_into_writer(message, &mut writer, config).expect("plain values encode");
    writer.0.digest()
}

/// Adds the written bytes to a digest.
struct DigestWriter(Xxh3);

impl Writer for DigestWriter {
    fn write(&mut self, bytes: &[u8]) -> Result<(), EncodeError> {
        self.0.update(bytes);
        Ok(())
    }
}
