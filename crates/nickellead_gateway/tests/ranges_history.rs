//! Updates of the map of ranges between VMs: steps from a known revision, otherwise the whole map.
//!
//! Guards against subscribers that end with another map than their upstream.
#![allow(clippy::unwrap_used)]

use nickellead_gateway::{RangesHistory, RangesStep, RangesUpdate, Revision, StepsError, Stored};
use nickellead_range::{RangeMap, RangeRecord, TargetInstance};

const RANGES: u16 = 128;

/// The map of a revision; each revision moves one range.
fn map(revision: u64) -> Stored<RangeMap> {
    let keys = u16::MAX / RANGES + 1;
    let record = |index: u16| {
        let last_move = (0..=revision)
            .rev()
            .find(|one| one % u64::from(RANGES) == u64::from(index))
            .unwrap_or(0);
        let owner = TargetInstance {
            id: format!("t{last_move}"),
            born: None,
            address: "10.0.0.1:80".to_owned(),
        };
        RangeRecord {
            first: index * keys,
            last: index * keys + (keys - 1),
            fence: last_move,
            owner: Some(owner),
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

/// A history that applied the whole maps of these revisions.
fn history(revisions: impl IntoIterator<Item = u64>) -> RangesHistory {
    let mut history = RangesHistory::default();
    revisions.into_iter().for_each(|revision| assert!(history.apply_whole(map(revision))));
    history
}

/// The steps published to a subscriber with the map of this revision.
fn steps(history: &RangesHistory, revision: u64) -> Vec<RangesStep> {
    let update = history.since(Revision::without_era(revision));
    let Some(RangesUpdate::Steps(steps)) = update else { unreachable!("no steps: {update:?}") };
    steps
}

fn is_whole(update: Option<RangesUpdate>, revision: u64) -> bool {
    update == Some(RangesUpdate::Whole(map(revision)))
}

#[test]
fn a_subscriber_that_applies_steps_has_the_same_map() {
    let upstream = history([10, 11, 13, 17]);
    let mut subscriber = history([11]);
    assert_eq!(subscriber.apply_steps(steps(&upstream, 11)), Ok(true));
    assert_eq!(subscriber.newest(), Some(&map(17)));
    assert_eq!(subscriber.revision(), Revision::without_era(17));
}

/// Subscribers of a subscriber may have the map of any of the steps.
#[test]
fn applied_steps_are_published_again() {
    let upstream = history([10, 11, 13, 17]);
    let mut middle = history([10]);
    middle.apply_steps(steps(&upstream, 10)).unwrap();
    for revision in [10, 11, 13] {
        let mut subscriber = history([revision]);
        assert_eq!(subscriber.apply_steps(steps(&middle, revision)), Ok(true));
        assert_eq!(subscriber.newest(), Some(&map(17)));
    }
}

#[test]
fn a_subscriber_without_a_retained_map_gets_the_whole_map() {
    let upstream = history([10, 11, 13]);
    assert!(is_whole(upstream.since(Revision::without_era(0)), 13), "without a map");
    assert!(
        is_whole(upstream.since(Revision::without_era(12)), 13),
        "with a map that is not in the history"
    );
    assert!(
        is_whole(history(1..=100).since(Revision::without_era(5)), 100),
        "with a map older than the history"
    );
    assert!(
        is_whole(history([10, 200]).since(Revision::without_era(10)), 200),
        "steps would be longer"
    );
}

#[test]
fn a_subscriber_with_the_newest_map_or_a_newer_one_gets_no_update() {
    let upstream = history([10, 11]);
    assert_eq!(upstream.since(Revision::without_era(11)), None);
    assert_eq!(upstream.since(Revision::without_era(12)), None);
    assert_eq!(RangesHistory::default().since(Revision::without_era(0)), None);
}

#[test]
fn steps_older_than_the_map_are_ignored() {
    let upstream = history([10, 11, 13]);
    let mut newer = history([13, 14]);
    assert_eq!(newer.apply_steps(steps(&upstream, 10)), Ok(false));
    assert_eq!(newer.newest(), Some(&map(14)));
    assert_eq!(history([10, 13]).apply_steps(steps(&upstream, 10)), Ok(false));
    let mut between = history([10, 11]);
    assert_eq!(
        between.apply_steps(steps(&upstream, 10)),
        Ok(true),
        "the first step is already applied"
    );
    assert_eq!(between.newest(), Some(&map(13)));
    assert_eq!(steps(&between, 10), steps(&upstream, 10), "a known step is stored twice");
    assert!(!newer.apply_whole(map(12)) && !newer.apply_whole(map(14)));
    assert_eq!(newer.newest(), Some(&map(14)));
}

#[test]
fn steps_from_an_unknown_revision_change_nothing() {
    let upstream = history([10, 11, 13]);
    for known in [5, 12] {
        let mut subscriber = history([known]);
        let error = StepsError::NoStart { known: Revision::without_era(known) };
        assert_eq!(subscriber.apply_steps(steps(&upstream, 10)), Err(error));
        assert_eq!(subscriber.newest(), Some(&map(known)));
        assert!(
            subscriber.revision() == Revision::without_era(known),
            "the map is no longer confirmed"
        );
    }
    let mut empty = RangesHistory::default();
    assert!(empty.apply_steps(steps(&upstream, 10)).is_err());
    assert_eq!(empty.newest(), None);
}

#[test]
fn steps_out_of_order_change_nothing() {
    let mut subscriber = history([10]);
    let mut update = steps(&history([10, 11, 13, 17]), 10);
    update.remove(1);
    assert!(matches!(subscriber.apply_steps(update), Err(StepsError::Broken { .. })));
    let mut decreasing = steps(&history([10, 11]), 10);
    decreasing[0].to = Revision::without_era(9);
    assert!(matches!(subscriber.apply_steps(decreasing), Err(StepsError::Broken { .. })));
    assert_eq!(subscriber.newest(), Some(&map(10)));
}

/// The second of two steps does not apply: neither is applied, and the subscriber needs a whole
/// map.
#[test]
fn a_step_that_does_not_apply_keeps_the_map_and_requires_a_whole_one() {
    let upstream = history([10, 11, 13]);
    let mut update = steps(&upstream, 10);
    update[1].change = steps(&history([20, 21]), 20).remove(0).change;
    let mut subscriber = history([9, 10]);
    assert!(matches!(subscriber.apply_steps(update), Err(StepsError::Refused { .. })));
    assert_eq!(subscriber.newest(), Some(&map(10)));
    assert_eq!(subscriber.revision(), Revision::without_era(0));
    assert!(
        is_whole(subscriber.since(Revision::without_era(9)), 10),
        "steps published from an unconfirmed map"
    );
    assert!(
        subscriber.apply_steps(steps(&upstream, 10)).is_err(),
        "steps applied to an unconfirmed map"
    );
    assert!(subscriber.apply_whole(map(13)));
    assert!(is_whole(subscriber.since(Revision::without_era(10)), 13));
    assert_eq!(subscriber.revision(), Revision::without_era(13));
    assert_eq!(subscriber.apply_steps(steps(&history([13, 14]), 13)), Ok(true));
}

/// Steps cannot express a map with gaps.
#[test]
fn a_map_with_gaps_is_published_whole() {
    let mut upstream = history([9, 10]);
    let mut with_gap = map(11);
    with_gap.value.services.get_mut("keyed").unwrap().remove(3);
    assert!(upstream.apply_whole(with_gap.clone()));
    assert_eq!(upstream.since(Revision::without_era(9)), Some(RangesUpdate::Whole(with_gap)));
    assert!(upstream.apply_whole(map(12)));
    assert!(is_whole(upstream.since(Revision::without_era(9)), 12));
}
