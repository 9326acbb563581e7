//! Moves of ranges: splits at their boundaries, their start, and merges of adjacent ranges.

use super::{RangeController, RangeState};
use crate::plan::split_at;
use crate::{MoveProposal, RangeRecord};

impl RangeController {
    /// Starts planned moves; ranges that are already moving are skipped.
    pub fn start_moves(&mut self, service: &str, moves: &[MoveProposal]) {
        for proposal in moves {
            self.split(service, proposal.first);
            if let Some(after) = proposal.last.checked_add(1) {
                self.split(service, after);
            }
            let Some(ranges) = self.map.services.get(service) else { return };
            let inside = |range: &RangeRecord| {
                proposal.first <= range.first
                    && range.last <= proposal.last
                    && range.settled
                    && range.owner.as_ref() != Some(&proposal.to)
            };
            let may_move = |index: &usize| {
                inside(&ranges[*index]) && self.may_reassign(service, ranges[*index].first)
            };
            let indices: Vec<usize> = (0..ranges.len()).filter(may_move).collect();
            for index in indices {
                self.reassign(service, index, proposal.to.clone());
            }
        }
    }

    /// Splits the range that contains `key` so that `key` is the first of its range; both subranges
    /// keep the state of the whole.
    fn split(&mut self, service: &str, key: u16) {
        let Some(ranges) = self.map.services.get_mut(service) else { return };
        let Some(range) = ranges.iter().find(|range| range.first < key && key <= range.last) else {
            return;
        };
        let first = range.first;
        split_at(ranges, key);
        let mut state =
            self.range_states.get(&(service.to_owned(), first)).cloned().unwrap_or_default();
        // The response to an order in flight is matched by first key, so only the lower subrange
        // receives it.
        state.in_flight = false;
        self.range_states.insert((service.to_owned(), key), state);
    }

    /// Merges adjacent settled ranges with the same owner and fence, so that one renewal serves both.
    pub fn merge(&mut self) {
        for (service, ranges) in &mut self.map.services {
            let mut index = 1;
            while index < ranges.len() {
                let is_mergeable = |range: &RangeRecord| {
                    let state = self.range_states.get(&(service.clone(), range.first));
                    range.settled
                        && state.is_some_and(|state| {
                            !state.in_flight && state.confirmed_fence.is_none()
                        })
                };
                let (left, right) = (&ranges[index - 1], &ranges[index]);
                let same_grant = left.owner == right.owner && left.fence == right.fence;
                if !(same_grant && is_mergeable(left) && is_mergeable(right)) {
                    index += 1;
                    continue;
                }
                let removed = ranges.remove(index);
                ranges[index - 1].last = removed.last;
                let right =
                    self.range_states.remove(&(service.clone(), removed.first)).unwrap_or_default();
                let left = self
                    .range_states
                    .entry((service.clone(), ranges[index - 1].first))
                    .or_default();
                left.absorb(&right);
            }
        }
    }
}

impl RangeState {
    /// Merges the state of the right neighbor, which has the same owner.
    fn absorb(&mut self, right: &RangeState) {
        self.required_edit = self.required_edit.max(right.required_edit);
        self.owner_lease_until = self.owner_lease_until.max(right.owner_lease_until);
        self.owner_late_until = self.owner_late_until.max(right.owner_late_until);
        self.owner_may_be_late |= right.owner_may_be_late;
        self.is_unconfirmed |= right.is_unconfirmed;
        self.is_outranked |= right.is_outranked;
        self.due = self.due.min(right.due);
    }
}
