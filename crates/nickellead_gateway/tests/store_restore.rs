//! VMs recover when the store is restored from a backup and its revisions decrease.
//!
//! Guards against ordering cached state by the store's revision alone: newer lists of targets would
//! be dropped as old, the mandate (leader lease) could not be written, and VMs would read the store
//! in a loop.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::{Duration, Instant};

use common::ownership::ownership_violations;
use common::store::{MemoryStore, StoreBackup};
use common::target::{Behavior, TestTarget};
use common::{TestGateway, declarations, entry, route, wait_until};
use nickellead_gateway::{RepeatClass, SlotCount, TargetEntry, TargetState};
use nickellead_range::RangeMap;

/// Shorter than the TTL of the mandate, so that its holder keeps it.
const SHORT_OUTAGE: Duration = Duration::from_millis(1_000);
/// Longer than the TTL of the mandate.
const LONG_OUTAGE: Duration = Duration::from_millis(2_600);
/// Number of lost changes: enough that the store does not reach the lost revisions again during a
/// test.
const LOST_CHANGES: u64 = 60;
/// Until all VMs have received a change of the store.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_500);
/// Maximum time for which a leaving target may get requests, and replaced declarations may be
/// active.
const MAX_STALENESS: Duration = Duration::from_millis(2_000);
/// Until all VMs have recovered from a restore.
const RESTORE_SETTLE_TIME: Duration = Duration::from_millis(3_000);
/// Delay after a restore until running targets have rewritten their entries.
const REWRITE_DELAY: Duration = Duration::from_millis(1_000);
/// Reads other than the mandate's that a VM may make each second; idle VMs make far fewer.
const MAX_READS_PER_VM_SECOND: u64 = 5;
/// Reads of both VMs together while every watch fails as compacted: one VM watches three objects
/// and retries every half second.
const MAX_READS_PER_SECOND_COMPACTED: u64 = 24;
/// Maximum time until the keys of a lost target have a new owner: its lease and a grace period of
/// the mandate.
const MAX_REASSIGNMENT_TIME: Duration = Duration::from_millis(10_000);

fn draining(entry: TargetEntry) -> TargetEntry {
    TargetEntry { state: TargetState::Draining, ..entry }
}

/// Writes changes that affect no request.
fn write_unrelated_changes(store: &MemoryStore) {
    for change in 0..LOST_CHANGES {
        let mut unrelated = entry("other", "unused", ([127, 0, 0, 1], 9).into());
        unrelated.slots = SlotCount::new(1 + change % 2).unwrap();
        store.list(unrelated);
    }
}

/// Makes the store unavailable for the duration of the outage and then restores the backup.
fn restore_after_outage(store: &MemoryStore, backup: &StoreBackup, outage: Duration) {
    store.set_unavailable(true);
    std::thread::sleep(outage);
    store.restore(backup);
    store.set_unavailable(false);
}

/// Writes changes, loses them by a restore, and rewrites these entries as running targets do.
fn lose_changes(store: &MemoryStore, outage: Duration, entries: &[TargetEntry]) {
    let backup = store.backup();
    write_unrelated_changes(store);
    std::thread::sleep(PROPAGATION_TIME);
    restore_after_outage(store, &backup, outage);
    std::thread::sleep(REWRITE_DELAY);
    entries.iter().for_each(|entry| store.list(entry.clone()));
}

/// Two VMs in front of two targets of one service.
struct TestCluster {
    store: MemoryStore,
    targets: [TestTarget; 2],
    gateways: [TestGateway; 2],
}

impl TestCluster {
    fn start(name: &str, service: &str) -> Self {
        let targets =
            [TestTarget::start("t1", Behavior::Serve), TestTarget::start("t2", Behavior::Serve)];
        let store = MemoryStore::default();
        for target in &targets {
            store.list(entry(&target.id, service, target.address));
        }
        store.declare(declarations(1));
        let first = TestGateway::start(&format!("{name}-1"), &store);
        wait_until("the first VM holds the mandate", || store.mandate_holder().is_some());
        let second = TestGateway::start(&format!("{name}-2"), &store);
        let gateways = [first, second];
        gateways.iter().for_each(TestGateway::wait_ready);
        if service == "keyed" {
            wait_until("all keys are granted", || {
                store.range_map().as_ref().is_some_and(is_settled)
            });
        }
        let cluster = Self { store, targets, gateways };
        let path = if service == "keyed" { "/key/" } else { "/read/" };
        wait_until("both VMs serve", || {
            cluster.gateways.iter().all(|gateway| is_served(gateway, path))
        });
        cluster
    }

    fn entries(&self, service: &str) -> [TargetEntry; 2] {
        [0, 1].map(|index| entry(&self.targets[index].id, service, self.targets[index].address))
    }

