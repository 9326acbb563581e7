//! What names one content of declarations.

use nickellead_peer::{DeclaredState, digest_of};

use super::{Declarations, SharedRoute};

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
