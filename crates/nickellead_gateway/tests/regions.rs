//! Where a request may be served.

use nickellead_gateway::is_region_allowed;
use quickcheck::quickcheck;

quickcheck! {
    fn an_allowed_region_is_listed(allowed: Option<Vec<String>>, region: Option<String>) -> bool {
        let listed = allowed.as_ref().map(|allowed| {
            region.as_ref().is_some_and(|region| allowed.contains(region))
        });
        is_region_allowed(allowed.as_deref(), region.as_deref()) == listed.unwrap_or(true)
    }
}
