//! Planning of moves: which subranges go to which targets.

use std::collections::HashMap;

use crate::subrange::{FoundSubrange, SubrangeRequest, find_subrange, weighted_load};
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
    let mut planner = MovePlanner::new(ranges, candidates, load);
    std::iter::from_fn(|| planner.plan_one()).take(max_moves).collect()
}

/// Picks owners of ranges one after another, each of which counts as load of its new owner.
pub struct OwnerPicker<'a> {
    candidates: &'a [OwnerCandidate],
    load: &'a KeyLoad,
    loads: CandidateLoads,
}

impl<'a> OwnerPicker<'a> {
    /// A picker from these candidates, who own `ranges` in part.
    #[must_use]
    pub fn new(
        ranges: &[RangeRecord],
        candidates: &'a [OwnerCandidate],
        load: &'a KeyLoad,
    ) -> Self {
        let owners = OwnerIndex::new(candidates);
        Self { candidates, load, loads: CandidateLoads::new(ranges, candidates, &owners, load) }
    }

    /// The candidate with the lowest load relative to its fair load, which gets the keys from `first`
    /// to `last`, both included; `None` without candidates.
    pub fn pick(&mut self, first: u16, last: u16) -> Option<TargetInstance> {
        let index = self.loads.least_loaded()?;
        self.loads.add(index, weighted_load(self.load, first, last));
        Some(self.candidates[index].target.clone())
    }
}

/// Index of each candidate in their list.
struct OwnerIndex<'a>(HashMap<&'a TargetInstance, usize>);

impl<'a> OwnerIndex<'a> {
    fn new(candidates: &'a [OwnerCandidate]) -> Self {
        let targets = candidates.iter().map(|candidate| &candidate.target);
        Self(targets.zip(0..).collect())
    }

    /// Index of the candidate that owns a range; `None` if its owner is no candidate.
    fn owner_of(&self, range: &RangeRecord) -> Option<usize> {
        self.0.get(range.owner.as_ref()?).copied()
    }
}

/// Loads of all candidates, indexed as in their list.
struct CandidateLoads {
    /// The load that each should have.
    fair: Vec<f64>,
    /// The load that each has.
    owned: Vec<f64>,
    /// The load that each has, relative to its fair load.
    relative: Vec<f64>,
    /// The load above which each is overloaded whatever the others have; infinite if there is none.
    max_owned: Vec<f64>,
}

impl CandidateLoads {
    fn new(
        ranges: &[RangeRecord],
        candidates: &[OwnerCandidate],
        owners: &OwnerIndex<'_>,
        load: &KeyLoad,
    ) -> Self {
        let mut owned = vec![0.0; candidates.len()];
        for range in ranges {
            if let Some(index) = owners.owner_of(range) {
                owned[index] += weighted_load(load, range.first, range.last);
            }
        }
        let max_owned = |candidate: &OwnerCandidate| {
            candidate.max_load.map_or(f64::INFINITY, |max_load| max_load * OVERLOAD_RATIO)
        };
        let fair = fair_loads(candidates, load);
        let relative = owned.iter().zip(&fair).map(|(owned, fair)| owned / fair).collect();
        let max_owned = candidates.iter().map(max_owned).collect();
        Self { fair, owned, relative, max_owned }
    }

    /// Number of candidates.
    fn len(&self) -> usize {
        self.owned.len()
    }

    /// Adds to the load that a candidate has.
    fn add(&mut self, index: usize, load: f64) {
        self.owned[index] += load;
        self.relative[index] = self.owned[index] / self.fair[index];
    }

    /// Index of the least loaded candidate.
    fn least_loaded(&self) -> Option<usize> {
        (0..self.len()).min_by(|a, b| self.relative[*a].total_cmp(&self.relative[*b]))
    }

    /// Index of the most loaded of the overloaded candidates that `may_give`.
    fn giver(&self, least_loaded: usize, may_give: impl Fn(usize) -> bool) -> Option<usize> {
        let has_idle = self.relative[least_loaded] < IDLE_LOAD_FRACTION;
        (0..self.len())
            .filter(|index| *index != least_loaded && may_give(*index))
            .filter(|index| self.is_overloaded(*index, has_idle))
            .max_by(|a, b| self.relative[*a].total_cmp(&self.relative[*b]).then(b.cmp(a)))
    }

