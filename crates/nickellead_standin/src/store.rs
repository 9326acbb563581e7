//! In-memory store of versioned objects, with a bounded history of changes.

use std::collections::{BTreeMap, VecDeque};

use nickellead_api::{ObjectKind, ResourceObject};
use nickellead_core::{Name, Version};
use nickellead_platform::{ObjectList, WatchEvent, WatchPage};

/// Maximum number of changes kept for watches.
const MAX_HISTORY_EVENTS: usize = 1_024;

/// Reason why the store rejects a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// There is no such object.
    NotFound,
    /// The expected version differs; the object has this one.
    Conflict(Version),
    /// The history no longer holds changes since the requested revision.
    Compacted,
}

/// Objects of the platform with the history of their changes.
#[derive(Clone, Debug, Default)]
pub struct ObjectStore {
    revision: Version,
    objects: BTreeMap<(ObjectKind, Name), ResourceObject>,
    history: VecDeque<WatchEvent>,
    compacted_revision: Version,
}

impl ObjectStore {
    /// Revision of the last write; zero before the first one.
    #[must_use]
    pub const fn revision(&self) -> Version {
        self.revision
    }

    /// Reads one object.
    ///
    /// # Errors
    /// Returns [`StoreError::NotFound`] if there is no such object.
    pub fn get(&self, kind: ObjectKind, name: &Name) -> Result<ResourceObject, StoreError> {
        let object = self.objects.get(&(kind, name.clone()));
        object.cloned().ok_or(StoreError::NotFound)
    }

    /// All declared objects and the current revision.
    #[must_use]
    pub fn list_declared(&self) -> ObjectList {
        let declared = self.objects.values().filter(|object| object.kind.is_declared());
        ObjectList { revision: self.revision, items: declared.cloned().collect() }
    }

    /// All objects of a kind, ordered by name.
    #[must_use]
    pub fn list(&self, kind: ObjectKind) -> Vec<ResourceObject> {
        let objects = self.objects.values();
        objects.filter(|object| object.kind == kind).cloned().collect()
    }

    /// Writes one object if it has the expected version; version 0 expects no object.
    ///
    /// # Errors
    /// Returns [`StoreError::Conflict`] if the version differs.
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
    /// Returns [`StoreError::NotFound`] or [`StoreError::Conflict`].
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

    /// Changes of declared objects after the revision `from`.
    ///
    /// # Errors
    /// Returns [`StoreError::Compacted`] if the history no longer holds these changes.
    pub fn changes_since(&self, from: Version) -> Result<WatchPage, StoreError> {
        if from < self.compacted_revision {
            return Err(StoreError::Compacted);
        }
        let newer = self.history.iter().filter(|event| event.revision > from);
        let events = newer.filter(|event| event.kind.is_declared()).cloned().collect();
        Ok(WatchPage { revision: self.revision, events })
    }

    /// Discards the history of changes.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted_revision = self.revision;
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
        if self.history.len() == MAX_HISTORY_EVENTS
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted_revision = oldest.revision;
        }
        let (name, revision) = (name.clone(), self.revision);
        self.history.push_back(WatchEvent { kind, name, object, revision });
    }
}
