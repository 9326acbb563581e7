//! Which ranges should move where.
#![allow(clippy::unwrap_used)]

use nickellead_range::{
    KeyLoad, OwnerCandidate, RangeRecord, TargetInstance, least_loaded_owner, plan_moves,
};

fn holder(place: usize) -> TargetInstance {
    TargetInstance { id: format!("t{place}"), born: None, address: format!("10.0.0.{place}:80") }
}

fn candidates(count: usize) -> Vec<OwnerCandidate> {
    (0..count)
        .map(|place| OwnerCandidate { target: holder(place), capacity: 1.0, max_load: None })
        .collect()
}

/// Equal, settled ranges, one for each of `count` targets.
fn ranges(count: usize) -> Vec<RangeRecord> {
    let keys = 65_536 / count;
    let record = |place: usize| RangeRecord {
        first: (place * keys) as u16,
        last: ((place + 1) * keys - 1) as u16,
        fence: 1,
        owner: Some(holder(place)),
        previous: None,
        settled: true,
    };
    (0..count).map(record).collect()
}

#[test]
fn even_load_moves_nothing() {
    let mut load = KeyLoad::default();
    (0..=u16::MAX).step_by(64).for_each(|key| load.record(key, 1));
    assert_eq!(plan_moves(&ranges(4), &candidates(4), &load, 8), []);
}

/// Heavy keys sit close together: they are split, and small runs of keys move.
#[test]
fn a_hot_run_of_keys_is_spread_over_several_targets() {
    let mut load = KeyLoad::default();
    (0..=u16::MAX).step_by(256).for_each(|key| load.record(key, 1));
    (1_000..1_200).for_each(|key| load.record(key, 5));
    let moves = plan_moves(&ranges(4), &candidates(4), &load, 8);
    assert!(moves.len() >= 2, "{moves:?}");
    let moved: u32 = moves.iter().map(|one| u32::from(one.last - one.first) + 1).sum();
    assert!(moved < 8_192, "{moved} keys for 200 hot ones");
    assert!(moves.iter().all(|one| one.to != holder(0)));
}

#[test]
fn a_newcomer_gets_something_and_ranges_on_the_move_stay() {
    let mut load = KeyLoad::default();
    (0..=u16::MAX).step_by(64).for_each(|key| load.record(key, 1));
    let mut owned = ranges(4);
    let moves = plan_moves(&owned, &candidates(5), &load, 8);
    assert!(moves.is_empty() || moves.iter().all(|one| one.to == holder(4)), "{moves:?}");
    owned.iter_mut().for_each(|range| range.settled = false);
    assert_eq!(plan_moves(&owned, &candidates(5), &load, 8), []);
}

#[test]
fn the_lightest_target_is_the_one_with_the_least_load_for_what_it_can_do() {
    let mut load = KeyLoad::default();
    load.record(1, 30);
    load.record(40_000, 30);
    let mut able = candidates(2);
    able[0].capacity = 4.0;
    assert_eq!(least_loaded_owner(&ranges(2), &able, &load), Some(holder(0)));
}

/// On the users' grown fleet every hot key is heavier than what a light target has room for, and
/// nothing moved for ten seconds.
#[test]
fn hot_keys_heavier_than_a_fair_share_are_spread_one_by_one() {
    let mut load = KeyLoad::default();
    (0..=u16::MAX).step_by(64).for_each(|key| load.record(key, 1));
    (4_827..4_887).for_each(|key| load.record(key, 60));
    let (owned, able) = (ranges(100), candidates(100));
    let moves = plan_moves(&owned, &able, &load, 14);
    assert_eq!(moves.len(), 14, "{moves:?}");
    let receivers: std::collections::BTreeSet<&TargetInstance> =
        moves.iter().map(|one| &one.to).collect();
    assert_eq!(receivers.len(), 14, "each hot key goes to a target of its own");
    assert!(moves.iter().all(|one| load.between(one.first, one.last) >= 60.0), "{moves:?}");
}

/// One key that no target can take better keeps nothing else from being spread.
#[test]
fn a_target_that_cannot_be_relieved_does_not_stop_the_others() {
    let mut load = KeyLoad::default();
    (0..=u16::MAX).step_by(64).for_each(|key| load.record(key, 1));
    load.record(0, 5_000);
    (20_000..20_200).for_each(|key| load.record(key, 5));
    let mut owned = ranges(10);
    // The heavy key is alone in its range and with its owner.
    owned[0].last = 0;
    let rest = RangeRecord { first: 1, last: 6_552, owner: Some(holder(1)), ..owned[0].clone() };
    owned.insert(1, rest);
    let moves = plan_moves(&owned, &candidates(10), &load, 4);
    assert!(moves.iter().any(|one| one.first < 20_200 && 20_000 <= one.last), "{moves:?}");
    assert!(moves.iter().all(|one| one.first > 0), "the heavy key stays: {moves:?}");
}