    /// Whether the excess load of a candidate justifies a move; `has_idle` says that another
    /// candidate is idle.
    fn is_overloaded(&self, index: usize, has_idle: bool) -> bool {
        let (load, fair) = (self.relative[index], self.fair[index]);
        if load < OVERLOAD_RATIO {
            return false;
        }
        if self.owned[index] > self.max_owned[index] {
            return self.owned[index] >= MIN_SAMPLES_ABOVE_MAX_LOAD;
        }
        let excess = self.owned[index] - fair;
        let is_significant = has_idle || excess >= MIN_EXCESS_STD_DEVIATIONS * fair.sqrt();
        self.owned[index] >= MIN_OVERLOAD_SAMPLES && is_significant
    }

    /// How much load a move from `giver` should carry.
    fn subrange_request(&self, giver: usize, least_loaded: usize) -> SubrangeRequest {
        let excess = self.owned[giver] - self.fair[giver];
        let headroom = self.fair[least_loaded] - self.owned[least_loaded];
        SubrangeRequest {
            load: excess.min(headroom),
            max_load: self.max_receivable(giver, MAX_RECEIVER_LOAD_FRACTION),
            max_single_key_load: self.max_receivable(giver, MAX_SINGLE_KEY_RECEIVER_LOAD_FRACTION),
        }
    }

    /// The highest load that leaves some receiver below this fraction of the giver's relative load.
    fn max_receivable(&self, giver: usize, fraction: f64) -> f64 {
        let limit = self.relative[giver] * fraction;
        let headroom = |index: usize| limit * self.fair[index] - self.owned[index];
        (0..self.len()).map(headroom).fold(0.0, f64::max)
    }

    /// Index of the candidate other than `giver` that is the least loaded after taking `carried`.
    ///
    /// It may differ from the least loaded candidate before the move, because the same subrange is
    /// a smaller relative load for a faster target.
    fn receiver(&self, giver: usize, carried: f64) -> Option<usize> {
        let after = |index: usize| (self.owned[index] + carried) / self.fair[index];
        (0..self.len())
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

/// Plans moves one after another; each counts as load of its receiver.
struct MovePlanner<'a> {
    candidates: &'a [OwnerCandidate],
    load: &'a KeyLoad,
    loads: CandidateLoads,
    /// First and last keys of the settled ranges of each candidate.
    sources: Vec<Vec<(u16, u16)>>,
    /// Whether a candidate had no suitable subrange, so that this plan takes nothing more from it.
    is_exhausted: Vec<bool>,
}

impl<'a> MovePlanner<'a> {
    fn new(ranges: &[RangeRecord], candidates: &'a [OwnerCandidate], load: &'a KeyLoad) -> Self {
        let owners = OwnerIndex::new(candidates);
        let mut sources = vec![Vec::new(); candidates.len()];
        for range in ranges.iter().filter(|range| range.settled) {
            if let Some(index) = owners.owner_of(range) {
                sources[index].push((range.first, range.last));
            }
        }
        let loads = CandidateLoads::new(ranges, candidates, &owners, load);
        Self { candidates, load, loads, sources, is_exhausted: vec![false; candidates.len()] }
    }

    /// Plans one move from the most loaded target that has a suitable subrange.
    fn plan_one(&mut self) -> Option<MoveProposal> {
        let least_loaded = self.loads.least_loaded()?;
        loop {
            let giver = self.loads.giver(least_loaded, |index| !self.is_exhausted[index])?;
            let request = self.loads.subrange_request(giver, least_loaded);
            match find_subrange(&self.sources[giver], self.load, request) {
                Some(found) => return self.move_subrange(giver, found),
                None => self.is_exhausted[giver] = true,
            }
        }
    }

    /// Moves a subrange of a giver to the target that is the least loaded with it.
    fn move_subrange(&mut self, giver: usize, found: FoundSubrange) -> Option<MoveProposal> {
        let FoundSubrange { source, first, last } = found;
        let carried = weighted_load(self.load, first, last);
        let receiver = self.loads.receiver(giver, carried)?;
        self.loads.add(giver, -carried);
        self.loads.add(receiver, carried);
        let (source_first, source_last) = self.sources[giver][source];
        let below = (source_first < first).then(|| (source_first, first - 1));
        let above = (last < source_last).then(|| (last + 1, source_last));
        self.sources[giver].splice(source..=source, below.into_iter().chain(above));
        Some(MoveProposal { first, last, to: self.candidates[receiver].target.clone() })
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
