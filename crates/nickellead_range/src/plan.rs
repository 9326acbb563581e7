//! Which ranges should move where.

use crate::map::KEY_COUNT;
use crate::{HolderRecord, KeyLoad, RangeRecord};

/// A target that may own ranges.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerCandidate {
    /// The target.
    pub holder: HolderRecord,
    /// What it can do beside the others, 1.0 for an ordinary one.
    pub capacity: f64,
}

/// A run of keys that should go to another target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveProposal {
    /// First key to move.
    pub first: u16,
    /// Last key to move, included.
    pub last: u16,
    /// Who should own it.
    pub to: HolderRecord,
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
/// Weight of plain size: this many sampled requests are spread evenly over all keys.
///
/// It keeps a target without sampled requests from being given all silent keys.
const SIZE_WEIGHT: f64 = 20.0;
/// A range is moved whole when its load is at most this many times the load wanted.
const WHOLE_SLACK: f64 = 1.2;
/// A receiver must stay below this part of the load that its giver has: else a heavy key would only
/// carry the overload over.
const RECEIVER_PART: f64 = 0.8;
/// The same for a key that is alone already: measured speeds vary, and it must not move to and fro.
const LONE_KEY_PART: f64 = 0.6;
/// Least part of the load wanted that is worth a move.
const PIECE_LEAST: f64 = 0.2;

/// Load of a run of keys: sampled requests and a small part for its size.
fn weigh(load: &KeyLoad, first: u16, last: u16) -> f64 {
    let size = f64::from(last - first) + 1.0;
    load.between(first, last) + SIZE_WEIGHT * size / f64::from(KEY_COUNT)
}

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

/// The load that each candidate should have: the whole, divided by capacity.
fn fair_shares(candidates: &[OwnerCandidate], load: &KeyLoad) -> Vec<f64> {
    let total = weigh(load, 0, u16::MAX);
    let capacity: f64 = candidates.iter().map(|candidate| candidate.capacity).sum();
    candidates.iter().map(|candidate| total * candidate.capacity / capacity).collect()
}

/// Load of each candidate in fair shares: 1.0 is what it should have.
fn relative_loads(
    ranges: &[RangeRecord],
    candidates: &[OwnerCandidate],
    load: &KeyLoad,
) -> Vec<f64> {
    let relative = |(candidate, fair): (&OwnerCandidate, f64)| {
        let owned = ranges.iter().filter(|range| range.owner.as_ref() == Some(&candidate.holder));
        let sum: f64 = owned.map(|range| weigh(load, range.first, range.last)).sum();
        sum / fair
    };
    candidates.iter().zip(fair_shares(candidates, load)).map(relative).collect()
}

/// Place of the least load.
fn lightest(loads: &[f64]) -> Option<usize> {
    (0..loads.len()).min_by(|a, b| loads[*a].total_cmp(&loads[*b]))
}

/// The candidate with the least load beside its capacity.
#[must_use]
pub fn lightest_owner(
    ranges: &[RangeRecord],
    candidates: &[OwnerCandidate],
    load: &KeyLoad,
) -> Option<HolderRecord> {
    let loads = relative_loads(ranges, candidates, load);
    Some(candidates[lightest(&loads)?].holder.clone())
}

