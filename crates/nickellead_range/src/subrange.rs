//! Selection of the subrange of a target's keys to move: close to the requested load, few keys.

use crate::map::KEY_COUNT;
use crate::{KeyLoad, RangeRecord, TargetInstance};

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

/// A subrange of the heaviest range of `from` that has one matching the request.
pub(crate) fn find_subrange(
    ranges: &[RangeRecord],
    load: &KeyLoad,
    from: &TargetInstance,
    request: SubrangeRequest,
) -> Option<(u16, u16)> {
    let owned = |range: &&RangeRecord| range.settled && range.owner.as_ref() == Some(from);
    let mut sources: Vec<&RangeRecord> = ranges.iter().filter(owned).collect();
    sources.sort_by(|a, b| {
        weighted_load(load, b.first, b.last).total_cmp(&weighted_load(load, a.first, a.last))
    });
    sources.into_iter().find_map(|source| cut_subrange(source, load, request))
}

/// The subrange at either end of a range whose load is closest to the requested one.
fn cut_subrange(
    source: &RangeRecord,
    load: &KeyLoad,
    request: SubrangeRequest,
) -> Option<(u16, u16)> {
    if request.load <= 0.0 {
        return None;
    }
    let (first, last) = (source.first, source.last);
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
fn end_subranges(source: &RangeRecord, load: &KeyLoad, wanted: f64) -> Vec<(u16, u16)> {
    let (first, last) = (source.first, source.last);
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
