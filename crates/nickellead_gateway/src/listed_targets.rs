//! The list of targets that the threads of one VM share.

use std::sync::Arc;

use imbl::OrdMap;
use imbl::ordmap::DiffItem;

use crate::{TargetEntry, TargetList};

/// All listed targets, in the order of their identities.
///
/// Clones share their entries: cloning takes constant time, and comparing a list with an earlier one
/// takes time in proportion to their differences.
#[derive(Clone, Default)]
pub(crate) struct ListedTargets(OrdMap<Arc<str>, Arc<TargetEntry>>);

/// A difference between two lists.
pub(crate) enum ListedChange<'a> {
    Added(&'a TargetEntry),
    Replaced { old: &'a TargetEntry, new: &'a TargetEntry },
    Removed(&'a TargetEntry),
}

impl ListedTargets {
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether this is a copy of the other list. Lists that were made apart are different, whatever their
    /// entries.
    pub(crate) fn is_copy_of(&self, other: &Self) -> bool {
        self.0.ptr_eq(&other.0)
    }

    /// The entry with this identity.
    pub(crate) fn get(&self, id: &str) -> Option<&TargetEntry> {
        self.0.get(id).map(|entry| &**entry)
    }

    /// All entries, in the order of their identities.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.0.values().map(|entry| &**entry)
    }

    /// Adds an entry, or replaces the one with its identity.
    pub(crate) fn insert(&mut self, entry: TargetEntry) {
        self.0.insert(Arc::from(entry.id.as_str()), Arc::new(entry));
    }

    /// Removes and returns the entry with this identity.
    pub(crate) fn remove(&mut self, id: &str) -> Option<Arc<TargetEntry>> {
        self.0.remove(id)
    }

    /// What is different from an earlier list.
    pub(crate) fn changes_since<'a>(
        &'a self,
        earlier: &'a Self,
    ) -> impl Iterator<Item = ListedChange<'a>> {
        earlier.0.diff(&self.0).map(|item| match item {
            DiffItem::Add(_, new) => ListedChange::Added(new),
            DiffItem::Update { old: (_, old), new: (_, new) } => {
                ListedChange::Replaced { old, new }
            }
            DiffItem::Remove(_, old) => ListedChange::Removed(old),
        })
    }

    /// A copy in the form in which VMs send it to each other.
    pub(crate) fn to_list(&self) -> TargetList {
        self.entries().map(|entry| (entry.id.clone(), entry.clone())).collect()
    }
}

impl FromIterator<TargetEntry> for ListedTargets {
    fn from_iter<I: IntoIterator<Item = TargetEntry>>(entries: I) -> Self {
        let mut list = Self::default();
        entries.into_iter().for_each(|entry| list.insert(entry));
        list
    }
}
