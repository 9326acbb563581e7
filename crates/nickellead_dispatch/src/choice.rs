//! Choice of a target for one request.

use crate::PermitId;
use crate::target_outlook::{TargetEstimate, TargetOutlook, TargetRoom};

/// Multiple of the expected duration within which most requests end.
pub(crate) const USUAL_SPREAD: f64 = 1.5;
/// Multiple within which half of the requests end.
pub(crate) const NO_SPREAD: f64 = 1.0;

/// A target that may serve the request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetCandidate {
    /// Its place in the list of targets.
    pub(crate) index: usize,
    /// When it got a request last; of equal targets the least recently used one is chosen.
    pub(crate) last_permit: PermitId,
    /// Requests that it runs concurrently.
    pub(crate) slots: u32,
    /// The request's expected times there.
    pub(crate) estimate: TargetEstimate,
}

impl TargetCandidate {
    fn is_better_than(&self, other: &Self) -> bool {
        let by_cost = self.estimate.cost.total_cmp(&other.estimate.cost);
        by_cost.then(self.last_permit.cmp(&other.last_permit)).is_lt()
    }

    fn has_room(&self, room: TargetRoom) -> bool {
        self.estimate.room == room
    }

    /// Time until its end if it takes `spread` times as long as expected.
    fn finish_ms(&self, spread: f64) -> f64 {
        self.estimate.wait_ms + self.estimate.duration_ms * spread
    }

    /// The same, after those that go before it.
    fn turn_finish_ms(&self, spread: f64) -> f64 {
        self.estimate.turn_ms + self.estimate.duration_ms * spread
    }

    /// Requests like this one that the target serves per millisecond.
    fn service_rate(&self) -> f64 {
        f64::from(self.slots.max(1)) / self.estimate.duration_ms
    }
}

/// Time that a request has, from now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimeLimits {
    /// Until its response is due.
    pub(crate) due_ms: f64,
    /// Until its caller leaves.
    pub(crate) deadline_ms: f64,
    /// Whether nobody waits whom it would keep from a slot.
    pub(crate) nobody_waits: bool,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetChoice {
    /// Send it to this target.
    Send(usize),
    /// A target is expected to have it in time later.
    Wait,
    /// No target is expected to have it in time.
    Hopeless,
}

/// Targets that may serve one request.
#[derive(Debug, Default)]
pub(crate) struct CandidateList {
    candidates: Vec<TargetCandidate>,
}

impl CandidateList {
    /// Replaces the candidates.
    pub(crate) fn refill(&mut self, candidates: impl Iterator<Item = TargetCandidate>) {
        self.candidates.clear();
        self.candidates.extend(candidates);
    }

    /// Whether no target may serve the request.
    pub(crate) fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Requests like this one that the targets serve per millisecond.
    pub(crate) fn service_rate(&self) -> f64 {
        self.candidates.iter().map(TargetCandidate::service_rate).sum()
    }

    /// Counts in that `ahead` requests go before this one, each target serving its part of them.
    pub(crate) fn place_behind(&mut self, ahead: usize, outlooks: &[TargetOutlook]) {
        if ahead == 0 {
            return;
        }
        let ahead_per_rate = ahead as f64 / self.service_rate();
        for one in &mut self.candidates {
            let ahead_there = ahead_per_rate * one.service_rate();
            one.estimate.turn_ms =
                outlooks[one.index].turn_ms(ahead_there, one.estimate.duration_ms);
        }
    }

    /// Least time until a slot is free for the request, after those that go before it.
    pub(crate) fn least_turn_ms(&self) -> f64 {
        let turns = self.candidates.iter().map(|one| one.estimate.turn_ms);
        turns.fold(f64::INFINITY, f64::min)
    }

    /// Least duration of the request.
    pub(crate) fn least_duration_ms(&self) -> f64 {
        let durations = self.candidates.iter().map(|one| one.estimate.duration_ms);
        durations.fold(f64::INFINITY, f64::min)
    }

    /// Chooses a target; `spreads` are the multiples of the expected duration that have to fit into the
    /// request's time, the preferred one first.
    pub(crate) fn choose(&self, limits: TimeLimits, spreads: &[f64]) -> TargetChoice {
        let in_time = spreads.iter().map(|spread| self.choose_in_time(limits, *spread));
        in_time
            .into_iter()
            .find(|choice| *choice != TargetChoice::Hopeless)
            .unwrap_or_else(|| self.choose_late(limits))
    }

    /// Chooses a target at which the request is expected to be in time.
    fn choose_in_time(&self, limits: TimeLimits, spread: f64) -> TargetChoice {
        let has_free_slot = self.candidates.iter().any(|one| one.has_room(TargetRoom::Free));
        let room = if has_free_slot { TargetRoom::Free } else { TargetRoom::Extra };
        let in_time = |one: &&TargetCandidate| one.finish_ms(spread) <= limits.due_ms;
        if let Some(target) =
            best(self.candidates.iter().filter(|one| one.has_room(room)).filter(in_time))
        {
            return TargetChoice::Send(target.index);
        }
        let busy = self.candidates.iter().filter(|one| !one.has_room(TargetRoom::Free));
        let in_time_later = |one: &TargetCandidate| one.turn_finish_ms(spread) <= limits.due_ms;
        if busy.into_iter().any(in_time_later) {
            TargetChoice::Wait
        } else {
            TargetChoice::Hopeless
        }
    }

    /// Chooses a free target at which the request is late but ends before its caller leaves, if nobody
    /// else waits. An idle target is always useful: only a response shows that it has become faster.
    fn choose_late(&self, limits: TimeLimits) -> TargetChoice {
        if !limits.nobody_waits {
            return TargetChoice::Hopeless;
        }
        let free = self.candidates.iter().filter(|one| one.has_room(TargetRoom::Free));
        let useful = free
            .filter(|one| one.estimate.is_idle || one.finish_ms(NO_SPREAD) <= limits.deadline_ms);
        best(useful).map_or(TargetChoice::Hopeless, |target| TargetChoice::Send(target.index))
    }
}

fn best<'a>(candidates: impl Iterator<Item = &'a TargetCandidate>) -> Option<&'a TargetCandidate> {
    candidates.reduce(|best, one| if one.is_better_than(best) { one } else { best })
}
