//! The control loop: ownership of keys, the mandate (leader lease), and calls of the store.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::store::MemoryStore;
use common::target::{Behavior, TestTarget};
use common::{TestGateway, declarations, entry, gateway_with_targets, route, wait_until};
use nickellead_gateway::RepeatClass;
use nickellead_range::{OrderKind, OrderOutcome, RangeMap, RangeRecord};

fn is_settled(map: &RangeMap) -> bool {
    map.services.get("keyed").is_some_and(|ranges| ranges.iter().all(|range| range.settled))
}

fn owners(map: &RangeMap) -> Vec<String> {
    let ranges = map.services["keyed"].iter();
    ranges.map(|range| range.owner.as_ref().unwrap().id.clone()).collect()
}

/// A gateway that has granted all keys to two targets.
fn start_keyed(name: &str) -> (TestGateway, MemoryStore, [TestTarget; 2]) {
    let targets =
        [TestTarget::start("k1", Behavior::Serve), TestTarget::start("k2", Behavior::Serve)];
    let store = MemoryStore::default();
    for target in &targets {
        store.list(entry(&target.id, "keyed", target.address));
    }
    store.declare(declarations(1));
    let gateway = TestGateway::start(name, &store);
    gateway.wait_ready();
    wait_until("all keys are granted", || store.range_map().as_ref().is_some_and(is_settled));
    (gateway, store, targets)
}

#[test]
fn keys_are_partitioned_and_requests_reach_their_owner() {
    let (gateway, store, targets) = start_keyed("vm-keyed");
    let map = store.range_map().unwrap();
    assert_eq!(owners(&map), ["k1", "k2"]);
    for (key, owner) in [(0, 0), (32_767, 0), (32_768, 1), (65_535, 1)] {
        let response = gateway.send("GET", "/key/", &format!("x-key: {key}\r\n"));
        assert!(response.ends_with(&targets[owner].id), "key {key}: {response}");
    }
    let response = gateway.send("GET", "/key/", "x-key: 65536\r\n");
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
}

#[test]
fn keys_of_a_leaving_target_move_with_its_token_and_a_higher_fence() {
    let (gateway, store, targets) = start_keyed("vm-leaving");
    let before = store.range_map().unwrap().services["keyed"][1].fence;
    store.unlist("k2");
    wait_until("k1 owns every key", || {
        store
            .range_map()
            .is_some_and(|map| is_settled(&map) && owners(&map).iter().all(|id| id == "k1"))
    });
    let orders = store.orders();
    let release = orders.iter().position(|order| order.kind == OrderKind::Release).unwrap();
    assert_eq!((orders[release].target.id.as_str(), orders[release].first), ("k2", 32_768));
    assert!(orders[release].fence > before);
    let token = OrderKind::Grant(Some("token-32768".to_owned()));
    let grant = orders.iter().position(|order| order.kind == token).unwrap();
    assert!(grant > release && orders[grant].fence == orders[release].fence);
    let response = gateway.send("GET", "/key/", "x-key: 40000\r\n");
    assert!(response.ends_with(&targets[0].id), "{response}");
}

/// Guards against reporting a misdirected request as shed by a full target.
#[test]
fn a_misdirected_request_is_refused_as_target_refused() {
    let target = TestTarget::start("k1", Behavior::Respond("421 Misdirected Request"));
    let store = MemoryStore::default();
    store.list(entry(&target.id, "keyed", target.address));
    let mut once = declarations(1);
    once.routes.iter_mut().for_each(|route| route.attempts = 1);
    store.declare(once);
    let gateway = TestGateway::start("vm-not-mine", &store);
    gateway.wait_ready();
    wait_until("all keys are granted", || store.range_map().as_ref().is_some_and(is_settled));
    wait_until("the request is refused as misdirected", || {
        gateway.send("GET", "/key/", "x-key: 1\r\n").contains("target-refused")
    });
}

/// Nothing proves that the lost target has stopped, so its lease must expire first.
#[test]
fn keys_of_a_lost_target_wait_for_its_lease() {
    let (_gateway, store, _targets) = start_keyed("vm-lost");
    store.set_outcome("k2", OrderOutcome::NotSent);
    let lost_at = std::time::Instant::now();
    store.unlist("k2");
    wait_until("k1 owns every key", || {
        store
            .range_map()
            .is_some_and(|map| is_settled(&map) && owners(&map).iter().all(|id| id == "k1"))
    });
    // The last renewal was sent at most one renewal interval earlier.
    assert!(lost_at.elapsed() > Duration::from_millis(3_600), "{:?}", lost_at.elapsed());
}

#[test]
fn another_vm_subscribes_to_the_mandate_holder_and_succeeds_it() {
    let (mut first, store, _targets) = start_keyed("vm-first");
    let second = TestGateway::start("vm-second", &store);
    second.wait_ready();
    assert!(second.send("GET", "/key/", "x-key: 1\r\n").ends_with("k1"));
    let mut newer = declarations(2);
    newer.routes.push(route("added", "keyed", RepeatClass::Safe).into());
    store.declare(newer);
    wait_until("the second VM serves the new route", || {
        second.send("GET", "/added/", "x-key: 1\r\n").contains(" 200 ")
    });
    assert!(first.handle.take().unwrap().stop(), "requests did not finish in time");
    let fence_before = store.range_map().unwrap().fence;
    store.unlist("k2");
    wait_until("the second VM moves the keys", || store.range_map().unwrap().fence > fence_before);
}

