//! Which ranges should move where.

use crate::subrange::{SubrangeRequest, find_subrange, weigh};
use crate::{KeyLoad, RangeRecord, TargetInstance};

/// A target that may own ranges.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerCandidate {
    /// The target.
    pub target: TargetInstance,
    /// What it can do beside the others, 1.0 for an ordinary one.
    pub capacity: f64,
    /// The load that it can bear at most, as load is counted; `None` for as much as its capacity says.
    pub max_load: Option<f64>,
}

/// A run of keys that should go to another target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveProposal {
    /// First key to move.
    pub first: u16,
    /// Last key to move, included.
    pub last: u16,
    /// Who should own it.
    pub to: TargetInstance,
}

/// A target is relieved when its load is this many times its fair share.
///
/// Below it a move costs more (a stall of the moved keys) than the shorter queue gains.
const RELIEF_RATIO: f64 = 1.35;
/// Least sampled requests at a target before its load means anything.
const SAMPLES_LEAST: f64 = 10.0;
/// A target's load must also be above its fair share by this many standard deviations of a count as
/// large as the share: what is less may be chance.
const DEVIATIONS_LEAST: f64 = 2.5;
/// A target with less than this part of its fair share is a newcomer or idle: it is given something
/// though the excess elsewhere may be chance.
const IDLE_PART: f64 = 0.25;
/// No share is less than this, so that loads can be told as parts of it.
const SHARE_LEAST: f64 = 1e-3;
/// Least sampled requests at a target with more than it says that it bears: it is not a matter of chance.
const BORNE_SAMPLES_LEAST: f64 = 2.0;
/// A receiver must stay below this part of the load that its giver has: else a heavy key would only
/// carry the overload over.
const RECEIVER_PART: f64 = 0.8;
/// The same for a key that is alone already: measured speeds vary, and it must not move to and fro.
const LONE_KEY_PART: f64 = 0.6;

/// Proposes at most `most` moves that relieve the most loaded targets.
///
/// Reads ranges that are settled; a range on the move counts for its next
/// owner and is left alone.
#[must_use]
pub fn plan_moves(
    ranges: &[RangeRecord],
    candidates: &[OwnerCandidate],
    load: &KeyLoad,
    most: usize,
) -> Vec<MoveProposal> {
    let mut ranges = ranges.to_vec();
    let mut moves = Vec::new();
    while moves.len() < most {
        let Some(proposal) = plan_one(&mut ranges, candidates, load) else {
            break;
        };
        moves.push(proposal);
    }
    moves
}

/// The candidate with the least load beside its capacity.
#[must_use]
pub fn least_loaded_owner(
    ranges: &[RangeRecord],
    candidates: &[OwnerCandidate],
    load: &KeyLoad,
) -> Option<TargetInstance> {
    let loads = CandidateLoads::new(ranges, candidates, load);
    Some(candidates[loads.lightest()?].target.clone())
}

/// Loads and fair shares of all candidates, by place in their list.
struct CandidateLoads {
    /// The load that each should have: its part of the whole by capacity.
    fair: Vec<f64>,
    /// The load that each has, in fair shares: 1.0 is what it should have.
    relative: Vec<f64>,
    /// Whether each has more than it says that it bears.
    overborne: Vec<bool>,
}

impl CandidateLoads {
    fn new(ranges: &[RangeRecord], candidates: &[OwnerCandidate], load: &KeyLoad) -> Self {
        let fair = fair_shares(candidates, load);
        let owned: Vec<f64> =
            candidates.iter().map(|candidate| owned_load(ranges, candidate, load)).collect();
        let relative = owned.iter().zip(&fair).map(|(owned, fair)| owned / fair).collect();
        let bears = |candidate: &OwnerCandidate, owned: f64| {
            candidate.max_load.is_none_or(|most| owned <= most * RELIEF_RATIO)
        };
        let overborne = candidates.iter().zip(&owned).map(|(one, owned)| !bears(one, *owned));
        let overborne = overborne.collect();
        Self { fair, relative, overborne }
    }

    /// Place of the least loaded candidate.
    fn lightest(&self) -> Option<usize> {
        (0..self.relative.len()).min_by(|a, b| self.relative[*a].total_cmp(&self.relative[*b]))
    }

    /// Places of the candidates to relieve, the most loaded one first.
    fn givers(&self, lightest: usize) -> Vec<usize> {
        let idle = self.relative[lightest] < IDLE_PART;
        let places = (0..self.relative.len()).filter(|place| *place != lightest);
        let mut givers: Vec<usize> = places.filter(|place| self.overloaded(*place, idle)).collect();
        givers.sort_by(|a, b| self.relative[*b].total_cmp(&self.relative[*a]));
        givers
    }

