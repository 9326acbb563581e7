//! Changes of declared objects lead to the very content that they name, or to none.
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

/// Few objects with names in common; without a revision, which the test gives.
#[derive(Clone, Debug)]
struct Declared(DeclaredConfig);

impl Arbitrary for Declared {
    fn arbitrary(random: &mut Gen) -> Self {
        let mut some = |count: u32| -> Vec<(u32, u64)> {
            let numbers = (0..count).filter(|_| bool::arbitrary(random)).collect::<Vec<_>>();
            numbers.into_iter().map(|number| (number, u64::arbitrary(random) % 2)).collect()
        };
        let services = some(3).into_iter().map(|(number, version)| service(number, version));
        let services = services.collect();
        let targets = some(12).into_iter().map(|(number, version)| target(number, version));
        Self(DeclaredConfig { revision: Version::ZERO, services, targets: targets.collect() })
    }
}

/// The contents with revisions from 1 on.
fn numbered(contents: Vec<Declared>) -> Vec<Arc<DeclaredConfig>> {
    let numbered = contents.into_iter().zip(1..).map(|(declared, revision)| {
        Arc::new(DeclaredConfig { revision: Version(revision), ..declared.0 })
    });
    numbered.collect()
}

/// Declared objects that are many beside the changes of these tests.
fn many(revision: u64) -> Arc<DeclaredConfig> {
    // Each revision changes one target; those before it keep what was changed.
    let version = |number: u32| if u64::from(number) <= revision { u64::from(number) } else { 0 };
    let targets = (0..200).map(|number| target(number, version(number))).collect();
    Arc::new(DeclaredConfig { revision: Version(revision), services: Vec::new(), targets })
}

/// A VM that had the contents of these revisions, each whole.
fn history(revisions: std::ops::Range<u64>) -> ConfigHistory {
    let mut history = ConfigHistory::default();
    revisions.for_each(|revision| assert!(history.apply_whole(many(revision))));
    history
}

fn changes(history: &ConfigHistory, known: &DeclaredConfig) -> Vec<Arc<ConfigChange>> {
    let told = history.since(Some(config_state(known)));
    let Some(ConfigUpdate::Changes(changes)) = told else { unreachable!("no changes: {told:?}") };
    changes
}

quickcheck! {
    fn a_change_leads_to_the_content_that_it_names(old: Declared, new: Declared) -> bool {
        let contents = numbered(vec![old, new]);
        let change = ConfigChange::between(&contents[0], &contents[1]).unwrap();
        let told: ConfigChange = decode(&encode(&change).unwrap()).unwrap();
        told.apply(&contents[0]).unwrap() == *contents[1]
    }

    /// Also when a follower answers others, and when it knows nothing or what is not kept.
    fn a_follower_ends_with_the_newest_content(contents: Vec<Declared>) -> bool {
        let contents = numbered(contents);
        let mut teller = ConfigHistory::default();
        let mut behind = ConfigHistory::default();
        contents.iter().all(|content| {
            teller.apply_whole(Arc::clone(content));
            let mut fresh = ConfigHistory::default();
            let mut followers = vec![&mut fresh];
            if content.revision.0.is_multiple_of(3) {
                followers.push(&mut behind);
            }
            followers.into_iter().all(|follower| {
                let news = teller.since(follower.state()).unwrap();
                let news: ConfigUpdate = decode(&encode(&news).unwrap()).unwrap();
                follower.apply_update(news) == Ok(true)
                    && follower.newest() == Some(content)
                    && follower.state() == Some(config_state(content))
                    && teller.since(follower.state()).is_none()
            })
        })
    }

    /// What a follower was told as changes it tells on, to the same content.
    fn changes_are_told_on(contents: Vec<Declared>) -> bool {
        let contents = numbered(contents);
        let mut teller = ConfigHistory::default();
        let mut middle = ConfigHistory::default();
        let mut last = ConfigHistory::default();
        contents.iter().all(|content| {
            teller.apply_whole(Arc::clone(content));
            middle.apply_update(teller.since(middle.state()).unwrap()).unwrap();
            last.apply_update(middle.since(last.state()).unwrap()) == Ok(true)
                && last.newest() == Some(content)
        })
    }
}

#[test]
fn a_wrong_base_or_result_is_refused_and_the_whole_asked_for() {
    let teller = history(1..4);
    let mut follower = history(1..2);
    let right = changes(&teller, &many(1));
    let mut wrong = ConfigChange::clone(&right[1]);
    wrong.targets.set[0].spec.slots += 1;
    let told = ConfigUpdate::Changes(vec![Arc::clone(&right[0]), Arc::new(wrong)]);
    let refused = follower.apply_update(told);
    assert!(matches!(refused, Err(ConfigUpdateError::Change(ChangeError::WrongResult { .. }))));
    assert_eq!(follower.newest(), Some(&many(1)), "what was known stays in force");
    assert_eq!(follower.state(), None, "all objects are asked for");
    follower.apply_update(teller.since(follower.state()).unwrap()).unwrap();
    assert_eq!(follower.newest(), Some(&many(3)));
    assert_eq!(follower.state(), Some(config_state(&many(3))));

    let mut other = history(0..1);
    let refused = other.apply_update(ConfigUpdate::Changes(right.clone()));
    assert!(matches!(refused, Err(ConfigUpdateError::Change(ChangeError::WrongBase { .. }))));
    let refused = ConfigHistory::default().apply_update(ConfigUpdate::Changes(right));
    assert_eq!(refused, Err(ConfigUpdateError::NoBase));
}

/// Two coordinators tell one VM: the later answer holds what it has learned meanwhile.
#[test]
fn changes_that_are_known_already_are_passed_over() {
    let teller = history(1..4);
    let all = changes(&teller, &many(1));
    for known in [2, 3] {
        let mut follower = history(1..known + 1);
        let newer = follower.apply_update(ConfigUpdate::Changes(all.clone()));
        assert_eq!(newer, Ok(known < 3));
        assert_eq!(follower.newest(), Some(&many(3)));
    }
    let mut follower = history(1..4);
    assert!(!follower.apply_whole(many(2)), "an older revision came into force");
}

#[test]
fn only_so_many_changes_are_kept() {
    let last = MAX_CONFIG_CHANGES as u64 + 2;
    let teller = history(1..last + 1);
    assert!(matches!(teller.since(Some(config_state(&many(1)))), Some(ConfigUpdate::Whole(_))));
    assert_eq!(changes(&teller, &many(2)).len(), MAX_CONFIG_CHANGES);
    // Changes that name more objects than there are would save nothing.
    let mut teller = history(1..2);
    let empty = DeclaredConfig { revision: Version(2), ..DeclaredConfig::default() };
    assert!(teller.apply_whole(Arc::new(empty)));
    assert!(matches!(teller.since(Some(config_state(&many(1)))), Some(ConfigUpdate::Whole(_))));
}

#[test]
fn objects_out_of_order_have_no_change_and_are_told_whole() {
    let mut turned = DeclaredConfig::clone(&many(2));
    turned.targets.reverse();
    assert_eq!(ConfigChange::between(&many(1), &turned), None);
    let mut teller = history(1..2);
    assert!(teller.apply_whole(Arc::new(turned.clone())));
    let told = teller.since(Some(config_state(&many(1))));
    assert_eq!(told, Some(ConfigUpdate::Whole(Arc::new(turned))));
}
