//! A zone whose addresses refuse connections beside one that serves.
#![allow(clippy::unwrap_used)]

mod common;

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use common::store::MemoryStore;
use common::target::{Behavior, TestTarget};
use common::{
    TestGateway, declarations_with_large_responses, entry, exchange, free_address, full_listener,
    wait_until,
};
use nickellead_gateway::TargetEntry;
use nickellead_range::RangeMap;

const LOST_TARGETS: usize = 4;
const REQUESTS: usize = 60;
/// One of the sampled keys; the others follow at this distance.
const KEY_STEP: usize = 499;

/// An address at which nothing listens.
fn refusing_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A target of the lost zone.
fn lost_entry(index: usize, service: &str, address: SocketAddr) -> TargetEntry {
    let id = format!("lost-{service}-{index}");
    TargetEntry { zone: "zone-b".to_owned(), ..entry(&id, service, address) }
}

/// Sampled keys whose owner's name begins with `prefix`; `None` while a key has no settled owner.
fn keys_of(map: &RangeMap, prefix: &str) -> Option<Vec<u16>> {
    let mut keys = Vec::new();
    for key in (0..=u16::MAX).step_by(KEY_STEP) {
        let range = map.find("keyed", key).filter(|range| range.settled)?;
        if range.owner.as_ref()?.id.starts_with(prefix) {
            keys.push(key);
        }
    }
    Some(keys)
}

/// A gateway that counts failures of all kinds, with owners for all keys.
fn start(name: &str, store: &MemoryStore) -> TestGateway {
    let gateway = TestGateway::start_as(name, store, |settings| {
        settings.dispatch_address = Some(free_address());
    });
    gateway.wait_ready();
    let has_owners = |map: RangeMap| keys_of(&map, "").is_some();
    wait_until("all keys have owners", || store.range_map().is_some_and(has_owners));
    gateway
}

/// Sends a request for a key and returns the response.
fn send_key(gateway: SocketAddr, key: u16) -> String {
    exchange(
        gateway,
        &format!(
            "GET /key/a HTTP/1.1\r\nhost: board.example\r\nx-request-id: r1\r\nx-key: {key}\r\n\
             x-deadline-ms: 1000\r\nconnection: close\r\n\r\n"
        ),
    )
}

/// A VM tried each target of a zone that refuses again and again, up to four times a request.
#[test]
fn requests_for_a_lost_zone_are_refused_at_once_and_others_are_served() {
    let (owner, plain) = (
        TestTarget::start("near-owner", Behavior::Serve),
        TestTarget::start("near", Behavior::Serve),
    );
    let store = MemoryStore::default();
    store.list(entry(&owner.id, "keyed", owner.address));
    store.list(entry(&plain.id, "plain", plain.address));
    for index in 0..LOST_TARGETS {
        store.list(lost_entry(index, "keyed", refusing_address()));
        store.list(lost_entry(index, "plain", refusing_address()));
    }
    store.declare(declarations_with_large_responses(1));
    let gateway = start("lost-zone", &store);
    let keys = |prefix| keys_of(&store.range_map().unwrap(), prefix).unwrap();
    let (lost_keys, near_keys) = (keys("lost"), keys("near"));
    let send_key = |key| send_key(gateway.callers, key);
    wait_until("the owners are known", || send_key(near_keys[0]).contains(" 200 "));

    let opened_before = gateway.metric("nickellead_target_connections_opened") as u64;
    for number in 0..REQUESTS {
        let key = lost_keys[number * 7 % lost_keys.len()];
        let started = Instant::now();
        let response = send_key(key);
        let took = started.elapsed();
        assert!(response.contains("target-unreachable"), "request {number}: {response}");
        assert!(response.contains("retry-after"), "request {number}: {response}");
        let is_early = number < LOST_TARGETS * 2;
        assert!(is_early || took < Duration::from_millis(50), "request {number}: {took:?}");
    }
    let opened = gateway.metric("nickellead_target_connections_opened") as u64 - opened_before;
    assert!(opened < REQUESTS as u64 / 2, "{opened} connection attempts for {REQUESTS} requests");
    assert_eq!(gateway.metric("nickellead_zones_out_of_reach"), 1.0);

    for key in near_keys {
        let response = send_key(key);
        assert!(response.contains(" 200 "), "key {key}: {response}");
    }
    for _ in 0..20 {
        let response = gateway.send("GET", "/read/", "");
        assert!(response.contains(" 200 "), "{response}");
    }
}

/// A request tried all targets of a lost zone one after the other.
#[test]
fn requests_whose_only_targets_are_out_of_reach_are_refused_at_once() {
    let store = MemoryStore::default();
    for index in 0..LOST_TARGETS {
        store.list(lost_entry(index, "plain", refusing_address()));
    }
    store.declare(declarations_with_large_responses(1));
    let gateway = TestGateway::start_as("lost-plain", &store, |settings| {
        settings.dispatch_address = Some(free_address());
    });
    gateway.wait_ready();
    for number in 0..REQUESTS {
        let response = gateway.send("GET", "/read/", "");
        assert!(response.contains("target-unreachable"), "request {number}: {response}");
    }
    let opened = gateway.metric("nickellead_target_connections_opened") as u64;
    assert!(opened < REQUESTS as u64 / 2, "{opened} connection attempts for {REQUESTS} requests");
}

/// A request that was connecting when the zone was found lost waited for its own timeout.
#[test]
fn a_request_that_is_connecting_is_refused_when_its_zone_is_lost() {
    let silent: Vec<_> = (0..3).map(|_| full_listener()).collect();
    let store = MemoryStore::default();
    for (index, (_, address, _)) in silent.iter().enumerate() {
        store.list(lost_entry(index, "keyed", *address));
    }
    store.declare(declarations_with_large_responses(1));
    let gateway = start("silent-zone", &store);
    let map = store.range_map().unwrap();
    let key_of = |index: usize| keys_of(&map, &lost_entry(index, "keyed", silent[0].1).id);
    let keys: Vec<u16> = (0..3).map(|index| key_of(index).unwrap()[0]).collect();
    let callers = gateway.callers;
    let (first_key, second_key, third_key) = (keys[0], keys[1], keys[2]);
    wait_until("the first target is silent", || {
        send_key(callers, first_key).contains("target-unreachable")
    });
    let earlier = std::thread::spawn(move || send_key(callers, second_key));
    // The connection attempt of the earlier request ends 400 ms after it began.
    std::thread::sleep(Duration::from_millis(200));
    let started = Instant::now();
    let response = send_key(callers, third_key);
    let took = started.elapsed();
    assert!(response.contains("target-unreachable"), "{response}");
    assert!(took < Duration::from_millis(350), "{took:?}");
    assert!(earlier.join().unwrap().contains("target-unreachable"));
}