    /// Sends requests to both VMs for a while; returns how many reached the second target.
    fn count_second_target_requests(&self, duration: Duration) -> usize {
        self.targets[1].clear_requests();
        let end = Instant::now() + duration;
        while Instant::now() < end {
            for gateway in &self.gateways {
                assert!(is_served(gateway, "/read/"), "the first target does not serve");
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

/// Panics if a key had two owners at a time, or a new owner's fence is not higher than the one
/// before.
fn assert_exclusive_ownership(store: &MemoryStore) {
    let broken = ownership_violations(&store.timed_orders());
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against requests to a target that drains after a restore.
#[test]
fn a_target_that_drains_after_a_restore_gets_no_requests() {
    for outage in [SHORT_OUTAGE, LONG_OUTAGE] {
        let cluster = TestCluster::start("vm-leaves", "plain");
        let entries = cluster.entries("plain");
        lose_changes(&cluster.store, outage, &entries);
        std::thread::sleep(RESTORE_SETTLE_TIME);
        cluster.store.list(draining(entries[1].clone()));
        std::thread::sleep(MAX_STALENESS);
        assert_eq!(
            cluster.count_second_target_requests(PROPAGATION_TIME),
            0,
            "requests to a draining target, outage of {outage:?}"
        );
    }
}

/// Guards against VMs that read the store in a loop after a restore and so receive new declarations
/// late.
#[test]
fn a_restored_store_is_not_read_repeatedly() {
    let cluster = TestCluster::start("vm-again", "plain");
    lose_changes(&cluster.store, LONG_OUTAGE, &cluster.entries("plain"));
    std::thread::sleep(RESTORE_SETTLE_TIME);
    let before = cluster.store.non_mandate_read_count();
    std::thread::sleep(MAX_STALENESS);
    let calls = cluster.store.non_mandate_read_count() - before;
    let max_calls =
        MAX_READS_PER_VM_SECOND * cluster.gateways.len() as u64 * MAX_STALENESS.as_secs();
    assert!(calls <= max_calls, "{calls} reads in {MAX_STALENESS:?}, at most {max_calls} allowed");
    let mut newer = declarations(2);
    newer.routes.push(route("added", "plain", RepeatClass::Safe).into());
    cluster.store.declare(newer);
    std::thread::sleep(MAX_STALENESS);
    assert!(
        cluster.gateways.iter().all(|gateway| gateway.is_version_active(2)),
        "new declarations not active on all VMs after {MAX_STALENESS:?}"
    );
}

/// Guards against reads without a delay while the store keeps compacting its history.
#[test]
fn a_store_without_history_is_read_at_a_bounded_rate() {
    let cluster = TestCluster::start("vm-forgets", "plain");
    cluster.store.set_compacted(true);
    std::thread::sleep(PROPAGATION_TIME);
    let before = cluster.store.non_mandate_read_count();
    std::thread::sleep(RESTORE_SETTLE_TIME);
    let calls = cluster.store.non_mandate_read_count() - before;
    let max_calls = MAX_READS_PER_SECOND_COMPACTED * RESTORE_SETTLE_TIME.as_secs();
    assert!(
        calls <= max_calls,
        "{calls} reads in {RESTORE_SETTLE_TIME:?}, at most {max_calls} allowed"
    );
    cluster.store.list(draining(cluster.entries("plain")[1].clone()));
    std::thread::sleep(MAX_STALENESS);
    assert_eq!(
        cluster.count_second_target_requests(PROPAGATION_TIME),
        0,
        "requests to a draining target"
    );
}

/// Guards against a mandate that no VM can write after a restore, which leaves all keys without an
/// owner.
#[test]
fn keys_move_after_a_restore() {
    for outage in [SHORT_OUTAGE, LONG_OUTAGE] {
        let cluster = TestCluster::start("vm-moves", "keyed");
        lose_changes(&cluster.store, outage, &cluster.entries("keyed"));
        std::thread::sleep(RESTORE_SETTLE_TIME);
        let served = cluster.gateways.iter().all(|gateway| is_served(gateway, "/key/"));
        assert!(served, "keys that did not move are not served, outage of {outage:?}");
        cluster.store.unlist("t2");
        let unlisted_at = Instant::now();
        wait_until("the first target owns every key", || {
            cluster.store.range_map().is_some_and(|map| is_owned_by(&map, "t1"))
        });
        assert!(unlisted_at.elapsed() < MAX_REASSIGNMENT_TIME, "{:?}", unlisted_at.elapsed());
        assert_exclusive_ownership(&cluster.store);
    }
}

/// Guards against using the restored map as the newest one: keys would return to their previous
/// owner under fences that are already in use.
#[test]
fn keys_moved_in_the_lost_changes_stay_with_their_new_owner() {
    for outage in [SHORT_OUTAGE, LONG_OUTAGE] {
        let cluster = TestCluster::start("vm-moved", "keyed");
        let backup = cluster.store.backup();
        cluster.store.unlist("t2");
        wait_until("the first target owns every key", || {
            cluster.store.range_map().is_some_and(|map| is_owned_by(&map, "t1"))
        });
        std::thread::sleep(PROPAGATION_TIME);
        restore_after_outage(&cluster.store, &backup, outage);
        std::thread::sleep(RESTORE_SETTLE_TIME);
        assert_exclusive_ownership(&cluster.store);
        cluster.targets[1].clear_requests();
        let served = cluster.gateways.iter().all(|gateway| is_served(gateway, "/key/"));
        assert!(served, "keys are not served by the new owner, outage of {outage:?}");
        wait_until("the store has the newest map again", || {
            cluster.store.range_map().is_some_and(|map| is_settled(&map) && map.fence > 2)
        });
        assert_exclusive_ownership(&cluster.store);
    }
}

/// Guards against two mandate holders after a restore that names the previous one.
#[test]
fn a_mandate_taken_in_the_lost_changes_stays_effective() {
    let mut cluster = TestCluster::start("vm-taken", "keyed");
    let backup = cluster.store.backup();
    let first = cluster.gateways[0].handle.take().unwrap();
    let stopping = std::thread::spawn(move || first.stop());
    wait_until("the second VM holds the mandate", || {
        cluster.store.mandate_holder().as_deref() == Some("vm-taken-2")
    });
    assert!(stopping.join().unwrap(), "requests did not finish in time");
    std::thread::sleep(PROPAGATION_TIME);
    restore_after_outage(&cluster.store, &backup, LONG_OUTAGE);
    wait_until("the second VM holds the mandate again", || {
        cluster.store.mandate_holder().as_deref() == Some("vm-taken-2")
    });
    std::thread::sleep(RESTORE_SETTLE_TIME);
    assert!(is_served(&cluster.gateways[1], "/key/"), "keys are not served");
    cluster.store.unlist("t2");
    wait_until("the first target owns every key", || {
        cluster.store.range_map().is_some_and(|map| is_owned_by(&map, "t1"))
    });
    assert_exclusive_ownership(&cluster.store);
}

/// Guards against requests to a target whose draining state or removal the restore lost.
#[test]
fn a_target_that_left_in_the_lost_changes_gets_no_requests() {
    for is_unlisted in [false, true] {
        let cluster = TestCluster::start("vm-left", "plain");
        let entries = cluster.entries("plain");
        let backup = cluster.store.backup();
        match is_unlisted {
            false => cluster.store.list(draining(entries[1].clone())),
            true => cluster.store.unlist("t2"),
        }
        std::thread::sleep(MAX_STALENESS);
        assert_eq!(
            cluster.count_second_target_requests(PROPAGATION_TIME),
            0,
            "requests before the restore, unlisted: {is_unlisted}"
        );
        restore_after_outage(&cluster.store, &backup, SHORT_OUTAGE);
        assert_eq!(
            cluster.count_second_target_requests(RESTORE_SETTLE_TIME),
            0,
            "requests after the restore, unlisted: {is_unlisted}"
        );
        // The restored entry expires, because the target no longer renews it.
        cluster.store.unlist("t2");
        assert_eq!(
            cluster.count_second_target_requests(RESTORE_SETTLE_TIME),
            0,
            "requests after its entry expired, unlisted: {is_unlisted}"
        );
    }
}

/// Guards against dropping a target that joined in the lost changes until it is listed again.
#[test]
fn a_target_that_joined_in_the_lost_changes_is_used_without_a_gap() {
    let cluster = TestCluster::start("vm-came", "plain");
    let backup = cluster.store.backup();
    let newcomer = TestTarget::start("t3", Behavior::Serve);
    cluster.store.list(entry("t3", "plain", newcomer.address));
    cluster.store.unlist("t1");
    cluster.store.unlist("t2");
    std::thread::sleep(MAX_STALENESS);
    let relisted = entry("t3", "plain", newcomer.address);
    let served = || cluster.gateways.iter().all(|gateway| is_served(gateway, "/read/"));
    assert!(served(), "the new target does not serve");
    cluster.store.set_unavailable(true);
    std::thread::sleep(SHORT_OUTAGE);
    cluster.store.restore(&backup);
    cluster.store.unlist("t1");
    cluster.store.unlist("t2");
    cluster.store.set_unavailable(false);
    let restored_at = Instant::now();
    while restored_at.elapsed() < REWRITE_DELAY {
        assert!(served(), "not served {:?} after the restore", restored_at.elapsed());
    }
    cluster.store.list(relisted);
    while restored_at.elapsed() < RESTORE_SETTLE_TIME {
        assert!(served(), "not served {:?} after the restore", restored_at.elapsed());
    }
}
