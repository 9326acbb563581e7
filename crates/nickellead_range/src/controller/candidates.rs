//! Assignment of owners: division of new services and replacement of owners that are no candidates.

use std::collections::BTreeSet;

use nickellead_core::enforced;

use super::{RangeController, RangeState};
use crate::map::KEY_COUNT;
use crate::{OwnerCandidate, RangeRecord, TargetInstance};

impl RangeController {
    /// Sets the candidates for the ranges of a service and replaces owners that are not among them.
    ///
    /// `pick` selects the new owner of a range from the service's ranges and its first and last key.
    pub fn set_candidates(
        &mut self,
        service: &str,
        candidates: &[OwnerCandidate],
        pick: impl FnMut(&[RangeRecord], u16, u16) -> Option<TargetInstance>,
    ) {
        let usable = |candidate: &&OwnerCandidate| !self.ended.contains(&candidate.target);
        let allowed: BTreeSet<TargetInstance> =
            candidates.iter().filter(usable).map(|candidate| candidate.target.clone()).collect();
        self.candidates.insert(service.to_owned(), allowed.clone());
        self.unreplaced.remove(service);
        if allowed.is_empty() {
            return;
        }
        if !self.map.services.contains_key(service) {
            self.divide(service, &allowed);
            return;
        }
        self.replace_owners(service, &allowed, pick);
    }

    /// Reassigns the ranges whose owner is not in `allowed`.
    fn replace_owners(
        &mut self,
        service: &str,
        allowed: &BTreeSet<TargetInstance>,
        mut pick: impl FnMut(&[RangeRecord], u16, u16) -> Option<TargetInstance>,
    ) {
        let count = self.map.services.get(service).map_or(0, Vec::len);
        let mut all_replaced = true;
        for index in 0..count {
            let Some(ranges) = self.map.services.get(service) else { return };
            let range = &ranges[index];
            let stays = range.owner.as_ref().is_some_and(|owner| allowed.contains(owner));
            if stays
                || !self.may_reassign(service, range.first)
                || (range.previous.is_some() && enforced!("one_previous_holder"))
            {
                // A later call replaces the owner once no previous owner remains.
                all_replaced &= stays;
                continue;
            }
            match pick(ranges, range.first, range.last) {
                Some(to) => self.reassign(service, index, to),
                None => all_replaced = false,
            }
        }
        if !all_replaced {
            self.unreplaced.insert(service.to_owned());
        }
    }

    /// Whether owners have to be replaced although the candidates stay the same.
    #[must_use]
    pub fn has_unreplaced_owners(&self) -> bool {
        !self.unreplaced.is_empty()
    }

    /// Divides a new service's key space equally among its targets.
    fn divide(&mut self, service: &str, allowed: &BTreeSet<TargetInstance>) {
        let edit = self.next_edit();
        let count = allowed.len() as u32;
        let mut ranges = Vec::new();
        for (index, target) in allowed.iter().enumerate() {
            let index = index as u32;
            let first = (KEY_COUNT * index / count) as u16;
            let last = (KEY_COUNT * (index + 1) / count - 1) as u16;
            let fence = self.next_fence();
            let owner = Some(target.clone());
            ranges.push(RangeRecord { first, last, fence, owner, previous: None, settled: false });
            let state = RangeState { required_edit: edit, ..RangeState::default() };
            self.range_states.insert((service.to_owned(), first), state);
        }
        self.map.services.insert(service.to_owned(), ranges);
    }

    /// Whether a range may be reassigned.
    ///
    /// While the map is unconfirmed, an owner that confirms a release may have been released before
    /// and replaced by a target that the map does not name.
    pub(super) fn may_reassign(&self, service: &str, first: u16) -> bool {
        let state = self.range_states.get(&(service.to_owned(), first));
        let unconfirmed =
            self.unconfirmed.is_inherited || state.is_some_and(|state| state.is_unconfirmed);
        !(self.unconfirmed.is_active && unconfirmed)
    }

    /// Makes `to` the next owner of a range that has no previous owner.
    pub(super) fn reassign(&mut self, service: &str, index: usize, to: TargetInstance) {
        let fence = self.next_fence();
        let edit = self.next_edit();
        let Some(ranges) = self.map.services.get_mut(service) else { return };
        let range = &mut ranges[index];
        let previous = range.owner.replace(to);
        range.previous = previous.filter(|previous| !self.ended.contains(previous));
        range.fence = fence;
        range.settled = false;
        let state = self.range_states.entry((service.to_owned(), range.first)).or_default();
        // A grant in flight may still turn out to be unanswered.
        let late_until = if state.in_flight {
            state.owner_lease_until + self.settings.max_lateness
        } else {
            state.owner_late_until
        };
        *state = RangeState {
            required_edit: edit,
            previous_lease_until: state.owner_lease_until,
            previous_late_until: state.owner_late_until.max(late_until),
            previous_may_be_late: state.owner_may_be_late,
            ..RangeState::default()
        };
    }
}
