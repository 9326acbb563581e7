//! Who may own ranges: dividing a new service, and replacing owners who may not.

use std::collections::BTreeSet;

use nickellead_core::enforced;

use super::{RangeController, RangeWork};
use crate::map::KEY_COUNT;
use crate::{OwnerCandidate, RangeRecord, TargetInstance};

impl RangeController {
    /// Takes over who may own ranges of a service, and replaces owners who may not.
    ///
    /// `pick` chooses among the candidates for a range that needs an owner.
    pub fn set_candidates(
        &mut self,
        service: &str,
        candidates: &[OwnerCandidate],
        pick: impl FnMut(&[RangeRecord], u16, u16) -> Option<TargetInstance>,
    ) {
        let usable = |candidate: &&OwnerCandidate| !self.ended.contains(&candidate.target);
        let holders: BTreeSet<TargetInstance> =
            candidates.iter().filter(usable).map(|candidate| candidate.target.clone()).collect();
        self.candidates.insert(service.to_owned(), holders.clone());
        if holders.is_empty() {
            return;
        }
        if !self.map.services.contains_key(service) {
            self.divide(service, &holders);
            return;
        }
        self.replace_owners(service, &holders, pick);
    }

    /// Gives the ranges whose owner is none of `holders` to whom `pick` chooses.
    fn replace_owners(
        &mut self,
        service: &str,
        holders: &BTreeSet<TargetInstance>,
        mut pick: impl FnMut(&[RangeRecord], u16, u16) -> Option<TargetInstance>,
    ) {
        let places = self.map.services.get(service).map_or(0, Vec::len);
        for place in 0..places {
            let Some(ranges) = self.map.services.get(service) else { return };
            let range = &ranges[place];
            let stays = range.owner.as_ref().is_some_and(|owner| holders.contains(owner));
            if stays
                || !self.may_reassign(service, range.first)
                || (range.previous.is_some() && enforced!("one_previous_holder"))
            {
                // Who may still hold it is settled first; then the next call replaces the owner.
                continue;
            }
            if let Some(to) = pick(ranges, range.first, range.last) {
                self.reassign(service, place, to);
            }
        }
    }

    /// Gives a new service's key space to its targets in equal parts.
    fn divide(&mut self, service: &str, holders: &BTreeSet<TargetInstance>) {
        let edit = self.next_edit();
        let count = holders.len() as u32;
        let mut ranges = Vec::new();
        for (place, holder) in holders.iter().enumerate() {
            let place = place as u32;
            let first = (KEY_COUNT * place / count) as u16;
            let last = (KEY_COUNT * (place + 1) / count - 1) as u16;
            let fence = self.next_fence();
            let owner = Some(holder.clone());
            ranges.push(RangeRecord { first, last, fence, owner, previous: None, settled: false });
            let work = RangeWork { edit, ..RangeWork::default() };
            self.work.insert((service.to_owned(), first), work);
        }
        self.map.services.insert(service.to_owned(), ranges);
    }

    /// Whether a range may be given to another target: while the map is in doubt an owner that answers a
    /// release may have been released before, and another one have followed it.
    pub(super) fn may_reassign(&self, service: &str, first: u16) -> bool {
        let work = self.work.get(&(service.to_owned(), first));
        let doubted = self.doubt.is_foreign || work.is_some_and(|work| work.is_doubted);
        !(self.doubt.lasts && doubted)
    }

    /// Makes `to` the next owner of a range that nobody but its owner may hold.
    pub(super) fn reassign(&mut self, service: &str, place: usize, to: TargetInstance) {
        let fence = self.next_fence();
        let edit = self.next_edit();
        let Some(ranges) = self.map.services.get_mut(service) else { return };
        let range = &mut ranges[place];
        let previous = range.owner.replace(to);
        range.previous = previous.filter(|holder| !self.ended.contains(holder));
        range.fence = fence;
        range.settled = false;
        let work = self.work.entry((service.to_owned(), range.first)).or_default();
        // A grant under way may still turn out to be silent.
        let debt = if work.in_flight {
            work.owner_until + self.settings.max_lateness
        } else {
            work.owner_debt_until
        };
        *work = RangeWork {
            edit,
            previous_until: work.owner_until,
            previous_debt_until: work.owner_debt_until.max(debt),
            previous_was_silent: work.owner_was_silent,
            ..RangeWork::default()
        };
    }
}