/// The lightest target may be a slow one, which one hot key would hold up longest.
#[test]
fn a_hot_key_goes_to_the_target_that_bears_it_best() {
    let mut load = KeyLoad::default();
    (0..=u16::MAX).step_by(64).for_each(|key| load.record(key, 1));
    load.record(40, 4_000);
    let mut able = candidates(10);
    // Slow and without any load, so the lightest; number 9 is three times as fast as the others.
    able[4].capacity = 0.5;
    able[9].capacity = 3.0;
    let mut owned = ranges(10);
    owned[4].owner = Some(holder(5));
    owned[0].last = 40;
    owned[0].first = 40;
    let moves = plan_moves(&owned, &able, &load, 1);
    let wanted = nickellead_range::MoveProposal { first: 40, last: 40, to: holder(9) };
    assert_eq!(moves, [wanted]);
}

/// On a fleet of 176 targets each is sampled a few times a second: a third more is chance, and every
/// move costs each VM a new connection.
#[test]
fn chance_moves_nothing() {
    let mut load = KeyLoad::default();
    // 16 samples for each of 64 targets, and 24 for one of them.
    (0..=u16::MAX).step_by(64).for_each(|key| load.record(key, 1));
    (0..512_u16).step_by(64).for_each(|key| load.record(key + 1, 1));
    assert_eq!(plan_moves(&ranges(64), &candidates(64), &load, 8), []);
}

/// Load that a target owns once these moves are done, as it is counted.
fn load_after(
    owned: &[RangeRecord],
    moves: &[nickellead_range::MoveProposal],
    load: &KeyLoad,
    target: usize,
) -> f64 {
    let owner = |key: u16| {
        let moved = moves.iter().rfind(|one| one.first <= key && key <= one.last);
        let range = owned.iter().find(|range| range.first <= key && key <= range.last);
        moved.map(|one| &one.to).or(range.and_then(|range| range.owner.as_ref()))
    };
    let of_target = (0..=u16::MAX).filter(|key| owner(*key) == Some(&holder(target)));
    of_target.map(|key| load.between(key, key)).sum()
}

/// Two owners say what they bear: the others get what is too much for them, and neither is given more.
#[test]
fn owners_that_name_limits_keep_what_they_bear_and_put_no_other_one_in_need() {
    let mut load = KeyLoad::default();
    (0..=u16::MAX).step_by(64).for_each(|key| load.record(key, 1));
    let mut able = candidates(8);
    (able[0].max_load, able[1].max_load) = (Some(30.0), Some(100.0));
    let owned = ranges(8);
    let moves = plan_moves(&owned, &able, &load, 16);
    assert!(moves.iter().all(|one| one.to != holder(0) && one.to != holder(1)), "{moves:?}");
    for (target, borne) in [(0, 30.0), (1, 100.0)] {
        let left = load_after(&owned, &moves, &load, target);
        assert!(left <= borne * 1.35 + 20.0, "{left} requests stay where {borne} are borne");
    }
}

#[test]
fn an_owner_that_bears_nothing_gives_its_keys_away_though_few_ask_for_them() {
    let mut load = KeyLoad::default();
    load.record(1, 3);
    (20_000..=u16::MAX).step_by(64).for_each(|key| load.record(key, 1));
    let mut able = candidates(4);
    able[0].max_load = Some(0.0);
    let moves = plan_moves(&ranges(4), &able, &load, 8);
    assert!(moves.iter().any(|one| one.first <= 1 && 1 <= one.last), "{moves:?}");
    assert!(moves.iter().all(|one| one.to != holder(0)), "{moves:?}");
}

#[test]
fn owners_that_all_bear_less_than_is_asked_for_move_nothing_to_and_fro() {
    let mut load = KeyLoad::default();
    (0..=u16::MAX).step_by(64).for_each(|key| load.record(key, 1));
    let mut able = candidates(4);
    able.iter_mut().for_each(|one| one.max_load = Some(40.0));
    assert_eq!(plan_moves(&ranges(4), &able, &load, 8), []);
}
