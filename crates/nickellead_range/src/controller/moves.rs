//! Moves of ranges: splitting at their edges, starting them, and joining what belongs together.

use super::{RangeController, RangeWork};
use crate::plan::split_at;
use crate::{MoveProposal, RangeRecord};

impl RangeController {
    /// Starts planned moves; a range that is on the move already is left alone.
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
            let may_move = |place: &usize| {
                inside(&ranges[*place]) && self.may_reassign(service, ranges[*place].first)
            };
            let places: Vec<usize> = (0..ranges.len()).filter(may_move).collect();
            for place in places {
                self.reassign(service, place, proposal.to.clone());
            }
        }
    }

    /// Makes `key` the first of its range, with what is known of the whole for both parts.
    fn split(&mut self, service: &str, key: u16) {
        let Some(ranges) = self.map.services.get_mut(service) else { return };
        let Some(range) = ranges.iter().find(|range| range.first < key && key <= range.last) else {
            return;
        };
        let first = range.first;
        split_at(ranges, key);
        let mut work = self.work.get(&(service.to_owned(), first)).cloned().unwrap_or_default();
        // The answer to an order under way is matched by the first key, which is not this part's.
        work.in_flight = false;
        self.work.insert((service.to_owned(), key), work);
    }

    /// Joins neighbours that one target holds under one fence, so that one renewal serves both.
    pub fn merge(&mut self) {
        for (service, ranges) in &mut self.map.services {
            let mut place = 1;
            while place < ranges.len() {
                let quiet = |range: &RangeRecord| {
                    let work = self.work.get(&(service.clone(), range.first));
                    range.settled
                        && work.is_some_and(|work| !work.in_flight && work.standing.is_none())
                };
                let (left, right) = (&ranges[place - 1], &ranges[place]);
                let alike = left.owner == right.owner && left.fence == right.fence;
                if !(alike && quiet(left) && quiet(right)) {
                    place += 1;
                    continue;
                }
                let removed = ranges.remove(place);
                ranges[place - 1].last = removed.last;
                let right = self.work.remove(&(service.clone(), removed.first)).unwrap_or_default();
                let left = self.work.entry((service.clone(), ranges[place - 1].first)).or_default();
                left.absorb(&right);
            }
        }
    }
}

impl RangeWork {
    /// Takes over from a neighbour that is joined to this range; both have the same owner.
    fn absorb(&mut self, right: &RangeWork) {
        self.edit = self.edit.max(right.edit);
        self.owner_until = self.owner_until.max(right.owner_until);
        self.owner_debt_until = self.owner_debt_until.max(right.owner_debt_until);
        self.owner_was_silent |= right.owner_was_silent;
        self.is_doubted |= right.is_doubted;
        self.is_refused |= right.is_refused;
        self.due = self.due.min(right.due);
    }
}