/// The one move that relieves the most loaded target that can be; `ranges` are then as after it.
fn plan_one(
    ranges: &mut Vec<RangeRecord>,
    candidates: &[OwnerCandidate],
    load: &KeyLoad,
) -> Option<MoveProposal> {
    let loads = relative_loads(ranges, candidates, load);
    let fair = fair_shares(candidates, load);
    let lightest = lightest(&loads)?;
    let idle = loads[lightest] < IDLE_PART;
    let overloaded = |place: &usize| {
        let (load, fair) = (loads[*place], fair[*place]);
        let sure = idle || (load - 1.0) * fair >= DEVIATIONS_LEAST * fair.sqrt();
        load >= RELIEF_RATIO && load * fair >= SAMPLES_LEAST && sure
    };
    let mut givers: Vec<usize> = (0..loads.len()).filter(overloaded).collect();
    givers.sort_by(|a, b| loads[*b].total_cmp(&loads[*a]));
    let (giver, first, last) =
        givers.into_iter().filter(|giver| *giver != lightest).find_map(|giver| {
            let excess = (loads[giver] - 1.0) * fair[giver];
            let room = (1.0 - loads[lightest]) * fair[lightest];
            let most = |part: f64| {
                let bearable = |place: usize| (loads[giver] * part - loads[place]) * fair[place];
                (0..loads.len()).map(bearable).fold(0.0, f64::max)
            };
            let wanted = PieceWanted {
                load: excess.min(room),
                most: most(RECEIVER_PART),
                lone_key: most(LONE_KEY_PART),
            };
            let (first, last) = find_piece(ranges, load, &candidates[giver].holder, wanted)?;
            Some((giver, first, last))
        })?;
    // A piece heavier than the lightest target has room for weighs less on a faster one.
    let carried = weigh(load, first, last);
    let after = |place: usize| loads[place] + carried / fair[place];
    let receiver = (0..candidates.len())
        .filter(|place| *place != giver)
        .min_by(|a, b| after(*a).total_cmp(&after(*b)))?;
    let proposal = MoveProposal { first, last, to: candidates[receiver].holder.clone() };
    apply_move(ranges, &proposal);
    Some(proposal)
}

/// How much load a move should carry.
#[derive(Clone, Copy)]
struct PieceWanted {
    /// The best load.
    load: f64,
    /// The greatest load that still helps.
    most: f64,
    /// The same for a key that has a range of its own already.
    lone_key: f64,
}

/// A piece of a target's keys, off its heaviest range that has a fitting one.
fn find_piece(
    ranges: &[RangeRecord],
    load: &KeyLoad,
    from: &HolderRecord,
    wanted: PieceWanted,
) -> Option<(u16, u16)> {
    let owned = |range: &&RangeRecord| range.settled && range.owner.as_ref() == Some(from);
    let mut sources: Vec<&RangeRecord> = ranges.iter().filter(owned).collect();
    sources.sort_by(|a, b| weigh(load, b.first, b.last).total_cmp(&weigh(load, a.first, a.last)));
    sources.into_iter().find_map(|source| cut_piece(source, load, wanted))
}

/// The run of keys at one end of a range whose load is nearest to the wanted one.
fn cut_piece(source: &RangeRecord, load: &KeyLoad, wanted: PieceWanted) -> Option<(u16, u16)> {
    let (first, last) = (source.first, source.last);
    let mut pieces = Vec::new();
    if wanted.load <= 0.0 {
        return None;
    }
    let whole = weigh(load, first, last);
    if whole <= wanted.load * WHOLE_SLACK || (first == last && whole <= wanted.lone_key) {
        return Some((first, last));
    }
    let middle = first + (last - first) / 2;
    // The key at which a piece gets heavy enough, with it and without it.
    let head = load.reach(first, last, wanted.load).unwrap_or(middle);
    pieces.extend([head.checked_sub(1), Some(head)].into_iter().flatten().map(|end| (first, end)));
    let rest = load.between(first, last) - wanted.load;
    let tail = load.reach(first, last, rest).unwrap_or(middle);
    pieces
        .extend([Some(tail), tail.checked_add(1)].into_iter().flatten().map(|start| (start, last)));
    pieces.retain(|(start, end)| first <= *start && start <= end && *end <= last);
    pieces.retain(|(start, end)| (*start, *end) != (first, last));
    let fits = |(start, end): &(u16, u16)| {
        let carried = weigh(load, *start, *end);
        wanted.load * PIECE_LEAST <= carried && carried <= wanted.most
    };
    // Of two pieces alike, the one with fewer keys: moves are paid for by keys.
    let distance = |(start, end): &(u16, u16)| {
        let keys = f64::from(end - start) / f64::from(KEY_COUNT);
        (weigh(load, *start, *end) - wanted.load).abs() / wanted.load + keys
    };
    pieces.into_iter().filter(fits).min_by(|a, b| distance(a).total_cmp(&distance(b)))
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
