//! The list of targets that the threads of one VM share.

use std::sync::Arc;

use bincode::{Decode, Encode};
use imbl::OrdMap;
use imbl::ordmap::DiffItem;
use xxhash_rust::xxh3::Xxh3;

use crate::{TargetEntry, TargetList, TargetState};

/// All listed targets, in the order of their identities.
///
/// Clones share their entries: cloning takes constant time, and comparing a list with an earlier one
/// takes time in proportion to their differences.
#[derive(Clone, Default)]
pub(crate) struct ListedTargets {
    entries: OrdMap<Arc<str>, Arc<TargetEntry>>,
    digest: ListDigest,
}

/// Sum of the hashes of all entries of a list, without their cold times.
///
/// Lists with the same entries have the same digest, in whatever order they changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct ListDigest(u64);

/// A difference between two lists.
pub(crate) enum ListedChange<'a> {
    Added(&'a TargetEntry),
    Replaced { old: &'a TargetEntry, new: &'a TargetEntry },
    Removed(&'a TargetEntry),
}

impl ListedTargets {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether this is a copy of the other list. Lists that were made apart are different, whatever their
    /// entries.
    pub(crate) fn is_copy_of(&self, other: &Self) -> bool {
        self.entries.ptr_eq(&other.entries)
    }

    /// The entry with this identity.
    pub(crate) fn get(&self, id: &str) -> Option<&TargetEntry> {
        self.entries.get(id).map(|entry| &**entry)
    }

    /// All entries, in the order of their identities.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.entries.values().map(|entry| &**entry)
    }

    /// Adds an entry, or replaces the one with its identity.
    pub(crate) fn insert(&mut self, entry: TargetEntry) {
        self.digest.add(&entry);
        let replaced = self.entries.insert(Arc::from(entry.id.as_str()), Arc::new(entry));
        replaced.iter().for_each(|entry| self.digest.subtract(entry));
    }

    /// Removes and returns the entry with this identity.
    pub(crate) fn remove(&mut self, id: &str) -> Option<Arc<TargetEntry>> {
        let removed = self.entries.remove(id);
        removed.iter().for_each(|entry| self.digest.subtract(entry));
        removed
    }

    /// Digest of its entries.
    pub(crate) fn digest(&self) -> ListDigest {
        self.digest
    }

    /// What is different from an earlier list.
    pub(crate) fn changes_since<'a>(
        &'a self,
        earlier: &'a Self,
    ) -> impl Iterator<Item = ListedChange<'a>> {
        earlier.entries.diff(&self.entries).map(|item| match item {
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

impl ListDigest {
    fn add(&mut self, entry: &TargetEntry) {
        self.0 = self.0.wrapping_add(hash_entry(entry));
    }

    fn subtract(&mut self, entry: &TargetEntry) {
        self.0 = self.0.wrapping_sub(hash_entry(entry));
    }
}

/// Hash of an entry without its cold time, which each VM counts down by itself.
fn hash_entry(entry: &TargetEntry) -> u64 {
    let mut hasher = Xxh3::new();
    for text in [&entry.id, &entry.service, &entry.zone, &entry.address.to_string()] {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    let is_ready = entry.state == TargetState::Ready;
    let born = [u64::from(entry.born.is_some()), entry.born.unwrap_or_default()];
    for number in born.into_iter().chain([entry.slots.get().into(), is_ready.into()]) {
        hasher.update(&number.to_le_bytes());
    }
    hasher.digest()
}
