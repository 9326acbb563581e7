//! Pattern: the store is away for a moment and comes back from a copy that is some seconds old.
//!
//! Seen on 11 and 92 VMs: from the return on each list of targets was dropped as older than what was known, so a
//! target that left was asked for longer than it may be; the mandate was written under a revision that no
//! object had, so all keys lost their owners; and up to 21 VMs read all parts anew 100 times a second, until the store's
//! revisions had grown past those that were lost. What each VM knew was ordered by the store's revision alone.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::{Duration, Instant};

use common::ownership::ownership_violations;
use common::store::{MemoryStore, StoreBackup};
use common::target::{Behavior, TestTarget};
use common::{TestGateway, declarations, entry, route, wait_until};
use nickellead_gateway::{RepeatClass, TargetEntry, TargetState};
use nickellead_range::RangeMap;

/// Shorter than the mandate's time: its holder has never lost it.
const AWAY_SHORT: Duration = Duration::from_millis(1_000);
/// As long as in what was seen, and longer than the mandate's time.
const AWAY_LONG: Duration = Duration::from_millis(2_600);
/// Changes that the store loses: the VMs know revisions that it reaches again only long after the tests.
const LOST_CHANGES: u64 = 60;
/// Until all VMs know of what the store was told.
const KNOWN: Duration = Duration::from_millis(1_500);
/// Targets that leave may get requests for this long, and declarations may be served by for this long
/// after they were replaced.
const BOUND: Duration = Duration::from_millis(2_000);
/// The store's return is over for all VMs after this time.
const SETTLED: Duration = Duration::from_millis(3_000);
/// Entries of targets that live are written again within this time.
const WRITTEN_AGAIN: Duration = Duration::from_millis(1_000);
/// Calls of the store for its parts that a VM may make a second, many times what it makes in calm.
const CALLS_A_SECOND: u64 = 5;
/// The same for both VMs, while each watch is to read anew: half a second apart, for three parts of which one VM
/// follows the store.
const CALLS_FORGOTTEN: u64 = 24;
/// A holder's keys are another's after this time at the latest: its hold and a grace of the mandate.
const KEYS_BACK: Duration = Duration::from_millis(10_000);

fn draining(entry: TargetEntry) -> TargetEntry {
    TargetEntry { state: TargetState::Draining, ..entry }
}

/// Changes of the store that concern no request.
fn change_often(store: &MemoryStore) {
    for change in 0..LOST_CHANGES {
        let mut other = entry("other", "unused", ([127, 0, 0, 1], 9).into());
        other.slots = 1 + change as u32 % 2;
        store.list(other);
    }
}

/// Takes the store away and brings it back from the copy.
fn come_back_older(store: &MemoryStore, copy: &StoreBackup, away: Duration) {
    store.set_unavailable(true);
    std::thread::sleep(away);
    store.restore(copy);
    store.set_unavailable(false);
}

/// Loses all that was written since now but these entries, of targets that write them again.
fn lose_changes(store: &MemoryStore, away: Duration, entries: &[TargetEntry]) {
    let copy = store.backup();
    change_often(store);
    std::thread::sleep(KNOWN);
    come_back_older(store, &copy, away);
    std::thread::sleep(WRITTEN_AGAIN);
    entries.iter().for_each(|entry| store.list(entry.clone()));
}

/// Two VMs in front of two targets of one service.
struct OlderStore {
    store: MemoryStore,
    targets: [TestTarget; 2],
    gateways: [TestGateway; 2],
}

impl OlderStore {
    fn start(name: &str, service: &str) -> Self {
        let targets =
            [TestTarget::start("t1", Behavior::Serve), TestTarget::start("t2", Behavior::Serve)];
        let store = MemoryStore::default();
        for target in &targets {
            store.list(entry(&target.id, service, target.address));
        }
        store.declare(declarations(1));
        let first = TestGateway::start(&format!("{name}-1"), &store);
        wait_until("the first VM leads", || store.mandate_holder().is_some());
        let second = TestGateway::start(&format!("{name}-2"), &store);
        let gateways = [first, second];
        gateways.iter().for_each(TestGateway::wait_ready);
        if service == "keyed" {
            wait_until("all keys are granted", || {
                store.range_map().as_ref().is_some_and(is_settled)
            });
        }
        let older = Self { store, targets, gateways };
        let path = if service == "keyed" { "/key/" } else { "/read/" };
        wait_until("both VMs serve", || older.gateways.iter().all(|one| is_served(one, path)));
        older
    }

