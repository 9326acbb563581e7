//! Differences between two versions of the declarations.

use std::collections::{BTreeMap, HashMap, HashSet};

use bincode::{Decode, Encode};
use nickellead_peer::{ChangeError, DeclaredState};

use super::workspace::WorkspacesChange;
use super::{CallerLimits, Declarations, ServiceRule, SharedRoute};

/// The difference between two versions of the declarations.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct DeclarationsChange {
    /// The state that the change applies to.
    pub from: DeclaredState,
    /// The state after the change.
    pub to: DeclaredState,
    /// Names of routes that are no longer declared.
    pub removed: Vec<String>,
    /// Routes that were added or changed.
    pub set: Vec<SharedRoute>,
    /// The complete set of services, if any of them changed.
    pub services: Option<BTreeMap<String, ServiceRule>>,
    /// The limits, if any of them changed.
    pub limits: Option<CallerLimits>,
    /// The workspaces that changed.
    pub workspaces: WorkspacesChange,
}

impl DeclarationsChange {
    /// The change from `old` to `new`; `None` if route names are not unique in either.
    #[must_use]
    pub fn between(old: &Declarations, new: &Declarations) -> Option<Self> {
        let old_routes = routes_by_name(&old.routes)?;
        let new_routes = routes_by_name(&new.routes)?;
        let removed =
            old.routes.iter().filter(|route| !new_routes.contains_key(route.name.as_str()));
        let set = new.routes.iter().filter(|route| {
            old_routes.get(route.name.as_str()).is_none_or(|old_route| *old_route != *route)
        });
        Some(Self {
            from: old.state(),
            to: new.state(),
            removed: removed.map(|route| route.name.clone()).collect(),
            set: set.cloned().collect(),
            services: (old.services != new.services).then(|| new.services.clone()),
            limits: (old.limits != new.limits).then_some(new.limits),
            workspaces: WorkspacesChange::between(&old.workspaces, &new.workspaces),
        })
    }

    /// The declarations after the change; changed routes keep their position, new ones are
    /// appended.
    ///
    /// # Errors
    /// [`ChangeError`] if the change applies to another state or does not result in the stated one.
    pub fn apply(&self, old: &Declarations) -> Result<Declarations, ChangeError> {
        self.check_base(old.state())?;
        self.applied_to(old.clone())
    }

    /// Checks that the change applies to the known state.
    pub(super) fn check_base(&self, known: DeclaredState) -> Result<(), ChangeError> {
        ChangeError::check_base(self.from, known)
    }

    /// Applies the change to declarations whose state was checked with [`Self::check_base`].
    pub(super) fn applied_to(&self, old: Declarations) -> Result<Declarations, ChangeError> {
        let Declarations { mut routes, services, limits, workspaces, version: _ } = old;
        self.change_routes(&mut routes);
        let declarations = Declarations {
            version: self.to.version,
            routes,
            services: self.services.clone().unwrap_or(services),
            limits: self.limits.unwrap_or(limits),
            workspaces: self.workspaces.applied_to(workspaces),
        };
        ChangeError::check_result(self.to, declarations.state())?;
        Ok(declarations)
    }

    fn change_routes(&self, routes: &mut Vec<SharedRoute>) {
        let removed: HashSet<&str> = self.removed.iter().map(String::as_str).collect();
        let mut set: HashMap<&str, &SharedRoute> =
            self.set.iter().map(|route| (route.name.as_str(), route)).collect();
        routes.retain(|route| !removed.contains(route.name.as_str()));
        for route in routes.iter_mut() {
            if let Some(changed) = set.remove(route.name.as_str()) {
                *route = changed.clone();
            }
        }
        let new = self.set.iter().filter(|route| set.contains_key(route.name.as_str()));
        routes.extend(new.cloned());
    }
}

/// The routes by name; `None` if two have the same name.
fn routes_by_name(routes: &[SharedRoute]) -> Option<HashMap<&str, &SharedRoute>> {
    let by_name: HashMap<&str, &SharedRoute> =
        routes.iter().map(|route| (route.name.as_str(), route)).collect();
    (by_name.len() == routes.len()).then_some(by_name)
}
