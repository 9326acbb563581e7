//! Map changes: exact on the map that they were made from, rejected on other maps.
#![allow(clippy::unwrap_used)]

use nickellead_range::{MapChange, MapChangeError, RangeMap, RangeRecord, TargetInstance};
use quickcheck::{Arbitrary, Gen, quickcheck};

const SERVICES: [&str; 3] = ["alpha", "beta", "gamma"];

/// Maximum number of bytes that a VM decodes, equal to the frame limit of messages between VMs.
const MESSAGE_LIMIT: usize = 16 * 1024 * 1024;

/// Effect of an edit on a service, or on the range of the service that contains a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EditKind {
    /// Replaces all ranges of the service by one.
    Divide,
    Remove,
    Split,
    /// Assigns the range to this target.
    Move(u8),
    Settle,
    /// Merges the range with the next one.
    Merge,
}

/// An edit of a map as a controller makes it: effect, index of the service and key.
#[derive(Clone, Debug)]
struct MapEdit(EditKind, usize, u16);

impl Arbitrary for MapEdit {
    fn arbitrary(g: &mut Gen) -> Self {
        let moving = EditKind::Move(u8::arbitrary(g));
        let kinds = [moving, EditKind::Split, EditKind::Settle, EditKind::Merge];
        let kind = match u8::arbitrary(g) % 16 {
            0 => EditKind::Divide,
            1 => EditKind::Remove,
            _ => *g.choose(&kinds).unwrap(),
        };
        Self(kind, usize::arbitrary(g) % SERVICES.len(), u16::arbitrary(g))
    }
}

fn record(first: u16, last: u16, fence: u64, owner: u8) -> RangeRecord {
    let target = TargetInstance {
        id: format!("t{owner}"),
        born: None,
        address: format!("10.0.0.{owner}:80"),
    };
    RangeRecord { first, last, fence, owner: Some(target), previous: None, settled: false }
}

impl MapEdit {
    fn apply(&self, map: &mut RangeMap) {
        let Self(kind, service, key) = *self;
        map.edit += 1;
        map.fence += 1;
        map.late_orders = key % 2 == 1;
        let ranges = map.services.entry(SERVICES[service].to_owned()).or_default();
        if kind == EditKind::Divide || ranges.is_empty() {
            *ranges = vec![record(0, u16::MAX, map.fence, 0)];
        }
        let index = ranges.iter().position(|range| range.contains(key)).unwrap();
        let range = &mut ranges[index];
        match kind {
            EditKind::Remove => {
                map.services.remove(SERVICES[service]);
            }
            EditKind::Split if range.first < key => {
                let upper = RangeRecord { first: key, ..range.clone() };
                range.last = key - 1;
                ranges.insert(index + 1, upper);
            }
            EditKind::Move(owner) => {
                let previous = range.owner.take();
                *range =
                    RangeRecord { previous, ..record(range.first, range.last, map.fence, owner) };
            }
            EditKind::Settle => {
                range.settled = true;
                range.previous = None;
            }
            EditKind::Merge if index + 1 < ranges.len() => {
                ranges[index].last = ranges.remove(index + 1).last;
            }
            _ => {}
        }
    }
}

/// The map after these edits.
fn edited(mut map: RangeMap, edits: &[MapEdit]) -> RangeMap {
    edits.iter().for_each(|edit| edit.apply(&mut map));
    map
}

/// A map with all services, after these edits.
fn first_map(edits: &[MapEdit]) -> RangeMap {
    let all = [0, 1, 2].map(|service| MapEdit(EditKind::Divide, service, 0));
    edited(edited(RangeMap { writer: 7, ..RangeMap::default() }, &all), edits)
}

fn covers_all_keys(map: &RangeMap) -> bool {
    map.services.values().all(|ranges| {
        let adjacent =
            |pair: &[RangeRecord]| u32::from(pair[0].last) + 1 == u32::from(pair[1].first);
        let ends = (ranges.first().map(|range| range.first), ranges.last().map(|range| range.last));
        ends == (Some(0), Some(u16::MAX)) && ranges.windows(2).all(adjacent)
    })
}

