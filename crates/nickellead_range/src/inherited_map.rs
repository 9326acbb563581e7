//! What the store holds beside what a VM knows: after a write that failed, and when a keeper takes over.

use crate::{RangeMap, Revision, StoreEra, Stored};

/// What became of a keeper's write that got no good answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The store holds a map of this keeper, as of this revision and edit.
    Written {
        /// Revision of the map.
        revision: Revision,
        /// Its edit.
        edit: u64,
    },
    /// Somebody else has written the map.
    Superseded,
    /// Nothing was done: the map is to be written over what has this revision, or made if `None`.
    NotWritten(Option<Revision>),
}

/// What became of a write, by the map that the store holds in this era.
///
/// `expected` is the revision that the write named. A map that a copy brought back, or that a late write
/// of an earlier era made, supersedes nobody: who holds the mandate of this era writes over it.
#[must_use]
pub fn classify_write(
    found: Option<&Stored<RangeMap>>,
    era: StoreEra,
    writer: u64,
    expected: Option<Revision>,
) -> WriteOutcome {
    let Some(found) = found else {
        return WriteOutcome::NotWritten(expected.filter(|expected| expected.era == era));
    };
    let (revision, edit) = (found.revision, found.value.edit);
    if found.is_from_earlier_era() {
        WriteOutcome::NotWritten(Some(revision))
    } else if found.value.writer == writer {
        WriteOutcome::Written { revision, edit }
    } else if Some(revision) == expected {
        WriteOutcome::NotWritten(expected)
    } else {
        WriteOutcome::Superseded
    }
}

/// A map that a keeper takes over.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InheritedMap {
    /// The map.
    pub map: RangeMap,
    /// The store's era in which it is taken over.
    pub era: StoreEra,
    /// Whether it came out of a copy, and this VM knows nothing of what followed on it.
    pub is_stale: bool,
}

impl InheritedMap {
    /// What the store holds in this era, or what this VM knows if the store has lost it.
    #[must_use]
    pub fn newest(
        found: Option<Stored<RangeMap>>,
        known: Option<Stored<RangeMap>>,
        era: StoreEra,
    ) -> Self {
        let known = known.filter(|known| known.effective_revision().era < era);
        let is_behind = |found: &Stored<RangeMap>| {
            known
                .as_ref()
                .is_some_and(|known| found.effective_revision() <= known.effective_revision())
        };
        match found {
            Some(found) if !is_behind(&found) => {
                Self { is_stale: found.is_from_earlier_era(), map: found.value, era }
            }
            _ => Self {
                is_stale: false,
                map: known.map(|known| known.value).unwrap_or_default(),
                era,
            },
        }
    }
}
