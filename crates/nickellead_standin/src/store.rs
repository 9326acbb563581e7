//! Versioned objects in memory, with a bounded history of changes.

use std::collections::{BTreeMap, VecDeque};

use nickellead_api::{ObjectKind, ResourceObject};
use nickellead_core::{Name, Version};
use nickellead_platform::{ObjectList, WatchEvent, WatchPage};

/// Changes kept for watches.
const HISTORY_LENGTH: usize = 1_024;

/// Why the store refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// There is no such object.
    NotFound,
    /// The object has this version.
    Conflict(Version),
    /// The history does not reach back that far.
    Compacted,
}

/// The platform's objects.
#[derive(Clone, Debug, Default)]
pub struct ObjectStore {
    revision: Version,
    objects: BTreeMap<(ObjectKind, Name), ResourceObject>,
    history: VecDeque<WatchEvent>,
    compacted: Version,
}

impl ObjectStore {
    /// The newest revision.
    #[must_use]
    pub const fn revision(&self) -> Version {
        self.revision
    }

    /// Reads one object.
    ///
    /// # Errors
    /// [`StoreError::NotFound`].
    pub fn get(&self, kind: ObjectKind, name: &Name) -> Result<ResourceObject, StoreError> {
        let object = self.objects.get(&(kind, name.clone()));
        object.cloned().ok_or(StoreError::NotFound)
    }

    /// Every declared object.
    #[must_use]
    pub fn list_declared(&self) -> ObjectList {
        let declared = self.objects.values().filter(|object| object.kind.is_declared());
        ObjectList { revision: self.revision, items: declared.cloned().collect() }
    }

    /// Every object of a kind.
    #[must_use]
    pub fn list(&self, kind: ObjectKind) -> Vec<ResourceObject> {
        let objects = self.objects.values();
        objects.filter(|object| object.kind == kind).cloned().collect()
    }

    /// Writes one object if it has the expected version; 0 means absent.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] when the version differs.
    pub fn put(
        &mut self,
        kind: ObjectKind,
        name: &Name,
        expected: Version,
        spec: serde_json::Value,
    ) -> Result<Version, StoreError> {
        self.check_version(kind, name, expected)?;
        self.revision = self.revision.next();
        let object =
            ResourceObject { kind, name: name.clone(), version: self.revision, spec, status: None };
        self.objects.insert((kind, name.clone()), object.clone());
        self.record(kind, name, Some(object));
        Ok(self.revision)
    }

    /// Deletes one object if it has the expected version.
    ///
    /// # Errors
    /// [`StoreError::NotFound`] or [`StoreError::Conflict`].
    pub fn delete(
        &mut self,
        kind: ObjectKind,
        name: &Name,
        expected: Version,
    ) -> Result<Version, StoreError> {
        self.get(kind, name)?;
        self.check_version(kind, name, expected)?;
        self.objects.remove(&(kind, name.clone()));
        self.revision = self.revision.next();
        self.record(kind, name, None);
        Ok(self.revision)
    }

    /// Changes of declared objects after a revision.
    ///
    /// # Errors
    /// [`StoreError::Compacted`] when the history does not reach back that far.
    pub fn changes_since(&self, from: Version) -> Result<WatchPage, StoreError> {
        if from < self.compacted {
            return Err(StoreError::Compacted);
        }
        let after = self.history.iter().filter(|event| event.revision > from);
        let events = after.filter(|event| event.kind.is_declared()).cloned().collect();
        Ok(WatchPage { revision: self.revision, events })
    }

    /// Forgets the history, as a compaction does.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted = self.revision;
    }

    fn check_version(
        &self,
        kind: ObjectKind,
        name: &Name,
        expected: Version,
    ) -> Result<(), StoreError> {
        let current = self.get(kind, name).map_or(Version::ZERO, |object| object.version);
        if current == expected { Ok(()) } else { Err(StoreError::Conflict(current)) }
    }

    fn record(&mut self, kind: ObjectKind, name: &Name, object: Option<ResourceObject>) {
        if self.history.len() == HISTORY_LENGTH
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted = oldest.revision;
        }
        let (name, revision) = (name.clone(), self.revision);
        self.history.push_back(WatchEvent { kind, name, object, revision });
    }
}
