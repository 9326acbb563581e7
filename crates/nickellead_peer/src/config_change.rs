//! Differences between two states of the declared objects.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};
use nickellead_api::{DeclaredConfig, DeclaredService, DeclaredTarget};
use nickellead_core::{Name, Version};

use crate::declared_state::{ChangeError, DeclaredState, digest_of};

/// Version and digest of the declared objects; takes time linear in their size.
#[must_use]
pub fn config_state(config: &DeclaredConfig) -> DeclaredState {
    let digest = digest_of(&(&config.services, &config.targets));
    DeclaredState { version: config.revision.0, digest }
}

/// Difference between two lists of objects of one kind.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ListChange<T> {
    /// Names of the removed objects.
    pub removed: Vec<Name>,
    /// Objects that were added or changed.
    pub set: Vec<T>,
}

impl<T: Clone + PartialEq> ListChange<T> {
    fn between(old: &[T], new: &[T], name: fn(&T) -> &Name) -> Self {
        let old = by_name(old, name);
        let new = by_name(new, name);
        let removed = old.keys().filter(|name| !new.contains_key(*name));
        let set = new.iter().filter(|(name, item)| old.get(*name) != Some(item));
        Self {
            removed: removed.map(|name| (*name).clone()).collect(),
            set: set.map(|(_, item)| (*item).clone()).collect(),
        }
    }

    /// Returns the changed list, in order of names.
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

/// Difference between two states of the declared objects.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ConfigChange {
    /// State that the change applies to.
    pub from: DeclaredState,
    /// State after the change.
    pub to: DeclaredState,
    /// Changes of services.
    pub services: ListChange<DeclaredService>,
    /// Changes of targets.
    pub targets: ListChange<DeclaredTarget>,
}

impl ConfigChange {
    /// Computes the change by which [`ConfigChange::apply`] turns `old` into exactly `new`.
    ///
    /// `None` when the objects of `new` are not sorted by unique names.
    #[must_use]
    pub fn between(old: &DeclaredConfig, new: &DeclaredConfig) -> Option<Self> {
        Self::between_states(old, config_state(old), new)
    }

    /// As [`ConfigChange::between`], with the state of `old` given as `from`.
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

    /// Returns the declared objects after the change.
    ///
    /// # Errors
    /// [`ChangeError`] when the change is from another state or leads to another state than `to`.
    pub fn apply(&self, old: &DeclaredConfig) -> Result<DeclaredConfig, ChangeError> {
        ChangeError::check_base(self.from, config_state(old))?;
        self.applied_to(old.clone())
    }

    /// Applies the change to objects in the state `from`, which the caller has checked.
    pub(crate) fn applied_to(&self, old: DeclaredConfig) -> Result<DeclaredConfig, ChangeError> {
        let config = DeclaredConfig {
            revision: Version(self.to.version),
            services: self.services.applied_to(old.services, service_name),
            targets: self.targets.applied_to(old.targets, target_name),
        };
        ChangeError::check_result(self.to, config_state(&config))?;
        Ok(config)
    }

    /// Number of changed and removed objects, as a measure of the change's size.
    #[must_use]
    pub fn object_count(&self) -> usize {
        self.services.object_count() + self.targets.object_count()
    }
}
