//! What turns one map of ranges into another.
//!
//! A map of a few hundred ranges is written several times a second, and each
//! write touches few of them. The ranges of a service are in order and without
//! gaps, so its new ranges say all: whatever held their keys is replaced.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};
use thiserror::Error;

use crate::{RangeMap, RangeRecord, ServiceRanges, StoreEra};

/// Why a change can't be applied to a map.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MapChangeError {
    /// The map is not the one that the change was made from.
    #[error(
        "the change follows on edit {wanted_edit} of writer {wanted_writer}, \
         the map is edit {edit} of writer {writer}"
    )]
    OtherBase {
        /// Writer of the map that the change was made from.
        wanted_writer: u64,
        /// Edit of the map that the change was made from.
        wanted_edit: u64,
        /// Writer of the map at hand.
        writer: u64,
        /// Edit of the map at hand.
        edit: u64,
    },
    /// The change removes a service that the map does not have.
    #[error("service {0} is to be removed and is not in the map")]
    ServiceMissing(String),
    /// The ranges of a service would not hold each key once, in order.
    #[error("the ranges of service {0} would have gaps or be out of order")]
    KeysUncovered(String),
}

/// What turns one map of ranges into another.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MapChange {
    /// Writer of the map that it was made from.
    base_writer: u64,
    /// Edit of the map that it was made from.
    base_edit: u64,
    /// [`RangeMap::fence`] of the new map.
    fence: u64,
    /// [`RangeMap::writer`] of the new map.
    writer: u64,
    /// [`RangeMap::edit`] of the new map.
    edit: u64,
    /// [`RangeMap::late`] of the new map.
    late_orders: bool,
    /// [`RangeMap::era`] of the new map.
    era: StoreEra,
    /// [`RangeMap::unconfirmed`] of the new map.
    unconfirmed: bool,
    /// Services that the new map does not have any more.
    removed: Vec<String>,
    /// By service, the ranges that the old map does not have, in order of their keys.
    changed: BTreeMap<String, ServiceRanges>,
}

impl MapChange {
    /// The change from one map to another, of which [`MapChange::apply`] makes exactly `to`.
    ///
    /// `None` when there is none, because the ranges of a service have gaps or are out of order.
    #[must_use]
    pub fn between(from: &RangeMap, to: &RangeMap) -> Option<Self> {
        let change = Self {
            base_writer: from.writer,
            base_edit: from.edit,
            fence: to.fence,
            writer: to.writer,
            edit: to.edit,
            late_orders: to.late_orders,
            era: to.era,
            unconfirmed: to.unconfirmed,
            removed: removed_services(from, to),
            changed: changed_services(from, to),
        };
        let exact = change.apply(from).is_ok_and(|made| made == *to);
        exact.then_some(change)
    }

    /// The map that the change makes of `base`.
    ///
    /// # Errors
    /// [`MapChangeError`] when `base` is not the map that the change was made from, as far as
    /// its writer, its edit and the edges of its ranges show.
    pub fn apply(&self, base: &RangeMap) -> Result<RangeMap, MapChangeError> {
        self.check_base(base)?;
        let mut services = base.services.clone();
        for service in &self.removed {
            let removed = services.remove(service);
            removed.ok_or_else(|| MapChangeError::ServiceMissing(service.clone()))?;
        }
        for (service, changed) in &self.changed {
            let known = services.get(service).map_or(&[][..], Vec::as_slice);
            let ranges = replace_ranges(known, changed);
            if !covers_keys(&ranges) {
                return Err(MapChangeError::KeysUncovered(service.clone()));
            }
            services.insert(service.clone(), ranges);
        }
        let Self { fence, writer, edit, late_orders: late, era, unconfirmed, .. } = *self;
        Ok(RangeMap { fence, writer, edit, late_orders: late, era, unconfirmed, services })
    }

    /// Number of new ranges: how much it takes to tell the change.
    #[must_use]
    pub fn range_count(&self) -> usize {
        self.changed.values().map(Vec::len).sum()
    }

    fn check_base(&self, base: &RangeMap) -> Result<(), MapChangeError> {
        if (base.writer, base.edit) == (self.base_writer, self.base_edit) {
            return Ok(());
        }
        Err(MapChangeError::OtherBase {
            wanted_writer: self.base_writer,
            wanted_edit: self.base_edit,
            writer: base.writer,
            edit: base.edit,
        })
    }
}

fn removed_services(from: &RangeMap, to: &RangeMap) -> Vec<String> {
    let known = from.services.keys();
    known.filter(|service| !to.services.contains_key(*service)).cloned().collect()
}

/// The new ranges of each service that is new or has other ranges than before.
fn changed_services(from: &RangeMap, to: &RangeMap) -> BTreeMap<String, ServiceRanges> {
    let mut changed = BTreeMap::new();
    for (service, new) in &to.services {
        let known = from.services.get(service);
        if known != Some(new) {
            let known = known.map_or(&[][..], Vec::as_slice);
            changed.insert(service.clone(), new_ranges(known, new));
        }
    }
    changed
}

/// The ranges of `new` that are not in `known`.
fn new_ranges(known: &[RangeRecord], new: &[RangeRecord]) -> ServiceRanges {
    let is_new = |range: &&RangeRecord| {
        let place = known.partition_point(|known| known.first < range.first);
        known.get(place) != Some(*range)
    };
    new.iter().filter(is_new).cloned().collect()
}

/// Puts each changed range in the place of those that end inside it.
fn replace_ranges(known: &[RangeRecord], changed: &[RangeRecord]) -> ServiceRanges {
    let mut ranges = ServiceRanges::with_capacity(known.len() + changed.len());
    let mut rest = known;
    for new in changed {
        let before = rest.partition_point(|range| range.last < new.first);
        let (kept, after) = rest.split_at(before);
        let replaced = after.partition_point(|range| range.last <= new.last);
        ranges.extend_from_slice(kept);
        ranges.push(new.clone());
        rest = &after[replaced..];
    }
    ranges.extend_from_slice(rest);
    ranges
}

/// Whether the ranges hold each key once, in order.
fn covers_keys(ranges: &[RangeRecord]) -> bool {
    let mut next = Some(0);
    for range in ranges {
        if next != Some(range.first) || range.last < range.first {
            return false;
        }
        next = range.last.checked_add(1);
    }
    next.is_none()
}
