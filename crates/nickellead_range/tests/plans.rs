//! Planning of moves between targets.
#![allow(clippy::unwrap_used)]

use nickellead_range::{
    KeyLoad, OwnerCandidate, OwnerPicker, RangeRecord, TargetInstance, plan_moves,
};

fn instance(index: usize) -> TargetInstance {
    TargetInstance { id: format!("t{index}"), born: None, address: format!("10.0.0.{index}:80") }
}

fn candidates(count: usize) -> Vec<OwnerCandidate> {
    (0..count)
        .map(|index| OwnerCandidate { target: instance(index), capacity: 1.0, max_load: None })
        .collect()
}

/// Settled ranges of equal size, one per target.
fn ranges(count: usize) -> Vec<RangeRecord> {
    let keys = 65_536 / count;
    let record = |index: usize| RangeRecord {
        first: (index * keys) as u16,
        last: ((index + 1) * keys - 1) as u16,
        fence: 1,
        owner: Some(instance(index)),
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

/// Guards against moving most of a range when its heavy keys are adjacent.
#[test]
fn a_hot_run_of_keys_is_spread_over_several_targets() {
    let mut load = KeyLoad::default();
    (0..=u16::MAX).step_by(256).for_each(|key| load.record(key, 1));
    (1_000..1_200).for_each(|key| load.record(key, 5));
    let moves = plan_moves(&ranges(4), &candidates(4), &load, 8);
    assert!(moves.len() >= 2, "{moves:?}");
    let moved: u32 = moves.iter().map(|one| u32::from(one.last - one.first) + 1).sum();
    assert!(moved < 8_192, "{moved} keys for 200 hot ones");
    assert!(moves.iter().all(|one| one.to != instance(0)));
}

#[test]
fn a_new_target_receives_load_and_moving_ranges_stay() {
    let mut load = KeyLoad::default();
    (0..=u16::MAX).step_by(64).for_each(|key| load.record(key, 1));
    let mut owned = ranges(4);
    let moves = plan_moves(&owned, &candidates(5), &load, 8);
    assert!(moves.is_empty() || moves.iter().all(|one| one.to == instance(4)), "{moves:?}");
    owned.iter_mut().for_each(|range| range.settled = false);
    assert_eq!(plan_moves(&owned, &candidates(5), &load, 8), []);
}

#[test]
fn owners_that_are_picked_one_after_another_share_the_load() {
    let mut load = KeyLoad::default();
    (0..=u16::MAX).step_by(64).for_each(|key| load.record(key, 1));
    let (owned, staying) = (ranges(8), candidates(4));
    let mut picker = OwnerPicker::new(&owned, &staying, &load);
    let mut picked: Vec<_> =
        owned[4..].iter().map(|range| picker.pick(range.first, range.last).unwrap()).collect();
    picked.sort();
    assert_eq!(picked, [instance(0), instance(1), instance(2), instance(3)]);
}

#[test]
fn the_least_loaded_target_has_the_lowest_load_for_its_capacity() {
    let mut load = KeyLoad::default();
    load.record(1, 30);
    load.record(40_000, 30);
    let mut candidates = candidates(2);
    candidates[0].capacity = 4.0;
    let owned = ranges(2);
    let mut picker = OwnerPicker::new(&owned, &candidates, &load);
    assert_eq!(picker.pick(0, 9), Some(instance(0)));
}

/// Guards against planning no moves when every hot key exceeds the headroom of each target.
#[test]
fn hot_keys_heavier_than_a_fair_share_are_spread_one_by_one() {
    let mut load = KeyLoad::default();
    (0..=u16::MAX).step_by(64).for_each(|key| load.record(key, 1));
    (4_827..4_887).for_each(|key| load.record(key, 60));
    let (owned, candidates) = (ranges(100), candidates(100));
    let moves = plan_moves(&owned, &candidates, &load, 14);
    assert_eq!(moves.len(), 14, "{moves:?}");
    let receivers: std::collections::BTreeSet<&TargetInstance> =
        moves.iter().map(|one| &one.to).collect();
    assert_eq!(receivers.len(), 14, "each hot key goes to a target of its own");
    assert!(moves.iter().all(|one| load.between(one.first, one.last) >= 60.0), "{moves:?}");
}

/// Guards against one immovable hot key blocking all other moves.
#[test]
fn a_target_that_cannot_be_relieved_does_not_stop_the_others() {
    let mut load = KeyLoad::default();
    (0..=u16::MAX).step_by(64).for_each(|key| load.record(key, 1));
    load.record(0, 5_000);
    (20_000..20_200).for_each(|key| load.record(key, 5));
    let mut owned = ranges(10);
    // The hot key is the only key of its range and its owner.
    owned[0].last = 0;
    let rest = RangeRecord { first: 1, last: 6_552, owner: Some(instance(1)), ..owned[0].clone() };
    owned.insert(1, rest);
    let moves = plan_moves(&owned, &candidates(10), &load, 4);
    assert!(moves.iter().any(|one| one.first < 20_200 && 20_000 <= one.last), "{moves:?}");
    assert!(moves.iter().all(|one| one.first > 0), "the hot key must stay: {moves:?}");
}

/// Guards against moving a hot key to the least loaded target when that is a slow one.
#[test]
fn a_hot_key_moves_to_the_target_with_the_lowest_load_afterwards() {
    let mut load = KeyLoad::default();
    (0..=u16::MAX).step_by(64).for_each(|key| load.record(key, 1));
    load.record(40, 4_000);
    let mut candidates = candidates(10);
    // Target 4 is slow and has no load; target 9 has three times the usual capacity.
    candidates[4].capacity = 0.5;
    candidates[9].capacity = 3.0;
    let mut owned = ranges(10);
    owned[4].owner = Some(instance(5));
    owned[0].last = 40;
    owned[0].first = 40;
    let moves = plan_moves(&owned, &candidates, &load, 1);
    let wanted = nickellead_range::MoveProposal { first: 40, last: 40, to: instance(9) };
    assert_eq!(moves, [wanted]);
}

/// Guards against moves because of sampling noise.
#[test]
fn sampling_noise_moves_nothing() {
    let mut load = KeyLoad::default();
    // 16 samples for each of 64 targets, and 24 for one of them.
    (0..=u16::MAX).step_by(64).for_each(|key| load.record(key, 1));
    (0..512_u16).step_by(64).for_each(|key| load.record(key + 1, 1));
    assert_eq!(plan_moves(&ranges(64), &candidates(64), &load, 8), []);
}

/// Sampled load of a target after these moves.
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
    let of_target = (0..=u16::MAX).filter(|key| owner(*key) == Some(&instance(target)));
    of_target.map(|key| load.between(key, key)).sum()
}

/// Guards against moving load to owners with a maximum load, or leaving much more than that there.
#[test]
fn owners_with_a_maximum_load_keep_about_that_much_and_receive_no_more() {
    let mut load = KeyLoad::default();
    (0..=u16::MAX).step_by(64).for_each(|key| load.record(key, 1));
    let mut candidates = candidates(8);
    (candidates[0].max_load, candidates[1].max_load) = (Some(30.0), Some(100.0));
    let owned = ranges(8);
    let moves = plan_moves(&owned, &candidates, &load, 16);
    assert!(moves.iter().all(|one| one.to != instance(0) && one.to != instance(1)), "{moves:?}");
    for (target, max_load) in [(0, 30.0), (1, 100.0)] {
        let left = load_after(&owned, &moves, &load, target);
        assert!(
            left <= max_load * 1.35 + 20.0,
            "{left} requests stay at a maximum load of {max_load}"
        );
    }
}

#[test]
fn an_owner_with_a_maximum_load_of_zero_loses_even_rarely_requested_keys() {
    let mut load = KeyLoad::default();
    load.record(1, 3);
    (20_000..=u16::MAX).step_by(64).for_each(|key| load.record(key, 1));
    let mut candidates = candidates(4);
    candidates[0].max_load = Some(0.0);
    let moves = plan_moves(&ranges(4), &candidates, &load, 8);
    assert!(moves.iter().any(|one| one.first <= 1 && 1 <= one.last), "{moves:?}");
    assert!(moves.iter().all(|one| one.to != instance(0)), "{moves:?}");
}

#[test]
fn owners_whose_load_all_exceeds_their_maximum_move_nothing() {
    let mut load = KeyLoad::default();
    (0..=u16::MAX).step_by(64).for_each(|key| load.record(key, 1));
    let mut candidates = candidates(4);
    candidates.iter_mut().for_each(|one| one.max_load = Some(40.0));
    assert_eq!(plan_moves(&ranges(4), &candidates, &load, 8), []);
}
