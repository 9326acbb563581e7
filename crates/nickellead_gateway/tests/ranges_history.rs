//! What a VM tells and takes of the map of ranges: steps where they fit, else the whole map.
//!
//! Seen: on a fleet of 90 VMs the mandate's holder sent 500 to 1,000 kB a second in calm, because
//! each write of the map went whole to each of its readers. A reader that has a map is told steps
//! now, whichever VM it had the map from; these tests hold that it ends with the very same map.
#![allow(clippy::unwrap_used)]

use nickellead_gateway::{RangesHistory, RangesStep, RangesUpdate, Revision, StepsError, Stored};
use nickellead_range::{RangeMap, RangeRecord, TargetInstance};

/// Ranges of the maps of these tests.
const RANGES: u16 = 128;

/// The map of a revision: each one moves one range.
fn map(revision: u64) -> Stored<RangeMap> {
    let keys = u16::MAX / RANGES + 1;
    let record = |index: u16| {
        let last_move = (0..=revision)
            .rev()
            .find(|one| one % u64::from(RANGES) == u64::from(index))
            .unwrap_or(0);
        let holder = TargetInstance {
            id: format!("t{last_move}"),
            born: None,
            address: "10.0.0.1:80".to_owned(),
        };
        RangeRecord {
            first: index * keys,
            last: index * keys + (keys - 1),
            fence: last_move,
            owner: Some(holder),
            previous: None,
            settled: true,
        }
    };
    let ranges = (0..RANGES).map(record).collect();
    let services = [("keyed".to_owned(), ranges)].into();
    let value =
        RangeMap { fence: revision, writer: 1, edit: revision, services, ..RangeMap::default() };
    Stored { revision: Revision::without_era(revision), value }
}

/// A VM that had the maps of these revisions, each whole.
fn history(revisions: impl IntoIterator<Item = u64>) -> RangesHistory {
    let mut history = RangesHistory::default();
    revisions.into_iter().for_each(|revision| assert!(history.apply_whole(map(revision))));
    history
}

/// The steps that a VM tells a reader with the map of this revision.
fn steps(history: &RangesHistory, mark: u64) -> Vec<RangesStep> {
    let told = history.since(Revision::without_era(mark));
    let Some(RangesUpdate::Steps(steps)) = told else { unreachable!("no steps: {told:?}") };
    steps
}

fn is_whole(news: Option<RangesUpdate>, revision: u64) -> bool {
    news == Some(RangesUpdate::Whole(map(revision)))
}

#[test]
fn a_reader_goes_on_by_steps_to_the_very_same_map() {
    let teller = history([10, 11, 13, 17]);
    let mut reader = history([11]);
    assert_eq!(reader.apply_steps(steps(&teller, 11)), Ok(true));
    assert_eq!(reader.newest(), Some(&map(17)));
    assert_eq!(reader.revision(), Revision::without_era(17));
}

/// The reader's own readers may stand at any of the steps.
#[test]
fn steps_that_were_taken_are_told_on() {
    let teller = history([10, 11, 13, 17]);
    let mut middle = history([10]);
    middle.apply_steps(steps(&teller, 10)).unwrap();
    for mark in [10, 11, 13] {
        let mut reader = history([mark]);
        assert_eq!(reader.apply_steps(steps(&middle, mark)), Ok(true));
        assert_eq!(reader.newest(), Some(&map(17)));
    }
}

#[test]
fn a_reader_without_a_kept_map_is_told_the_whole() {
    let teller = history([10, 11, 13]);
    assert!(is_whole(teller.since(Revision::without_era(0)), 13), "it has none");
    assert!(
        is_whole(teller.since(Revision::without_era(12)), 13),
        "it has one that this VM never had"
    );
    assert!(
        is_whole(history(1..=100).since(Revision::without_era(5)), 100),
        "it is too far behind"
    );
    assert!(
        is_whole(history([10, 200]).since(Revision::without_era(10)), 200),
        "steps would be longer"
    );
}

