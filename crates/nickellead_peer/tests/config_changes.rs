//! Changes of declared objects lead to exactly the state that they declare, or fail.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use nickellead_api::{DeclaredConfig, DeclaredService, DeclaredTarget};
use nickellead_core::{Name, Version};
use nickellead_peer::{
    ChangeError, ConfigChange, ConfigHistory, ConfigUpdate, ConfigUpdateError, MAX_CONFIG_CHANGES,
    config_state, decode, encode,
};
use quickcheck::{Arbitrary, Gen, quickcheck};

fn target(number: u32, version: u64) -> DeclaredTarget {
    let spec = r#"{"service": "boards", "zone": "zone-a", "address": "127.0.0.1:1", "slots": 4,
        "connections": 130}"#;
    DeclaredTarget {
        name: Name::new(&format!("board-{number:04}")).unwrap(),
        version: Version(version),
        spec: serde_json::from_str(spec).unwrap(),
    }
}

fn service(number: u32, version: u64) -> DeclaredService {
    let spec = r#"{"zones": ["zone-a"], "key": {"from": "path", "segment": 2}, "operations": []}"#;
    DeclaredService {
        name: Name::new(&format!("boards-{number}")).unwrap(),
        version: Version(version),
        spec: serde_json::from_str(spec).unwrap(),
    }
}

/// Few objects with overlapping names, whose revision the test sets.
#[derive(Clone, Debug)]
struct Declared(DeclaredConfig);

impl Arbitrary for Declared {
    fn arbitrary(random: &mut Gen) -> Self {
        let mut random_versions = |count: u32| -> Vec<(u32, u64)> {
            let numbers = (0..count).filter(|_| bool::arbitrary(random)).collect::<Vec<_>>();
            numbers.into_iter().map(|number| (number, u64::arbitrary(random) % 2)).collect()
        };
        let services =
            random_versions(3).into_iter().map(|(number, version)| service(number, version));
        let services = services.collect();
        let targets =
            random_versions(12).into_iter().map(|(number, version)| target(number, version));
        Self(DeclaredConfig { revision: Version::ZERO, services, targets: targets.collect() })
    }
}

/// The states with ascending revisions, starting with 1.
fn numbered(states: Vec<Declared>) -> Vec<Arc<DeclaredConfig>> {
    let numbered = states.into_iter().zip(1..).map(|(declared, revision)| {
        Arc::new(DeclaredConfig { revision: Version(revision), ..declared.0 })
    });
    numbered.collect()
}

/// Declared objects that outnumber the changes of these tests.
fn many(revision: u64) -> Arc<DeclaredConfig> {
    // Each revision changes one target and keeps the changes of the previous ones.
    let version = |number: u32| if u64::from(number) <= revision { u64::from(number) } else { 0 };
    let targets = (0..200).map(|number| target(number, version(number))).collect();
    Arc::new(DeclaredConfig { revision: Version(revision), services: Vec::new(), targets })
}

/// History of a VM that received all objects of each of these revisions.
fn history(revisions: std::ops::Range<u64>) -> ConfigHistory {
    let mut history = ConfigHistory::default();
    revisions.for_each(|revision| assert!(history.apply_whole(many(revision))));
    history
}

fn changes(history: &ConfigHistory, known: &DeclaredConfig) -> Vec<Arc<ConfigChange>> {
    let update = history.since(Some(config_state(known)));
    let Some(ConfigUpdate::Changes(changes)) = update else {
        unreachable!("no changes: {update:?}")
    };
    changes
}

