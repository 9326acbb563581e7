//! Choice of a target for one request.

use crate::PermitId;
use crate::target_state::{TargetEstimate, TargetRoom};

/// Multiple of its expected duration within which a request of usual spread ends.
pub(crate) const USUAL_SPREAD: f64 = 1.25;
/// Multiple within which half of the requests end.
pub(crate) const NO_SPREAD: f64 = 1.0;

/// A target that may serve the request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetCandidate {
    /// Its place in the list of targets.
    pub(crate) index: usize,
    /// When it got a request last; of equal targets the least recently used one is chosen.
    pub(crate) last_permit: PermitId,
    /// The request's expected times there.
    pub(crate) estimate: TargetEstimate,
}

impl TargetCandidate {
    fn is_better_than(&self, other: &Self) -> bool {
        let by_cost = self.estimate.cost.total_cmp(&other.estimate.cost);
        by_cost.then(self.last_permit.cmp(&other.last_permit)).is_lt()
    }

    fn finish_ms(&self, spread: f64) -> f64 {
        self.estimate.wait_ms + self.estimate.duration_ms * spread
    }
}

/// Time that a request has, from now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimeLimits {
    /// Until its response is due.
    pub(crate) due_ms: f64,
    /// Until its caller leaves.
    pub(crate) deadline_ms: f64,
    /// Until the targets have started those that go before it.
    pub(crate) backlog_ms: f64,
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

/// Chooses among the candidates; `spreads` are the multiples of the expected duration that have to fit
/// into the request's time, the preferred one first.
pub(crate) fn choose(
    candidates: impl Iterator<Item = TargetCandidate> + Clone,
    limits: TimeLimits,
    spreads: &[f64],
) -> TargetChoice {
    for spread in spreads {
        let choice = choose_in_time(candidates.clone(), limits, *spread);
        if choice != TargetChoice::Hopeless {
            return choice;
        }
    }
    choose_late(candidates, limits)
}

/// Chooses a target at which the request is expected to be in time.
fn choose_in_time(
    candidates: impl Iterator<Item = TargetCandidate> + Clone,
    limits: TimeLimits,
    spread: f64,
) -> TargetChoice {
    let has_free_slot = candidates.clone().any(|one| one.estimate.room == TargetRoom::Free);
    let may_send = |one: &TargetCandidate| match one.estimate.room {
        TargetRoom::Free => true,
        TargetRoom::Extra => !has_free_slot,
        TargetRoom::Full => false,
    };
    let in_time = |one: &TargetCandidate| one.finish_ms(spread) <= limits.due_ms;
    let sendable = candidates.clone().filter(may_send).filter(in_time);
    if let Some(target) = best(sendable) {
        return TargetChoice::Send(target.index);
    }
    let in_time_later = |one: TargetCandidate| {
        one.estimate.room != TargetRoom::Free
            && one.finish_ms(spread) + limits.backlog_ms <= limits.due_ms
    };
    if candidates.into_iter().any(in_time_later) {
        TargetChoice::Wait
    } else {
        TargetChoice::Hopeless
    }
}

/// Chooses a free target at which the request is late but ends before its caller leaves, if no other
/// request waits.
fn choose_late(
    candidates: impl Iterator<Item = TargetCandidate>,
    limits: TimeLimits,
) -> TargetChoice {
    if !limits.nobody_waits {
        return TargetChoice::Hopeless;
    }
    let useful = candidates.filter(|one| {
        one.estimate.room == TargetRoom::Free && one.finish_ms(NO_SPREAD) <= limits.deadline_ms
    });
    best(useful).map_or(TargetChoice::Hopeless, |target| TargetChoice::Send(target.index))
}

fn best(candidates: impl Iterator<Item = TargetCandidate>) -> Option<TargetCandidate> {
    candidates.reduce(|best, one| if one.is_better_than(&best) { one } else { best })
}
