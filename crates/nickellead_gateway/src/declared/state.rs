//! What names one content of declarations.

use nickellead_peer::{DeclaredState, digest_of};

use super::{Declarations, RouteRule};

impl Declarations {
    /// What names this content; costs a pass over all routes.
    #[must_use]
    pub fn state(&self) -> DeclaredState {
        DeclaredState { version: self.version, digest: self.digest() }
    }

    /// Depends on the order of routes only where these have one name, host and prefix.
    fn digest(&self) -> u64 {
        let mut routes: Vec<&RouteRule> = self.routes.iter().collect();
        routes.sort_by_key(|route| (&route.name, &route.host, &route.path_prefix));
        digest_of(&(&self.services, &self.limits, routes))
    }
}
