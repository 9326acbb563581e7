//! What names one content of declarations.

use std::fmt;

use bincode::enc::write::Writer;
use bincode::error::EncodeError;
use bincode::{Decode, Encode};
use xxhash_rust::xxh3::Xxh3;

use super::{Declarations, RouteRule};

/// Names one content of declarations, so that two VMs can compare theirs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DeclaredState {
    /// Version of the declarations.
    pub version: u64,
    /// XXH3-64 of everything but the version, in an order that does not depend on the routes'.
    pub digest: u64,
}

impl fmt::Display for DeclaredState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "version {} with digest {:016x}", self.version, self.digest)
    }
}

impl Declarations {
    /// What names this content; costs a pass over all routes.
    #[must_use]
    pub fn state(&self) -> DeclaredState {
        DeclaredState { version: self.version, digest: self.digest() }
    }

    /// Routes of one name, host and prefix count in the order in which they are declared.
    fn digest(&self) -> u64 {
        let mut routes: Vec<&RouteRule> = self.routes.iter().collect();
        routes.sort_by_key(|route| (&route.name, &route.host, &route.path_prefix));
        digest_of(&(&self.services, &self.limits, routes))
    }
}

/// Digest of a message's bincode bytes, of which no copy is made.
///
/// # Panics
/// Never: the writer takes all bytes, and numbers, strings and collections of them always encode.
#[allow(clippy::expect_used)]
fn digest_of<T: Encode>(message: &T) -> u64 {
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
