//! Evacuation of availability zones.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::{Duration, Instant};

use common::store::MemoryStore;
use common::target::{Behavior, TestTarget};
use common::{TestGateway, declarations, entry, wait_until};
use nickellead_gateway::{ColdRule, ColdSettings, TargetEntry};

/// Until all VMs have received an evacuation.
const PROPAGATION_TIME: Duration = Duration::from_millis(800);
/// No request may reach an evacuated zone after this time.
const EVACUATION_TIME: Duration = Duration::from_millis(5_000);

fn in_zone(target: &TestTarget, service: &str, zone: &str) -> TargetEntry {
    TargetEntry { zone: zone.to_owned(), ..entry(&target.id, service, target.address) }
}

fn start(name: &str, store: &MemoryStore) -> TestGateway {
    let gateway = TestGateway::start_as(name, store, |settings| {
        settings.evacuation_s = Some(5.0);
        settings.cold = Some(ColdSettings { overage: 1.5, slack: 8.0 });
    });
    gateway.wait_ready();
    gateway
}

fn is_served(gateway: &TestGateway) -> bool {
    gateway.send("GET", "/read/", "").contains(" 200 ")
}

#[test]
fn an_evacuated_zone_gets_no_requests_and_the_others_serve() {
    let (near, far) =
        (TestTarget::start("near", Behavior::Serve), TestTarget::start("far", Behavior::Serve));
    let store = MemoryStore::default();
    store.list(in_zone(&near, "plain", "zone-a"));
    store.list(in_zone(&far, "plain", "zone-b"));
    store.declare(declarations(1));
    let gateways = [start("vm-evac-1", &store), start("vm-evac-2", &store)];
    wait_until("both VMs serve", || gateways.iter().all(is_served));
    store.evacuate(&["zone-a", "a-zone-of-nobody"]);
    std::thread::sleep(PROPAGATION_TIME);
    near.clear_requests();
    for _ in 0..30 {
        assert!(gateways.iter().all(is_served));
    }
    assert_eq!(near.requests().len(), 0, "{:?}", near.requests());
    store.evacuate(&[]);
    wait_until("the zone is used again", || {
        gateways.iter().all(is_served) && !near.requests().is_empty()
    });
}

#[test]
fn when_all_zones_are_evacuated_requests_are_refused_at_once() {
    let near = TestTarget::start("near", Behavior::Serve);
    let store = MemoryStore::default();
    store.list(in_zone(&near, "plain", "zone-a"));
    store.declare(declarations(1));
    let gateway = start("vm-evac-all", &store);
    wait_until("the gateway serves", || is_served(&gateway));
    store.evacuate(&["zone-a"]);
    std::thread::sleep(PROPAGATION_TIME);
    near.clear_requests();
    let started = Instant::now();
    let response = gateway.send("GET", "/read/", "");
    assert!(response.contains(" 503 "), "{response}");
    assert!(started.elapsed() < Duration::from_millis(200));
    assert!(near.requests().is_empty());
}

#[test]
fn keys_leave_an_evacuated_zone_by_planned_moves_without_refusals() {
    let (near, far) =
        (TestTarget::start("near", Behavior::Serve), TestTarget::start("far", Behavior::Serve));
    let store = MemoryStore::default();
    store.list(in_zone(&near, "keyed", "zone-a"));
    store.list(in_zone(&far, "keyed", "zone-b"));
    store.declare(declarations(1));
    let gateway = start("vm-evac-keys", &store);
    let send = || gateway.send("GET", "/key/", "x-key: 7\r\n");
    wait_until("the key is served", || send().contains(" 200 "));
    store.evacuate(&["zone-a"]);
    let evacuated_at = Instant::now();
    while evacuated_at.elapsed() < PROPAGATION_TIME {
        let response = send();
        assert!(response.contains(" 200 "), "{response}");
    }
    let released = store
        .orders()
        .iter()
        .any(|order| order.target.id == "near" && order.kind.as_str() == "release");
    assert!(released, "no release order to the previous owner");
    near.clear_requests();
    assert!((0..20).all(|_| send().contains(" 200 ")));
    assert!(near.requests().is_empty(), "{:?}", near.requests());
}

#[test]
fn owners_in_an_evacuated_zone_get_no_requests_after_the_bound_even_if_keys_cannot_move() {
    let near = TestTarget::start("near", Behavior::Serve);
    let store = MemoryStore::default();
    store.list(in_zone(&near, "keyed", "zone-a"));
    store.declare(declarations(1));
    let gateway = start("vm-evac-owner", &store);
    let send = || gateway.send("GET", "/key/", "x-key: 7\r\n");
    wait_until("the key is served", || send().contains(" 200 "));
    store.evacuate(&["zone-a"]);
    std::thread::sleep(EVACUATION_TIME);
    near.clear_requests();
    assert!(send().contains(" 503 "));
    assert!(near.requests().is_empty(), "{:?}", near.requests());
}

#[test]
fn targets_of_a_zone_that_is_no_longer_evacuated_count_as_cold() {
    let (near, far) =
        (TestTarget::start("near", Behavior::Serve), TestTarget::start("far", Behavior::Serve));
    let store = MemoryStore::default();
    store.list(in_zone(&near, "plain", "zone-a"));
    store.list(in_zone(&far, "plain", "zone-b"));
    let mut declared = declarations(1);
    let rule = ColdRule { duration: Duration::from_secs(3), rate: 6.0 };
    declared.services.values_mut().for_each(|service| service.cold = Some(rule));
    store.declare(declared);
    let gateway = start("vm-evac-cold", &store);
    wait_until("the gateway serves", || is_served(&gateway));
    std::thread::sleep(Duration::from_millis(2_500));
    store.evacuate(&["zone-a"]);
    std::thread::sleep(PROPAGATION_TIME);
    store.evacuate(&[]);
    std::thread::sleep(PROPAGATION_TIME);
    near.clear_requests();
    let end = Instant::now() + Duration::from_secs(1);
    while Instant::now() < end {
        assert!(is_served(&gateway));
    }
    assert!(near.requests().len() <= 17, "{} requests in a second", near.requests().len());
    wait_until("the zone gets its full load", || is_served(&gateway) && near.requests().len() > 40);
}
