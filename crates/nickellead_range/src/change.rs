//! Differences between two maps of ranges.
//!
//! Most writes of the map change few of its ranges, so VMs send each other the changed ranges
//! only. The ranges of a service are in order and without gaps, so each new range replaces
//! whichever ranges covered its keys.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};
use thiserror::Error;

use crate::{RangeMap, RangeRecord, ServiceRanges, StoreEra};

/// Reason why a change cannot be applied to a map.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MapChangeError {
    /// The map is not the base of the change.
    #[error(
        "change applies to edit {expected_edit} of writer {expected_writer}, \
         but the map is edit {edit} of writer {writer}"
    )]
    BaseMismatch {
        /// Writer of the change's base.
        expected_writer: u64,
        /// Edit of the change's base.
        expected_edit: u64,
        /// Writer of the map that the change was applied to.
        writer: u64,
        /// Edit of the map that the change was applied to.
        edit: u64,
    },
    /// The change removes a service that the map does not have.
    #[error("change removes service {0}, which is not in the map")]
    MissingService(String),
    /// The ranges of a service would not cover each key once, in order.
    #[error("change leaves the ranges of service {0} with gaps, overlaps or out of order")]
    InvalidRanges(String),
}

/// Difference between two maps of ranges, as VMs send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MapChange {
    /// [`RangeMap::writer`] of the base map.
    base_writer: u64,
    /// [`RangeMap::edit`] of the base map.
    base_edit: u64,
    /// [`RangeMap::fence`] of the new map.
    fence: u64,
    /// [`RangeMap::writer`] of the new map.
    writer: u64,
    /// [`RangeMap::edit`] of the new map.
    edit: u64,
    /// [`RangeMap::late_orders`] of the new map.
    late_orders: bool,
    /// [`RangeMap::era`] of the new map.
    era: StoreEra,
    /// [`RangeMap::unconfirmed`] of the new map.
    unconfirmed: bool,
    /// Services that only the base map has.
    removed: Vec<String>,
    /// By service, the ranges that only the new map has, in order of their keys.
    changed: BTreeMap<String, ServiceRanges>,
}

impl MapChange {
    /// The change that [`MapChange::apply`] uses to turn `from` into exactly `to`.
    ///
    /// `None` if the ranges of a service have gaps or are out of order.
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

    /// The map that results from applying the change to `base`.
    ///
    /// # Errors
    /// [`MapChangeError`] if the writer, the edit or the range boundaries of `base` show that it is
    /// not the base of the change.
    pub fn apply(&self, base: &RangeMap) -> Result<RangeMap, MapChangeError> {
        self.check_base(base)?;
        let mut services = base.services.clone();
        for service in &self.removed {
            let removed = services.remove(service);
            removed.ok_or_else(|| MapChangeError::MissingService(service.clone()))?;
        }
        for (service, changed) in &self.changed {
            let base_ranges = services.get(service).map_or(&[][..], Vec::as_slice);
            let ranges = replace_ranges(base_ranges, changed);
            if !covers_keys(&ranges) {
                return Err(MapChangeError::InvalidRanges(service.clone()));
            }
            services.insert(service.clone(), ranges);
        }
        let Self { fence, writer, edit, late_orders, era, unconfirmed, .. } = *self;
        Ok(RangeMap { fence, writer, edit, late_orders, era, unconfirmed, services })
    }

    /// Number of changed ranges, which determines the size of the encoded change.
    #[must_use]
    pub fn range_count(&self) -> usize {
        self.changed.values().map(Vec::len).sum()
    }

    fn check_base(&self, base: &RangeMap) -> Result<(), MapChangeError> {
        if (base.writer, base.edit) == (self.base_writer, self.base_edit) {
            return Ok(());
        }
        Err(MapChangeError::BaseMismatch {
            expected_writer: self.base_writer,
            expected_edit: self.base_edit,
            writer: base.writer,
            edit: base.edit,
        })
    }
}

fn removed_services(from: &RangeMap, to: &RangeMap) -> Vec<String> {
    let services = from.services.keys();
    services.filter(|service| !to.services.contains_key(*service)).cloned().collect()
}

/// The changed ranges of each service that is new or differs from the base map.
fn changed_services(from: &RangeMap, to: &RangeMap) -> BTreeMap<String, ServiceRanges> {
    let mut changed = BTreeMap::new();
    for (service, new) in &to.services {
        let old = from.services.get(service);
        if old != Some(new) {
            let old = old.map_or(&[][..], Vec::as_slice);
            changed.insert(service.clone(), new_ranges(old, new));
        }
    }
    changed
}

/// The ranges of `new` that are not in `old`.
fn new_ranges(old: &[RangeRecord], new: &[RangeRecord]) -> ServiceRanges {
    let is_new = |range: &&RangeRecord| {
        let index = old.partition_point(|old| old.first < range.first);
        old.get(index) != Some(*range)
    };
    new.iter().filter(is_new).cloned().collect()
}

/// Replaces the ranges that end inside a changed range by that range.
fn replace_ranges(old: &[RangeRecord], changed: &[RangeRecord]) -> ServiceRanges {
    let mut ranges = ServiceRanges::with_capacity(old.len() + changed.len());
    let mut rest = old;
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

/// Whether the ranges cover each key once, in order.
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
