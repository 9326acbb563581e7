//! Registered targets in an order that all VMs agree on.

use std::rc::Rc;

use crate::registered_target::RegisteredTarget;

/// Targets in the order of the hashes of their identities, which spreads neighbours in the list of
/// targets.
#[derive(Default)]
pub(crate) struct SortedTargets {
    targets: Vec<Rc<RegisteredTarget>>,
    /// Sum of their slots.
    slots: u64,
}

impl SortedTargets {
    pub(crate) fn as_slice(&self) -> &[Rc<RegisteredTarget>] {
        &self.targets
    }

    pub(crate) fn len(&self) -> usize {
        self.targets.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Sum of the targets' slots.
    pub(crate) fn slots(&self) -> u64 {
        self.slots
    }

    pub(crate) fn insert(&mut self, target: &Rc<RegisteredTarget>) {
        let index = self.targets.partition_point(|one| one.order() < target.order());
        self.targets.insert(index, Rc::clone(target));
        self.slots += u64::from(target.slots);
    }

    pub(crate) fn remove(&mut self, target: &RegisteredTarget) {
        if let Ok(index) = self.targets.binary_search_by(|one| one.order().cmp(&target.order())) {
            self.targets.remove(index);
            self.slots -= u64::from(target.slots);
        }
    }
}

impl FromIterator<Rc<RegisteredTarget>> for SortedTargets {
    fn from_iter<I: IntoIterator<Item = Rc<RegisteredTarget>>>(targets: I) -> Self {
        let mut targets: Vec<_> = targets.into_iter().collect();
        targets.sort_unstable_by(|one, other| one.order().cmp(&other.order()));
        let slots = targets.iter().map(|target| u64::from(target.slots)).sum();
        Self { targets, slots }
    }
}
