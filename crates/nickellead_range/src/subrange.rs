//! Selection of the subrange of a target's keys to move: close to the requested load, few keys.

use crate::KeyLoad;
use crate::map::KEY_COUNT;

/// Load, in sampled requests, that is spread evenly over all keys of a service.
///
/// It keeps a target without sampled requests from receiving all idle keys.
const IDLE_KEYS_LOAD: f64 = 20.0;
/// A range moves whole if its load is at most this multiple of the requested load.
const MAX_WHOLE_RANGE_LOAD_RATIO: f64 = 1.2;
/// Minimum load of a moved subrange, as a fraction of the requested load.
const MIN_SUBRANGE_LOAD_FRACTION: f64 = 0.2;

/// How much load a move should carry.
#[derive(Clone, Copy)]
pub(crate) struct SubrangeRequest {
    /// The desired load.
    pub(crate) load: f64,
    /// Maximum load of a subrange.
    pub(crate) max_load: f64,
    /// Maximum load of a key that already has a range of its own.
    pub(crate) max_single_key_load: f64,
}

/// Load of a run of keys: its sampled requests and its fraction of [`IDLE_KEYS_LOAD`].
pub(crate) fn weighted_load(load: &KeyLoad, first: u16, last: u16) -> f64 {
    let size = f64::from(last - first) + 1.0;
    load.between(first, last) + IDLE_KEYS_LOAD * size / f64::from(KEY_COUNT)
}

/// A subrange that may move.
pub(crate) struct FoundSubrange {
    /// Index of the range that it is part of.
    pub(crate) source: usize,
    /// First key.
    pub(crate) first: u16,
    /// Last key, included.
    pub(crate) last: u16,
}

/// A subrange of the heaviest of these ranges that has one matching the request; ranges are given by
/// their first and last keys.
pub(crate) fn find_subrange(
    sources: &[(u16, u16)],
    load: &KeyLoad,
    request: SubrangeRequest,
) -> Option<FoundSubrange> {
    let weight = |(first, last): (u16, u16)| weighted_load(load, first, last);
    let mut by_weight: Vec<usize> = (0..sources.len()).collect();
    by_weight.sort_by(|a, b| weight(sources[*b]).total_cmp(&weight(sources[*a])));
    by_weight.into_iter().find_map(|source| {
        let (first, last) = cut_subrange(sources[source], load, request)?;
        Some(FoundSubrange { source, first, last })
    })
}

/// The subrange at either end of a range whose load is closest to the requested one.
fn cut_subrange(
    source: (u16, u16),
    load: &KeyLoad,
    request: SubrangeRequest,
) -> Option<(u16, u16)> {
    if request.load <= 0.0 {
        return None;
    }
    let (first, last) = source;
    let whole = weighted_load(load, first, last);
    if whole <= request.load * MAX_WHOLE_RANGE_LOAD_RATIO
        || (first == last && whole <= request.max_single_key_load)
    {
        return Some((first, last));
    }
    let fits = |(start, end): &(u16, u16)| {
        let carried = weighted_load(load, *start, *end);
        request.load * MIN_SUBRANGE_LOAD_FRACTION <= carried && carried <= request.max_load
    };
    // The cost of a move grows with its keys, so the smaller of two similar subranges wins.
    let distance = |(start, end): &(u16, u16)| {
        let keys = f64::from(end - start) / f64::from(KEY_COUNT);
        (weighted_load(load, *start, *end) - request.load).abs() / request.load + keys
    };
    let subranges = end_subranges(source, load, request.load).into_iter();
    subranges.filter(fits).min_by(|a, b| distance(a).total_cmp(&distance(b)))
}

/// Proper subranges at both ends of a range whose load is close to `wanted`.
fn end_subranges(source: (u16, u16), load: &KeyLoad, wanted: f64) -> Vec<(u16, u16)> {
    let (first, last) = source;
    let middle = first + (last - first) / 2;
    // Subranges with and without the key at which the load reaches `wanted`.
    let head = load.key_reaching(first, last, wanted).unwrap_or(middle);
    let ends = [head.checked_sub(1), Some(head)].into_iter().flatten();
    let rest = load.between(first, last) - wanted;
    let tail = load.key_reaching(first, last, rest).unwrap_or(middle);
    let starts = [Some(tail), tail.checked_add(1)].into_iter().flatten();
    let at_ends = ends.map(|end| (first, end)).chain(starts.map(|start| (start, last)));
    let inside = |(start, end): &(u16, u16)| first <= *start && start <= end && *end <= last;
    at_ends.filter(inside).filter(|subrange| *subrange != (first, last)).collect()
}
