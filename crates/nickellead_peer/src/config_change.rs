//! What changed from one content of declared objects to another.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};
use nickellead_api::{DeclaredConfig, DeclaredService, DeclaredTarget};
use nickellead_core::{Name, Version};

use crate::content::{ChangeError, DeclaredState, digest_of};

/// What names the content of declared objects; costs a pass over all of them.
#[must_use]
pub fn config_state(config: &DeclaredConfig) -> DeclaredState {
    let digest = digest_of(&(&config.services, &config.targets));
    DeclaredState { version: config.revision.0, digest }
}

/// What changed in a list of objects of one kind.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ListChange<T> {
    /// Names of objects that are no longer declared.
    pub removed: Vec<Name>,
    /// Objects that are new or differ from the one of the same name.
    pub set: Vec<T>,
}

impl<T: Clone + PartialEq> ListChange<T> {
    fn between(old: &[T], new: &[T], name: fn(&T) -> &Name) -> Self {
        let known = by_name(old, name);
        let wanted = by_name(new, name);
        let removed = known.keys().filter(|name| !wanted.contains_key(*name));
        let set = wanted.iter().filter(|(name, item)| known.get(*name) != Some(item));
        Self {
            removed: removed.map(|name| (*name).clone()).collect(),
            set: set.map(|(_, item)| (*item).clone()).collect(),
        }
    }

    /// The list after the change, in order of names.
    fn applied_to(&self, old: Vec<T>, name: fn(&T) -> &Name) -> Vec<T> {
        let mut items: BTreeMap<Name, T> =
            old.into_iter().map(|item| (name(&item).clone(), item)).collect();
        for removed in &self.removed {
            items.remove(removed);
        }
        for item in &self.set {
            items.insert(name(item).clone(), item.clone());
        }
        items.into_values().collect()
    }

    fn object_count(&self) -> usize {
        self.removed.len() + self.set.len()
    }
}

fn by_name<T>(items: &[T], name: fn(&T) -> &Name) -> BTreeMap<&Name, &T> {
    items.iter().map(|item| (name(item), item)).collect()
}

fn service_name(service: &DeclaredService) -> &Name {
    &service.name
}

fn target_name(target: &DeclaredTarget) -> &Name {
    &target.name
}

/// What changed from one content of declared objects to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ConfigChange {
    /// The content that it changes.
    pub from: DeclaredState,
    /// The content that results.
    pub to: DeclaredState,
    /// What changed in the services.
    pub services: ListChange<DeclaredService>,
    /// What changed in the targets.
    pub targets: ListChange<DeclaredTarget>,
}

impl ConfigChange {
    /// The change from `old` to `new`, of which [`ConfigChange::apply`] makes exactly `new`.
    ///
    /// `None` when there is none, because objects of `new` are not in order of unique names.
    #[must_use]
    pub fn between(old: &DeclaredConfig, new: &DeclaredConfig) -> Option<Self> {
        Self::between_states(old, config_state(old), new)
    }

    /// The same, with the state of `old` as the caller knows it.
    pub(crate) fn between_states(
        old: &DeclaredConfig,
        from: DeclaredState,
        new: &DeclaredConfig,
    ) -> Option<Self> {
        let change = Self {
            from,
            to: config_state(new),
            services: ListChange::between(&old.services, &new.services, service_name),
            targets: ListChange::between(&old.targets, &new.targets, target_name),
        };
        change.applied_to(old.clone()).ok().map(|_| change)
    }

    /// The declared objects after the change.
    ///
    /// # Errors
    /// [`ChangeError`] when the change is from another content or leads to a wrong one.
    pub fn apply(&self, old: &DeclaredConfig) -> Result<DeclaredConfig, ChangeError> {
        ChangeError::check_base(self.from, config_state(old))?;
        self.applied_to(old.clone())
    }

    /// Changes objects whose state was checked by the caller.
    pub(crate) fn applied_to(&self, old: DeclaredConfig) -> Result<DeclaredConfig, ChangeError> {
        let config = DeclaredConfig {
            revision: Version(self.to.version),
            services: self.services.applied_to(old.services, service_name),
            targets: self.targets.applied_to(old.targets, target_name),
        };
        ChangeError::check_result(self.to, config_state(&config))?;
        Ok(config)
    }

    /// Number of objects named: how much it takes to tell the change.
    #[must_use]
    pub fn object_count(&self) -> usize {
        self.services.object_count() + self.targets.object_count()
    }
}