    /// Whether a candidate has so much more than its share that a move is worth it; `idle` tells
    /// that another one has next to nothing.
    fn overloaded(&self, place: usize, idle: bool) -> bool {
        let (load, fair) = (self.relative[place], self.fair[place]);
        if self.overborne[place] {
            return load >= RELIEF_RATIO && load * fair >= BORNE_SAMPLES_LEAST;
        }
        let sure = idle || (load - 1.0) * fair >= DEVIATIONS_LEAST * fair.sqrt();
        load >= RELIEF_RATIO && load * fair >= SAMPLES_LEAST && sure
    }

    /// How much load a move from `giver` should carry.
    fn subrange_request(&self, giver: usize, lightest: usize) -> SubrangeRequest {
        let excess = (self.relative[giver] - 1.0) * self.fair[giver];
        let room = (1.0 - self.relative[lightest]) * self.fair[lightest];
        SubrangeRequest {
            load: excess.min(room),
            most: self.bearable(giver, RECEIVER_PART),
            lone_key: self.bearable(giver, LONE_KEY_PART),
        }
    }

    /// The greatest load with which some receiver stays below this part of the giver's.
    fn bearable(&self, giver: usize, part: f64) -> f64 {
        let limit = self.relative[giver] * part;
        let room = |place: usize| (limit - self.relative[place]) * self.fair[place];
        (0..self.relative.len()).map(room).fold(0.0, f64::max)
    }

    /// Place of the candidate that is the least loaded once it carries a piece of the giver's too.
    ///
    /// A piece heavier than the lightest target has room for weighs less on a faster one.
    fn receiver(&self, giver: usize, carried: f64) -> Option<usize> {
        let after = |place: usize| self.relative[place] + carried / self.fair[place];
        (0..self.relative.len())
            .filter(|place| *place != giver)
            .min_by(|a, b| after(*a).total_cmp(&after(*b)))
    }
}

/// The load that each candidate should have: its part of the whole by capacity, and no more than it bears
/// while others can bear the rest.
fn fair_shares(candidates: &[OwnerCandidate], load: &KeyLoad) -> Vec<f64> {
    let total = weigh(load, 0, u16::MAX);
    let mut full = vec![false; candidates.len()];
    loop {
        let shares = shares_beside(candidates, &full, total);
        let over =
            |place: usize| candidates[place].max_load.is_some_and(|most| shares[place] > most);
        let filled: Vec<usize> =
            (0..candidates.len()).filter(|place| !full[*place] && over(*place)).collect();
        if filled.is_empty() {
            return shares.into_iter().map(|share| share.max(SHARE_LEAST)).collect();
        }
        filled.into_iter().for_each(|place| full[place] = true);
    }
}

/// The load of each candidate when full ones have what they bear and the others share the rest by capacity.
fn shares_beside(candidates: &[OwnerCandidate], full: &[bool], total: f64) -> Vec<f64> {
    let borne = |place: usize| candidates[place].max_load.filter(|_| full[place]);
    let places = 0..candidates.len();
    let rest = (total - places.clone().filter_map(borne).sum::<f64>()).max(0.0);
    let open = places.clone().filter(|place| !full[*place]);
    let capacity: f64 = open.map(|place| candidates[place].capacity).sum();
    let share = |place: usize| rest * candidates[place].capacity / capacity;
    places.map(|place| borne(place).unwrap_or_else(|| share(place))).collect()
}

/// Load of all ranges that a candidate owns.
fn owned_load(ranges: &[RangeRecord], candidate: &OwnerCandidate, load: &KeyLoad) -> f64 {
    let owned = ranges.iter().filter(|range| range.owner.as_ref() == Some(&candidate.target));
    owned.map(|range| weigh(load, range.first, range.last)).sum()
}

/// The one move that relieves the most loaded target that can be; `ranges` are then as after it.
fn plan_one(
    ranges: &mut Vec<RangeRecord>,
    candidates: &[OwnerCandidate],
    load: &KeyLoad,
) -> Option<MoveProposal> {
    let loads = CandidateLoads::new(ranges, candidates, load);
    let lightest = loads.lightest()?;
    let givers = loads.givers(lightest);
    let (giver, first, last) = givers.into_iter().find_map(|giver| {
        let wanted = loads.subrange_request(giver, lightest);
        let (first, last) = find_subrange(ranges, load, &candidates[giver].target, wanted)?;
        Some((giver, first, last))
    })?;
    let receiver = loads.receiver(giver, weigh(load, first, last))?;
    let proposal = MoveProposal { first, last, to: candidates[receiver].target.clone() };
    apply_move(ranges, &proposal);
    Some(proposal)
}

/// Splits ranges at the edges of a move and gives the piece to its new owner.
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

/// Makes `key` the first of its range.
pub(crate) fn split_at(ranges: &mut Vec<RangeRecord>, key: u16) {
    let Some(place) = ranges.iter().position(|range| range.first < key && key <= range.last) else {
        return;
    };
    let mut upper = ranges[place].clone();
    upper.first = key;
    ranges[place].last = key - 1;
    ranges.insert(place + 1, upper);
}
