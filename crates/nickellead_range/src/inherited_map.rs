//! Comparison of the stored map with a VM's known map, after failed writes and at a takeover.

use crate::{RangeMap, Revision, StoreEra, Stored};

/// Outcome of a map write whose response was missing or negative, as read back from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The store holds a map that this controller wrote.
    Written {
        /// Revision of the stored map.
        revision: Revision,
        /// Number of the last edit in the stored map.
        edit: u64,
    },
    /// Another controller has written the map.
    Superseded,
    /// The write had no effect; the next one must expect this revision, or no map if `None`.
    NotWritten(Option<Revision>),
}

/// Determines the outcome of a write from the map that the store holds in this era.
///
/// `expected` is the revision that the write required. A map from an earlier era, whether restored
/// from a copy or written late, does not supersede this controller, because the mandate holder of
/// the current era overwrites it.
#[must_use]
pub fn classify_write(
    stored: Option<&Stored<RangeMap>>,
    era: StoreEra,
    writer: u64,
    expected: Option<Revision>,
) -> WriteOutcome {
    let Some(stored) = stored else {
        return WriteOutcome::NotWritten(expected.filter(|expected| expected.era == era));
    };
    let (revision, edit) = (stored.revision, stored.value.edit);
    if stored.is_from_earlier_era() {
        WriteOutcome::NotWritten(Some(revision))
    } else if stored.value.writer == writer {
        WriteOutcome::Written { revision, edit }
    } else if Some(revision) == expected {
        WriteOutcome::NotWritten(expected)
    } else {
        WriteOutcome::Superseded
    }
}

/// The map that a new controller starts from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InheritedMap {
    /// The map as last written by a predecessor.
    pub map: RangeMap,
    /// The store's era at the takeover.
    pub era: StoreEra,
    /// Whether the map was restored from a copy and this VM knows no later one.
    pub is_stale: bool,
}

impl InheritedMap {
    /// The stored map, or the map that this VM knows if the store has lost it.
    #[must_use]
    pub fn newest(
        stored: Option<Stored<RangeMap>>,
        known: Option<Stored<RangeMap>>,
        era: StoreEra,
    ) -> Self {
        let known = known.filter(|known| known.effective_revision().era < era);
        let is_behind = |stored: &Stored<RangeMap>| {
            known
                .as_ref()
                .is_some_and(|known| stored.effective_revision() <= known.effective_revision())
        };
        match stored {
            Some(stored) if !is_behind(&stored) => {
                Self { is_stale: stored.is_from_earlier_era(), map: stored.value, era }
            }
            _ => Self {
                is_stale: false,
                map: known.map(|known| known.value).unwrap_or_default(),
                era,
            },
        }
    }
}