    fn entries(&self, service: &str) -> [TargetEntry; 2] {
        [0, 1].map(|index| entry(&self.targets[index].id, service, self.targets[index].address))
    }

    /// Asks both VMs for a while; gives how many requests reached the second target.
    fn second_target_gets(&self, length: Duration) -> usize {
        self.targets[1].clear_requests();
        let end = Instant::now() + length;
        while Instant::now() < end {
            for gateway in &self.gateways {
                assert!(is_served(gateway, "/read/"), "the first target serves");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.targets[1].requests().len()
    }
}

fn is_served(gateway: &TestGateway, path: &str) -> bool {
    gateway.send("GET", path, "x-key: 60000\r\n").contains(" 200 ")
}

fn is_settled(map: &RangeMap) -> bool {
    map.services.get("keyed").is_some_and(|ranges| ranges.iter().all(|range| range.settled))
}

fn is_owned_by(map: &RangeMap, id: &str) -> bool {
    let owns = |range: &nickellead_range::RangeRecord| {
        range.settled && range.owner.as_ref().is_some_and(|owner| owner.id == id)
    };
    map.services.get("keyed").is_some_and(|ranges| ranges.iter().all(owns))
}

/// Fails when a key had two owners at a time, or a fence that is not higher than the one before.
fn check_owners(store: &MemoryStore) {
    let broken = ownership_violations(&store.timed_orders());
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against: a target that leaves after the return was asked for longer than it may be.
#[test]
fn a_target_that_leaves_after_the_store_came_back_older_gets_nothing() {
    for away in [AWAY_SHORT, AWAY_LONG] {
        let older = OlderStore::start("vm-leaves", "plain");
        let entries = older.entries("plain");
        lose_changes(&older.store, away, &entries);
        std::thread::sleep(SETTLED);
        older.store.list(draining(entries[1].clone()));
        std::thread::sleep(BOUND);
        assert_eq!(older.second_target_gets(KNOWN), 0, "requests to a target that left, {away:?}");
    }
}

/// Guards against: all VMs read the parts anew without end, and large declarations came late by that.
#[test]
fn a_store_that_came_back_older_is_not_asked_again_and_again() {
    let older = OlderStore::start("vm-again", "plain");
    lose_changes(&older.store, AWAY_LONG, &older.entries("plain"));
    std::thread::sleep(SETTLED);
    let before = older.store.non_mandate_read_count();
    std::thread::sleep(BOUND);
    let calls = older.store.non_mandate_read_count() - before;
    let most = CALLS_A_SECOND * older.gateways.len() as u64 * BOUND.as_secs();
    assert!(calls <= most, "{calls} calls for parts in {BOUND:?}, at most {most}");
    let mut newer = declarations(2);
    newer.routes.push(route("added", "plain", RepeatClass::Safe).into());
    older.store.declare(newer);
    std::thread::sleep(BOUND);
    assert!(
        older.gateways.iter().all(|gateway| gateway.is_version_active(2)),
        "in force after {BOUND:?}"
    );
}

/// Guards against: whatever makes a store forget its history over and over, all VMs ask it without a pause.
#[test]
fn a_store_that_keeps_no_history_is_read_with_pauses() {
    let older = OlderStore::start("vm-forgets", "plain");
    older.store.set_compacted(true);
    std::thread::sleep(KNOWN);
    let before = older.store.non_mandate_read_count();
    std::thread::sleep(SETTLED);
    let calls = older.store.non_mandate_read_count() - before;
    let most = CALLS_FORGOTTEN * SETTLED.as_secs();
    assert!(calls <= most, "{calls} calls for parts in {SETTLED:?}, at most {most}");
    older.store.list(draining(older.entries("plain")[1].clone()));
    std::thread::sleep(BOUND);
    assert_eq!(older.second_target_gets(KNOWN), 0, "requests to a target that left");
}

/// Guards against: nobody could write the mandate any more, and all keys lost their owners.
#[test]
fn keys_move_again_after_the_store_came_back_older() {
    for away in [AWAY_SHORT, AWAY_LONG] {
        let older = OlderStore::start("vm-moves", "keyed");
        lose_changes(&older.store, away, &older.entries("keyed"));
        std::thread::sleep(SETTLED);
        let served = older.gateways.iter().all(|gateway| is_served(gateway, "/key/"));
        assert!(served, "keys that did not move are served on, {away:?}");
        older.store.unlist("t2");
        let left = Instant::now();
        wait_until("the first target owns every key", || {
            older.store.range_map().is_some_and(|map| is_owned_by(&map, "t1"))
        });
        assert!(left.elapsed() < KEYS_BACK, "{:?}", left.elapsed());
        check_owners(&older.store);
    }
}

/// Guards against: the store's old map was taken for the newest one, so keys that had moved in the lost seconds
/// would go back under fences that were given already.
#[test]
fn keys_that_moved_in_the_lost_seconds_stay_where_they_are() {
    for away in [AWAY_SHORT, AWAY_LONG] {
        let older = OlderStore::start("vm-moved", "keyed");
        let copy = older.store.backup();
        older.store.unlist("t2");
        wait_until("the first target owns every key", || {
            older.store.range_map().is_some_and(|map| is_owned_by(&map, "t1"))
        });
        std::thread::sleep(KNOWN);
        come_back_older(&older.store, &copy, away);
        std::thread::sleep(SETTLED);
        check_owners(&older.store);
        older.targets[1].clear_requests();
        let served = older.gateways.iter().all(|gateway| is_served(gateway, "/key/"));
        assert!(served, "by the new owner, {away:?}");
        wait_until("the newest map is in the store again", || {
            older.store.range_map().is_some_and(|map| is_settled(&map) && map.fence > 2)
        });
        check_owners(&older.store);
    }
}

/// Guards against: the mandate's holder before the last one is named again, and the last one goes on.
#[test]
fn a_mandate_taken_in_the_lost_seconds_is_the_one_that_counts() {
    let mut older = OlderStore::start("vm-taken", "keyed");
    let copy = older.store.backup();
    let first = older.gateways[0].handle.take().unwrap();
    let stopping = std::thread::spawn(move || first.stop());
    wait_until("the second VM holds the mandate", || {
        older.store.mandate_holder().as_deref() == Some("vm-taken-2")
    });
    assert!(stopping.join().unwrap(), "requests finish in time");
    std::thread::sleep(KNOWN);
    come_back_older(&older.store, &copy, AWAY_LONG);
    wait_until("the second VM holds it again", || {
        older.store.mandate_holder().as_deref() == Some("vm-taken-2")
    });
    std::thread::sleep(SETTLED);
    assert!(is_served(&older.gateways[1], "/key/"), "keys are served on");
    older.store.unlist("t2");
    wait_until("the first target owns every key", || {
        older.store.range_map().is_some_and(|map| is_owned_by(&map, "t1"))
    });
    check_owners(&older.store);
}

/// Guards against: a target whose word that it leaves was lost with the store is used again.
#[test]
fn a_target_that_left_in_the_lost_seconds_gets_nothing() {
    for is_gone in [false, true] {
        let older = OlderStore::start("vm-left", "plain");
        let entries = older.entries("plain");
        let copy = older.store.backup();
        match is_gone {
            false => older.store.list(draining(entries[1].clone())),
            true => older.store.unlist("t2"),
        }
        std::thread::sleep(BOUND);
        assert_eq!(older.second_target_gets(KNOWN), 0, "it left, gone: {is_gone}");
        come_back_older(&older.store, &copy, AWAY_SHORT);
        assert_eq!(older.second_target_gets(SETTLED), 0, "it has left, gone: {is_gone}");
        // Its entry goes once it has not been written for some heartbeats.
        older.store.unlist("t2");
        assert_eq!(older.second_target_gets(SETTLED), 0, "and so it stays, gone: {is_gone}");
    }
}

/// Guards against: a target that came in the lost seconds is dropped until it is listed again.
#[test]
fn a_target_that_came_in_the_lost_seconds_is_used_without_a_gap() {
    let older = OlderStore::start("vm-came", "plain");
    let copy = older.store.backup();
    let late = TestTarget::start("t3", Behavior::Serve);
    older.store.list(entry("t3", "plain", late.address));
    older.store.unlist("t1");
    older.store.unlist("t2");
    std::thread::sleep(BOUND);
    let again = entry("t3", "plain", late.address);
    let served = || older.gateways.iter().all(|gateway| is_served(gateway, "/read/"));
    assert!(served(), "by the one that came");
    older.store.set_unavailable(true);
    std::thread::sleep(AWAY_SHORT);
    older.store.restore(&copy);
    older.store.unlist("t1");
    older.store.unlist("t2");
    older.store.set_unavailable(false);
    let back = Instant::now();
    while back.elapsed() < WRITTEN_AGAIN {
        assert!(served(), "{:?} after the return", back.elapsed());
    }
    older.store.list(again);
    while back.elapsed() < SETTLED {
        assert!(served(), "{:?} after the return", back.elapsed());
    }
}
