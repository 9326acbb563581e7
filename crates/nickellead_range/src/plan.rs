//! Planning of moves: which subranges go to which targets.

use crate::subrange::{SubrangeRequest, find_subrange, weighted_load};
use crate::{KeyLoad, RangeRecord, TargetInstance};

/// A target that may own ranges.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerCandidate {
    /// The target.
    pub target: TargetInstance,
    /// Capacity relative to the other candidates; 1.0 for an average target.
    pub capacity: f64,
    /// Maximum load that the target accepts, in the unit of [`KeyLoad`]; `None` if only `capacity`
    /// limits it.
    pub max_load: Option<f64>,
}

/// A run of keys that should move to another target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveProposal {
    /// First key to move.
    pub first: u16,
    /// Last key to move, included.
    pub last: u16,
    /// The next owner.
    pub to: TargetInstance,
}

/// A target is overloaded if its load is at least this multiple of its fair load.
///
/// Below it, stalling the moved keys costs more than the shorter queue gains.
const OVERLOAD_RATIO: f64 = 1.35;
/// Minimum load, in sampled requests, of an overloaded target.
const MIN_OVERLOAD_SAMPLES: f64 = 10.0;
/// Minimum excess of an overloaded target over its fair load, in standard deviations of a Poisson
/// count with the fair load as its mean; a smaller excess may be sampling noise.
const MIN_EXCESS_STD_DEVIATIONS: f64 = 2.5;
/// A target below this fraction of its fair load is idle and receives load even if the excess
/// elsewhere may be sampling noise.
const IDLE_LOAD_FRACTION: f64 = 0.25;
/// Lower bound on a fair load, which is used as a divisor.
const MIN_FAIR_LOAD: f64 = 1e-3;
/// Minimum load, in sampled requests, of an overloaded target that exceeds its own maximum load.
const MIN_SAMPLES_ABOVE_MAX_LOAD: f64 = 2.0;
/// Maximum relative load of a receiver after the move, as a fraction of its giver's before it, so
/// that a heavy key does not just move the overload.
const MAX_RECEIVER_LOAD_FRACTION: f64 = 0.8;
/// The same for a key that already has a range of its own; the lower bound keeps such a key from
/// oscillating between targets.
const MAX_SINGLE_KEY_RECEIVER_LOAD_FRACTION: f64 = 0.6;

/// Proposes at most `max_moves` moves that relieve the most loaded targets.
///
/// Only settled ranges move. A range that is already moving counts as load of its next owner.
#[must_use]
pub fn plan_moves(
    ranges: &[RangeRecord],
    candidates: &[OwnerCandidate],
    load: &KeyLoad,
    max_moves: usize,
) -> Vec<MoveProposal> {
    let mut ranges = ranges.to_vec();
    let mut moves = Vec::new();
    while moves.len() < max_moves {
        let Some(proposal) = plan_one(&mut ranges, candidates, load) else {
            break;
        };
        moves.push(proposal);
    }
    moves
}

/// The candidate with the lowest load relative to its fair load; `None` without candidates.
#[must_use]
pub fn least_loaded_owner(
    ranges: &[RangeRecord],
    candidates: &[OwnerCandidate],
    load: &KeyLoad,
) -> Option<TargetInstance> {
    let loads = CandidateLoads::new(ranges, candidates, load);
    Some(candidates[loads.least_loaded()?].target.clone())
}

/// Loads of all candidates, indexed as in their list.
struct CandidateLoads {
    /// The load that each should have.
    fair: Vec<f64>,
    /// The load that each has, relative to its fair load.
    relative: Vec<f64>,
    /// Whether the load of each exceeds the maximum that it accepts.
    exceeds_max: Vec<bool>,
}

impl CandidateLoads {
    fn new(ranges: &[RangeRecord], candidates: &[OwnerCandidate], load: &KeyLoad) -> Self {
        let fair = fair_loads(candidates, load);
        let owned: Vec<f64> =
            candidates.iter().map(|candidate| owned_load(ranges, candidate, load)).collect();
        let relative = owned.iter().zip(&fair).map(|(owned, fair)| owned / fair).collect();
        let accepts = |candidate: &OwnerCandidate, owned: f64| {
            candidate.max_load.is_none_or(|max_load| owned <= max_load * OVERLOAD_RATIO)
        };
        let exceeds_max =
            candidates.iter().zip(&owned).map(|(candidate, owned)| !accepts(candidate, *owned));
        let exceeds_max = exceeds_max.collect();
        Self { fair, relative, exceeds_max }
    }

    /// Index of the least loaded candidate.
    fn least_loaded(&self) -> Option<usize> {
        (0..self.relative.len()).min_by(|a, b| self.relative[*a].total_cmp(&self.relative[*b]))
    }

    /// Indices of the overloaded candidates, the most loaded one first.
    fn givers(&self, least_loaded: usize) -> Vec<usize> {
        let has_idle = self.relative[least_loaded] < IDLE_LOAD_FRACTION;
        let others = (0..self.relative.len()).filter(|index| *index != least_loaded);
        let mut givers: Vec<usize> =
            others.filter(|index| self.is_overloaded(*index, has_idle)).collect();
        givers.sort_by(|a, b| self.relative[*b].total_cmp(&self.relative[*a]));
        givers
    }

    /// Whether the excess load of a candidate justifies a move; `has_idle` says that another
    /// candidate is idle.
    fn is_overloaded(&self, index: usize, has_idle: bool) -> bool {
        let (load, fair) = (self.relative[index], self.fair[index]);
        if self.exceeds_max[index] {
            return load >= OVERLOAD_RATIO && load * fair >= MIN_SAMPLES_ABOVE_MAX_LOAD;
        }
        let is_significant =
            has_idle || (load - 1.0) * fair >= MIN_EXCESS_STD_DEVIATIONS * fair.sqrt();
        load >= OVERLOAD_RATIO && load * fair >= MIN_OVERLOAD_SAMPLES && is_significant
    }