#[test]
fn a_reader_with_the_newest_map_or_a_newer_one_is_told_nothing() {
    let teller = history([10, 11]);
    assert_eq!(teller.since(Revision::without_era(11)), None);
    assert_eq!(teller.since(Revision::without_era(12)), None);
    assert_eq!(RangesHistory::default().since(Revision::without_era(0)), None);
}

#[test]
fn steps_that_the_map_is_past_are_ignored() {
    let teller = history([10, 11, 13]);
    let mut newer = history([13, 14]);
    assert_eq!(newer.apply_steps(steps(&teller, 10)), Ok(false));
    assert_eq!(newer.newest(), Some(&map(14)));
    assert_eq!(history([10, 13]).apply_steps(steps(&teller, 10)), Ok(false));
    let mut between = history([10, 11]);
    assert_eq!(between.apply_steps(steps(&teller, 10)), Ok(true), "the first one is known");
    assert_eq!(between.newest(), Some(&map(13)));
    assert_eq!(steps(&between, 10), steps(&teller, 10), "and kept once");
    assert!(!newer.apply_whole(map(12)) && !newer.apply_whole(map(14)));
    assert_eq!(newer.newest(), Some(&map(14)));
}

#[test]
fn steps_that_start_elsewhere_change_nothing() {
    let teller = history([10, 11, 13]);
    for known in [5, 12] {
        let mut reader = history([known]);
        let misfit = StepsError::NoStart { known: Revision::without_era(known) };
        assert_eq!(reader.apply_steps(steps(&teller, 10)), Err(misfit));
        assert_eq!(reader.newest(), Some(&map(known)));
        assert!(reader.revision() == Revision::without_era(known), "its map stands");
    }
    let mut empty = RangesHistory::default();
    assert!(empty.apply_steps(steps(&teller, 10)).is_err());
    assert_eq!(empty.newest(), None);
}

#[test]
fn steps_out_of_order_change_nothing() {
    let mut reader = history([10]);
    let mut told = steps(&history([10, 11, 13, 17]), 10);
    told.remove(1);
    assert!(matches!(reader.apply_steps(told), Err(StepsError::Broken { .. })));
    let mut back = steps(&history([10, 11]), 10);
    back[0].to = Revision::without_era(9);
    assert!(matches!(reader.apply_steps(back), Err(StepsError::Broken { .. })));
    assert_eq!(reader.newest(), Some(&map(10)));
}

/// The second of two steps does not apply: the first one is not taken either, and the reader asks
/// for a whole map until it has one.
#[test]
fn a_step_that_does_not_apply_leaves_the_map_and_asks_for_a_whole_one() {
    let teller = history([10, 11, 13]);
    let mut told = steps(&teller, 10);
    told[1].change = steps(&history([20, 21]), 20).remove(0).change;
    let mut reader = history([9, 10]);
    assert!(matches!(reader.apply_steps(told), Err(StepsError::Refused { .. })));
    assert_eq!(reader.newest(), Some(&map(10)));
    assert_eq!(reader.revision(), Revision::without_era(0));
    assert!(
        is_whole(reader.since(Revision::without_era(9)), 10),
        "it tells no steps to a doubtful map"
    );
    assert!(reader.apply_steps(steps(&teller, 10)).is_err(), "it takes no steps on top of it");
    assert!(reader.apply_whole(map(13)));
    assert!(is_whole(reader.since(Revision::without_era(10)), 13));
    assert_eq!(reader.revision(), Revision::without_era(13));
    assert_eq!(reader.apply_steps(steps(&history([13, 14]), 13)), Ok(true));
}

/// A map with gaps is told as it is: no change leads exactly to it.
#[test]
fn a_map_with_gaps_is_told_whole() {
    let mut teller = history([9, 10]);
    let mut gaps = map(11);
    gaps.value.services.get_mut("keyed").unwrap().remove(3);
    assert!(teller.apply_whole(gaps.clone()));
    assert_eq!(teller.since(Revision::without_era(9)), Some(RangesUpdate::Whole(gaps)));
    assert!(teller.apply_whole(map(12)));
    assert!(is_whole(teller.since(Revision::without_era(9)), 12));
}