/// Whether a gateway routes a sample of keys to the owners in the store's map.
fn routes_by_map(gateway: &TestGateway, store: &MemoryStore) -> bool {
    let map = store.range_map().unwrap();
    [0, 9_000, 22_000, 33_000, 44_000, 55_000, 65_535].into_iter().all(|key| {
        let owner = map.find("keyed", key).and_then(|range| range.owner.clone()).unwrap();
        gateway.send("GET", "/key/", &format!("x-key: {key}\r\n")).ends_with(&owner.id)
    })
}

/// Unlists a target and waits until other targets own its keys.
fn unlist_and_wait(store: &MemoryStore, id: &str) {
    store.unlist(id);
    wait_until("other targets own its keys", || {
        let map = store.range_map().unwrap();
        is_settled(&map) && !owners(&map).iter().any(|owner| owner == id)
    });
}

/// Guards against owners that differ between VMs which receive the map as steps.
#[test]
fn all_vms_apply_moves_also_after_their_upstream_changes() {
    let (mut first, store, _targets) = start_keyed("vm-steps-1");
    let new_targets =
        [TestTarget::start("k3", Behavior::Serve), TestTarget::start("k4", Behavior::Serve)];
    let others = ["vm-steps-2", "vm-steps-3"].map(|name| TestGateway::start(name, &store));
    others.iter().for_each(TestGateway::wait_ready);
    let all_route_by_map = || others.iter().all(|gateway| routes_by_map(gateway, &store));
    wait_until("both VMs know the owners", all_route_by_map);
    store.list(entry(&new_targets[0].id, "keyed", new_targets[0].address));
    store.list(entry(&new_targets[1].id, "keyed", new_targets[1].address));
    wait_until("both VMs still know the owners", all_route_by_map);
    unlist_and_wait(&store, "k2");
    wait_until("both VMs know the move", all_route_by_map);
    assert!(first.handle.take().unwrap().stop(), "requests did not finish in time");
    unlist_and_wait(&store, "k1");
    wait_until("both VMs know the move by the next mandate holder", all_route_by_map);
    unlist_and_wait(&store, "k3");
    wait_until("both VMs know the last move", all_route_by_map);
}

/// Guards against a mandate that is not released: the successor would not know about late orders,
/// and keys of lost targets would wait longer.
#[test]
fn a_vm_that_stops_during_a_store_outage_releases_the_mandate_afterwards() {
    let (mut gateway, store, _targets) = start_keyed("vm-stops-away");
    store.set_unavailable(true);
    // Until the VM has detected the outage.
    std::thread::sleep(Duration::from_millis(900));
    let handle = gateway.handle.take().unwrap();
    let stopping = std::thread::spawn(move || handle.stop());
    std::thread::sleep(Duration::from_millis(300));
    store.set_unavailable(false);
    wait_until("the mandate is released", || store.mandate_is_vacant());
    stopping.join().unwrap();
    let orders = store.orders().len();
    std::thread::sleep(Duration::from_millis(1_200));
    assert_eq!(store.orders().len(), orders, "orders after the mandate was released");
}

#[test]
fn a_store_outage_interrupts_no_key_and_no_target_with_an_expired_entry() {
    let (gateway, store, _targets) = start_keyed("vm-outage");
    store.set_unavailable(true);
    store.unlist("k2");
    for _ in 0..30 {
        // Equal load on both targets, so that no key moves.
        assert!(gateway.send("GET", "/key/", "x-key: 5000\r\n").ends_with("k1"));
        assert!(gateway.send("GET", "/key/", "x-key: 50000\r\n").ends_with("k2"));
        std::thread::sleep(Duration::from_millis(100));
    }
    let renewals = |id: &str| store.orders().iter().filter(|order| order.target.id == id).count();
    let before = renewals("k2");
    wait_until("grants are renewed without the store", || renewals("k2") > before);
    store.set_unavailable(false);
    let address = _targets[1].address;
    std::thread::sleep(Duration::from_millis(500));
    store.list(entry("k2", "keyed", address));
    std::thread::sleep(Duration::from_millis(2_500));
    assert_eq!(
        owners(&store.range_map().unwrap()),
        ["k1", "k2"],
        "keys moved although the entry was rewritten in time"
    );
}

/// Guards against a mandate holder that watches its own map writes or restarts each watch with each
/// check.
#[test]
fn the_mandate_holder_makes_few_store_calls_while_idle() {
    let (_gateway, store, _targets) = start_keyed("vm-thrifty");
    std::thread::sleep(Duration::from_millis(500));
    let before = store.call_count();
    std::thread::sleep(Duration::from_secs(5));
    let calls = store.call_count() - before;
    // Each second 1.4 renewals of the mandate, 2.9 probes, one check of the declarations, and every
    // other second one check of the targets, which restarts their watch.
    assert!(calls <= 33, "{calls} calls in five seconds");
}