quickcheck! {
    fn a_change_makes_exactly_the_new_map(before: Vec<MapEdit>, then: Vec<MapEdit>) -> bool {
        let from = first_map(&before);
        let to = edited(from.clone(), &then);
        MapChange::between(&from, &to).unwrap().apply(&from) == Ok(to)
    }

    fn unrelated_maps_have_a_change_too(one: Vec<MapEdit>, other: Vec<MapEdit>) -> bool {
        let (from, to) = (first_map(&one), RangeMap { writer: 8, ..first_map(&other) });
        MapChange::between(&from, &to).unwrap().apply(&from) == Ok(to)
    }

    /// Guards against invalid maps when writer and edit do not reveal the wrong base.
    fn a_wrong_base_never_gives_a_map_with_gaps(
        before: Vec<MapEdit>, then: Vec<MapEdit>, other: Vec<MapEdit>
    ) -> bool {
        let from = first_map(&before);
        let change = MapChange::between(&from, &edited(from.clone(), &then)).unwrap();
        let wrong = RangeMap { writer: from.writer, edit: from.edit, ..first_map(&other) };
        change.apply(&wrong).as_ref().map_or(true, covers_all_keys)
    }

    fn another_edit_or_writer_is_refused(before: Vec<MapEdit>, then: MapEdit) -> bool {
        let from = first_map(&before);
        let to = edited(from.clone(), std::slice::from_ref(&then));
        let change = MapChange::between(&from, &to).unwrap();
        let refused = |base: &RangeMap| {
            matches!(change.apply(base), Err(MapChangeError::BaseMismatch { .. }))
        };
        let foreign = RangeMap { writer: 8, ..from };
        refused(&to) && refused(&foreign)
    }

    /// Guards against panics on malformed messages of peers.
    fn malformed_bytes_never_panic(before: Vec<MapEdit>, index: usize, byte: u8) -> bool {
        let from = first_map(&before);
        let to = edited(from.clone(), &[MapEdit(EditKind::Move(1), 0, 5), MapEdit(EditKind::Split, 1, 9)]);
        let config = bincode::config::standard().with_limit::<MESSAGE_LIMIT>();
        let change = MapChange::between(&from, &to).unwrap();
        let mut bytes = bincode::encode_to_vec(change, config).unwrap();
        let index = index % bytes.len();
        bytes[index] = byte;
        let decoded = bincode::decode_from_slice::<MapChange, _>(&bytes, config);
        decoded.map_or(true, |(change, _)| change.apply(&from).map_or(true, |map| covers_all_keys(&map)))
    }
}

#[test]
fn a_move_changes_the_moved_range_only() {
    let splits: Vec<MapEdit> =
        (1..180).map(|part| MapEdit(EditKind::Split, 0, part * 364)).collect();
    let from = first_map(&splits);
    let to = edited(from.clone(), &[MapEdit(EditKind::Move(9), 0, 5_000)]);
    assert_eq!(MapChange::between(&from, &to).unwrap().range_count(), 1);
}

#[test]
fn a_map_with_gaps_has_no_change() {
    let from = first_map(&[]);
    let mut to = from.clone();
    to.services.insert("alpha".to_owned(), vec![record(0, 9, 1, 1), record(11, u16::MAX, 1, 1)]);
    assert_eq!(MapChange::between(&from, &to), None);
    to.services.insert("alpha".to_owned(), Vec::new());
    assert_eq!(MapChange::between(&from, &to), None);
}

#[test]
fn a_missing_service_cannot_be_removed() {
    let from = first_map(&[]);
    let change =
        MapChange::between(&from, &edited(from.clone(), &[MapEdit(EditKind::Remove, 1, 0)]))
            .unwrap();
    let mut other = from;
    other.services.remove("beta");
    assert_eq!(change.apply(&other), Err(MapChangeError::MissingService("beta".to_owned())));
}
