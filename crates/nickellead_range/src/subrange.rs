//! Which run of a target's keys to move: near the load wanted, and with few keys.

use crate::map::KEY_COUNT;
use crate::{KeyLoad, RangeRecord, TargetInstance};

/// Weight of plain size: this many sampled requests are spread evenly over all keys.
///
/// It keeps a target without sampled requests from being given all silent keys.
const SIZE_WEIGHT: f64 = 20.0;
/// A range is moved whole when its load is at most this many times the load wanted.
const WHOLE_SLACK: f64 = 1.2;
/// Least part of the load wanted that is worth a move.
const PIECE_LEAST: f64 = 0.2;

/// How much load a move should carry.
#[derive(Clone, Copy)]
pub(crate) struct SubrangeRequest {
    /// The best load.
    pub(crate) load: f64,
    /// The greatest load that still helps.
    pub(crate) most: f64,
    /// The same for a key that has a range of its own already.
    pub(crate) lone_key: f64,
}

/// Load of a run of keys: sampled requests and a small part for its size.
pub(crate) fn weigh(load: &KeyLoad, first: u16, last: u16) -> f64 {
    let size = f64::from(last - first) + 1.0;
    load.between(first, last) + SIZE_WEIGHT * size / f64::from(KEY_COUNT)
}

/// A piece of a target's keys, off its heaviest range that has a fitting one.
pub(crate) fn find_subrange(
    ranges: &[RangeRecord],
    load: &KeyLoad,
    from: &TargetInstance,
    wanted: SubrangeRequest,
) -> Option<(u16, u16)> {
    let owned = |range: &&RangeRecord| range.settled && range.owner.as_ref() == Some(from);
    let mut sources: Vec<&RangeRecord> = ranges.iter().filter(owned).collect();
    sources.sort_by(|a, b| weigh(load, b.first, b.last).total_cmp(&weigh(load, a.first, a.last)));
    sources.into_iter().find_map(|source| cut_piece(source, load, wanted))
}

/// The run of keys at one end of a range whose load is nearest to the wanted one.
fn cut_piece(source: &RangeRecord, load: &KeyLoad, wanted: SubrangeRequest) -> Option<(u16, u16)> {
    if wanted.load <= 0.0 {
        return None;
    }
    let (first, last) = (source.first, source.last);
    let whole = weigh(load, first, last);
    if whole <= wanted.load * WHOLE_SLACK || (first == last && whole <= wanted.lone_key) {
        return Some((first, last));
    }
    let fits = |(start, end): &(u16, u16)| {
        let carried = weigh(load, *start, *end);
        wanted.load * PIECE_LEAST <= carried && carried <= wanted.most
    };
    // Of two pieces alike, the one with fewer keys: moves are paid for by keys.
    let distance = |(start, end): &(u16, u16)| {
        let keys = f64::from(end - start) / f64::from(KEY_COUNT);
        (weigh(load, *start, *end) - wanted.load).abs() / wanted.load + keys
    };
    let pieces = end_pieces(source, load, wanted.load).into_iter();
    pieces.filter(fits).min_by(|a, b| distance(a).total_cmp(&distance(b)))
}

/// The runs of keys at both ends of a range about as heavy as wanted, none of them the whole.
fn end_pieces(source: &RangeRecord, load: &KeyLoad, wanted: f64) -> Vec<(u16, u16)> {
    let (first, last) = (source.first, source.last);
    let middle = first + (last - first) / 2;
    // The key at which a piece gets heavy enough, with it and without it.
    let head = load.key_reaching(first, last, wanted).unwrap_or(middle);
    let ends = [head.checked_sub(1), Some(head)].into_iter().flatten();
    let rest = load.between(first, last) - wanted;
    let tail = load.key_reaching(first, last, rest).unwrap_or(middle);
    let starts = [Some(tail), tail.checked_add(1)].into_iter().flatten();
    let at_ends = ends.map(|end| (first, end)).chain(starts.map(|start| (start, last)));
    let inside = |(start, end): &(u16, u16)| first <= *start && start <= end && *end <= last;
    at_ends.filter(inside).filter(|piece| *piece != (first, last)).collect()
}