/// Guards against relying on watches, which report nothing while the store compacts its history.
#[test]
fn new_declarations_become_active_while_watches_are_stalled() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (gateway, store) = gateway_with_targets("vm-deaf", &[&target]);
    store.set_stalled_watches(true);
    let mut newer = declarations(2);
    newer.routes.push(route("added", "plain", RepeatClass::Safe).into());
    store.declare(newer);
    let declared_at = std::time::Instant::now();
    wait_until("the new route is served", || gateway.send("GET", "/added/", "").contains(" 200 "));
    assert!(declared_at.elapsed() < Duration::from_secs(2), "{:?}", declared_at.elapsed());
}

#[test]
fn a_vm_without_declarations_is_not_ready_and_refuses_requests() {
    let store = MemoryStore::default();
    let gateway = TestGateway::start("vm-empty", &store);
    let ready = common::exchange(gateway.readiness, "GET /ready HTTP/1.1\r\nhost: a\r\n\r\n");
    assert!(ready.starts_with("HTTP/1.1 503"), "{ready}");
    let response = gateway.send("GET", "/read/", "");
    assert!(response.starts_with("HTTP/1.1 503") && response.contains("retry-after"), "{response}");
}

/// Guards against holding each request for keys of a lost target while its lease runs.
#[test]
fn requests_for_unowned_keys_are_refused_at_once_after_a_planned_move_would_end() {
    let (gateway, store, _targets) = start_keyed("vm-ownerless");
    store.set_outcome("k2", OrderOutcome::NotSent);
    store.unlist("k2");
    let first_unowned_key = |map: RangeMap| {
        let unsettled = |range: &&RangeRecord| !range.settled;
        map.services["keyed"].iter().find(unsettled).map(|range| range.first)
    };
    wait_until("keys wait for a lease to expire", || {
        store.range_map().and_then(first_unowned_key).is_some()
    });
    let key = store.range_map().and_then(first_unowned_key).unwrap();
    let send = || {
        let started = std::time::Instant::now();
        let response = gateway.send("GET", "/key/a", &format!("x-key: {key}\r\n"));
        (response, started.elapsed())
    };
    let (response, elapsed) = send();
    assert!(response.contains("move-too-long"), "{response}");
    assert!(
        elapsed >= Duration::from_millis(300),
        "refused before a planned move could end: {elapsed:?}"
    );
    std::thread::sleep(Duration::from_millis(800));
    let (response, elapsed) = send();
    assert!(response.contains("move-too-long") && response.contains("retry-after"), "{response}");
    assert!(elapsed < Duration::from_millis(150), "{elapsed:?}");
}

/// Guards against a first mandate holder that publishes all declarations over a slow link.
#[test]
fn a_vm_with_a_fast_link_takes_the_mandate_at_fleet_start() {
    let store = MemoryStore::default();
    store.declare(declarations(1));
    let slow = TestGateway::start_as("vm-slow", &store, |settings| settings.link_mbps = Some(10.0));
    std::thread::sleep(Duration::from_millis(300));
    let fast =
        TestGateway::start_as("vm-fast", &store, |settings| settings.link_mbps = Some(200.0));
    wait_until("a VM holds the mandate", || store.mandate_holder().is_some());
    assert_eq!(store.mandate_holder().unwrap(), "vm-fast");
    drop((slow, fast));
}

/// Guards against a new mandate holder that waits for a watch opened during an outage, and so
/// serves and publishes old declarations.
#[test]
fn a_new_mandate_holder_reads_declarations_at_once() {
    /// Shorter than the check interval of a VM without subscribers.
    const MAX_DELAY: Duration = Duration::from_millis(1_000);
    let target = TestTarget::start("t1", Behavior::Serve);
    let (mut first, store) = gateway_with_targets("vm-first", &[&target]);
    let next = TestGateway::start_as("vm-next", &store, |settings| settings.link_mbps = Some(10.0));
    next.wait_ready();
    wait_until("the second VM subscribes to the first", || store.watching_vms() == 1);
    store.set_stalled_watches(true);
    let handle = first.handle.take().unwrap();
    let stopping = std::thread::spawn(move || handle.stop());
    wait_until("the second VM watches the store", || {
        store.mandate_is_vacant() && store.watching_vms() == 2
    });
    let mut newer = declarations(2);
    newer.routes.push(route("added", "plain", RepeatClass::Safe).into());
    store.declare(newer);
    wait_until("the second VM holds the mandate", || {
        store.mandate_holder().as_deref() == Some("vm-next")
    });
    let held_at = std::time::Instant::now();
    wait_until("the new route is served", || next.send("GET", "/added/", "").contains(" 200 "));
    assert!(
        held_at.elapsed() < MAX_DELAY,
        "active {:?} after it took the mandate",
        held_at.elapsed()
    );
    assert!(stopping.join().unwrap());
}
