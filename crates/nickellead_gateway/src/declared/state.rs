//! Identification of one state of the declarations.

use nickellead_peer::{DeclaredState, digest_of};

use super::{Declarations, SharedRoute};

impl Declarations {
    /// Version and digest of the declarations; the digests of known routes are cached.
    #[must_use]
    pub fn state(&self) -> DeclaredState {
        DeclaredState { version: self.version, digest: self.digest() }
    }

    /// Sum of all digests, which is independent of the order of routes.
    fn digest(&self) -> u64 {
        let rest = digest_of(&(&self.services, &self.limits, &self.workspaces));
        self.routes.iter().map(SharedRoute::digest).fold(rest, u64::wrapping_add)
    }
}