    /// How much load a move from `giver` should carry.
    fn subrange_request(&self, giver: usize, least_loaded: usize) -> SubrangeRequest {
        let excess = (self.relative[giver] - 1.0) * self.fair[giver];
        let headroom = (1.0 - self.relative[least_loaded]) * self.fair[least_loaded];
        SubrangeRequest {
            load: excess.min(headroom),
            max_load: self.max_receivable(giver, MAX_RECEIVER_LOAD_FRACTION),
            max_single_key_load: self.max_receivable(giver, MAX_SINGLE_KEY_RECEIVER_LOAD_FRACTION),
        }
    }

    /// The highest load that leaves some receiver below this fraction of the giver's relative load.
    fn max_receivable(&self, giver: usize, fraction: f64) -> f64 {
        let limit = self.relative[giver] * fraction;
        let headroom = |index: usize| (limit - self.relative[index]) * self.fair[index];
        (0..self.relative.len()).map(headroom).fold(0.0, f64::max)
    }

    /// Index of the candidate other than `giver` that is the least loaded after taking `carried`.
    ///
    /// It may differ from the least loaded candidate before the move, because the same subrange is
    /// a smaller relative load for a faster target.
    fn receiver(&self, giver: usize, carried: f64) -> Option<usize> {
        let after = |index: usize| self.relative[index] + carried / self.fair[index];
        (0..self.relative.len())
            .filter(|index| *index != giver)
            .min_by(|a, b| after(*a).total_cmp(&after(*b)))
    }
}

/// The load that each candidate should have: proportional to its capacity, and at most its maximum
/// load while others can take the rest.
fn fair_loads(candidates: &[OwnerCandidate], load: &KeyLoad) -> Vec<f64> {
    let total = weighted_load(load, 0, u16::MAX);
    let mut full = vec![false; candidates.len()];
    loop {
        let loads = distribute(candidates, &full, total);
        let exceeds = |index: usize| {
            candidates[index].max_load.is_some_and(|max_load| loads[index] > max_load)
        };
        let filled: Vec<usize> =
            (0..candidates.len()).filter(|index| !full[*index] && exceeds(*index)).collect();
        if filled.is_empty() {
            return loads.into_iter().map(|load| load.max(MIN_FAIR_LOAD)).collect();
        }
        filled.into_iter().for_each(|index| full[index] = true);
    }
}

/// Gives full candidates their maximum load and distributes the rest over the others by capacity.
fn distribute(candidates: &[OwnerCandidate], full: &[bool], total: f64) -> Vec<f64> {
    let max_load = |index: usize| candidates[index].max_load.filter(|_| full[index]);
    let indices = 0..candidates.len();
    let rest = (total - indices.clone().filter_map(max_load).sum::<f64>()).max(0.0);
    let open = indices.clone().filter(|index| !full[*index]);
    let capacity: f64 = open.map(|index| candidates[index].capacity).sum();
    let by_capacity = |index: usize| rest * candidates[index].capacity / capacity;
    indices.map(|index| max_load(index).unwrap_or_else(|| by_capacity(index))).collect()
}

/// Load of all ranges that a candidate owns.
fn owned_load(ranges: &[RangeRecord], candidate: &OwnerCandidate, load: &KeyLoad) -> f64 {
    let owned = ranges.iter().filter(|range| range.owner.as_ref() == Some(&candidate.target));
    owned.map(|range| weighted_load(load, range.first, range.last)).sum()
}

/// Plans one move from the most loaded target that has a suitable subrange, and applies it to
/// `ranges`.
fn plan_one(
    ranges: &mut Vec<RangeRecord>,
    candidates: &[OwnerCandidate],
    load: &KeyLoad,
) -> Option<MoveProposal> {
    let loads = CandidateLoads::new(ranges, candidates, load);
    let least_loaded = loads.least_loaded()?;
    let givers = loads.givers(least_loaded);
    let (giver, first, last) = givers.into_iter().find_map(|giver| {
        let request = loads.subrange_request(giver, least_loaded);
        let (first, last) = find_subrange(ranges, load, &candidates[giver].target, request)?;
        Some((giver, first, last))
    })?;
    let receiver = loads.receiver(giver, weighted_load(load, first, last))?;
    let proposal = MoveProposal { first, last, to: candidates[receiver].target.clone() };
    apply_move(ranges, &proposal);
    Some(proposal)
}

/// Splits ranges at the boundaries of a move and assigns the moved keys to their next owner.
fn apply_move(ranges: &mut Vec<RangeRecord>, proposal: &MoveProposal) {
    split_at(ranges, proposal.first);
    if let Some(after) = proposal.last.checked_add(1) {
        split_at(ranges, after);
    }
    for range in ranges.iter_mut() {
        if proposal.first <= range.first && range.last <= proposal.last {
            range.owner = Some(proposal.to.clone());
            range.settled = false;
        }
    }
}

/// Splits the range that contains `key` so that `key` is the first of its range.
pub(crate) fn split_at(ranges: &mut Vec<RangeRecord>, key: u16) {
    let Some(index) = ranges.iter().position(|range| range.first < key && key <= range.last) else {
        return;
    };
    let mut upper = ranges[index].clone();
    upper.first = key;
    ranges[index].last = key - 1;
    ranges.insert(index + 1, upper);
}