quickcheck! {
    fn a_change_leads_to_the_state_that_it_declares(old: Declared, new: Declared) -> bool {
        let states = numbered(vec![old, new]);
        let change = ConfigChange::between(&states[0], &states[1]).unwrap();
        let decoded: ConfigChange = decode(&encode(&change).unwrap()).unwrap();
        decoded.apply(&states[0]).unwrap() == *states[1]
    }

    /// Covers followers without any state and followers whose state has no kept changes.
    fn a_follower_reaches_the_newest_state(states: Vec<Declared>) -> bool {
        let states = numbered(states);
        let mut publisher = ConfigHistory::default();
        let mut late_follower = ConfigHistory::default();
        states.iter().all(|content| {
            publisher.apply_whole(Arc::clone(content));
            let mut new_follower = ConfigHistory::default();
            let mut followers = vec![&mut new_follower];
            if content.revision.0.is_multiple_of(3) {
                followers.push(&mut late_follower);
            }
            followers.into_iter().all(|follower| {
                let update = publisher.since(follower.state()).unwrap();
                let update: ConfigUpdate = decode(&encode(&update).unwrap()).unwrap();
                follower.apply_update(update) == Ok(true)
                    && follower.newest() == Some(content)
                    && follower.state() == Some(config_state(content))
                    && publisher.since(follower.state()).is_none()
            })
        })
    }

    /// Changes that a follower received lead its own followers to the same state.
    fn a_follower_passes_changes_on(states: Vec<Declared>) -> bool {
        let states = numbered(states);
        let mut publisher = ConfigHistory::default();
        let mut middle = ConfigHistory::default();
        let mut last = ConfigHistory::default();
        states.iter().all(|content| {
            publisher.apply_whole(Arc::clone(content));
            middle.apply_update(publisher.since(middle.state()).unwrap()).unwrap();
            last.apply_update(middle.since(last.state()).unwrap()) == Ok(true)
                && last.newest() == Some(content)
        })
    }
}

#[test]
fn after_a_wrong_base_or_result_all_objects_are_requested() {
    let publisher = history(1..4);
    let mut follower = history(1..2);
    let right = changes(&publisher, &many(1));
    let mut wrong = ConfigChange::clone(&right[1]);
    wrong.targets.set[0].spec.slots += 1;
    let update = ConfigUpdate::Changes(vec![Arc::clone(&right[0]), Arc::new(wrong)]);
    let refused = follower.apply_update(update);
    assert!(matches!(refused, Err(ConfigUpdateError::Change(ChangeError::WrongResult { .. }))));
    assert_eq!(follower.newest(), Some(&many(1)), "the previous objects stay active");
    assert_eq!(follower.state(), None, "all objects are requested");
    follower.apply_update(publisher.since(follower.state()).unwrap()).unwrap();
    assert_eq!(follower.newest(), Some(&many(3)));
    assert_eq!(follower.state(), Some(config_state(&many(3))));

    let mut other = history(0..1);
    let refused = other.apply_update(ConfigUpdate::Changes(right.clone()));
    assert!(matches!(refused, Err(ConfigUpdateError::Change(ChangeError::WrongBase { .. }))));
    let refused = ConfigHistory::default().apply_update(ConfigUpdate::Changes(right));
    assert_eq!(refused, Err(ConfigUpdateError::NoBase));
}

/// A VM that follows two coordinators may receive changes that it already has.
#[test]
fn known_changes_are_skipped() {
    let publisher = history(1..4);
    let all = changes(&publisher, &many(1));
    for known in [2, 3] {
        let mut follower = history(1..known + 1);
        let newer = follower.apply_update(ConfigUpdate::Changes(all.clone()));
        assert_eq!(newer, Ok(known < 3));
        assert_eq!(follower.newest(), Some(&many(3)));
    }
    let mut follower = history(1..4);
    assert!(!follower.apply_whole(many(2)), "an older revision replaced a newer one");
}

#[test]
fn the_number_of_kept_changes_is_bounded() {
    let last = MAX_CONFIG_CHANGES as u64 + 2;
    let publisher = history(1..last + 1);
    assert!(matches!(publisher.since(Some(config_state(&many(1)))), Some(ConfigUpdate::Whole(_))));
    assert_eq!(changes(&publisher, &many(2)).len(), MAX_CONFIG_CHANGES);
    // Changes with more objects than the state itself are dropped.
    let mut publisher = history(1..2);
    let empty = DeclaredConfig { revision: Version(2), ..DeclaredConfig::default() };
    assert!(publisher.apply_whole(Arc::new(empty)));
    assert!(matches!(publisher.since(Some(config_state(&many(1)))), Some(ConfigUpdate::Whole(_))));
}

#[test]
fn unsorted_objects_are_sent_whole() {
    let mut unsorted = DeclaredConfig::clone(&many(2));
    unsorted.targets.reverse();
    assert_eq!(ConfigChange::between(&many(1), &unsorted), None);
    let mut publisher = history(1..2);
    assert!(publisher.apply_whole(Arc::new(unsorted.clone())));
    let update = publisher.since(Some(config_state(&many(1))));
    assert_eq!(update, Some(ConfigUpdate::Whole(Arc::new(unsorted))));
}
