//! What names one content of declarations.

use std::fmt;

use bincode::enc::write::Writer;
use bincode::error::EncodeError;
use bincode::{Decode, Encode};
use xxhash_rust::xxh3::Xxh3;

use super::{Declarations, SharedRoute};

/// Names one content of declarations, so that two VMs can compare theirs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DeclaredState {
    /// Version of the declarations.
    pub version: u64,
    /// Sum of the XXH3-64 of each route, and of everything else but the version.
    pub digest: u64,
}

impl fmt::Display for DeclaredState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "version {} with digest {:016x}", self.version, self.digest)
    }
}

impl Declarations {
    /// What names this content; costs an addition a route, and a digest of each new one.
    #[must_use]
    pub fn state(&self) -> DeclaredState {
        DeclaredState { version: self.version, digest: self.digest() }
    }

    /// The sum of all digests, so that the order of routes does not count.
    fn digest(&self) -> u64 {
        let rest = digest_of(&(&self.services, &self.limits));
        self.routes.iter().map(SharedRoute::digest).fold(rest, u64::wrapping_add)
    }
}

/// Digest of a message's bincode bytes, of which no copy is made.
///
/// # Panics
/// Never: the writer takes all bytes, and numbers, strings and collections of them always encode.
#[allow(clippy::expect_used)]
pub(super) fn digest_of<T: Encode>(message: &T) -> u64 {
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
