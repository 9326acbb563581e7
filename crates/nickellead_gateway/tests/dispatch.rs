//! Dispatch between VMs: few real gateways and targets on loopback sockets.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use common::link::PacedLink;
use common::store::MemoryStore;
use common::target::{Behavior, BoundedWork, TestTarget, header};
use common::{TestGateway, declarations, entry, exchange, free_address, route, wait_until};
use nickellead_gateway::{DispatchScope, RepeatClass, SharedRoute};

const VMS: usize = 3;
/// A target that closes the connections of requests beyond twice its slots.
const WORK: BoundedWork = BoundedWork { slots: 4, queue: 4, duration: Duration::from_millis(50) };
/// A link that does not limit anything.
const FAST_LINK: f64 = 1e9;

/// Gateways that dispatch, each behind a link that can be cut.
struct TestFleet {
    gateways: Vec<TestGateway>,
    links: Vec<PacedLink>,
    path: &'static str,
    /// Counter of the requests that a VM dispatches.
    metric: &'static str,
}

impl TestFleet {
    /// Starts the gateways and waits until they serve `path` through a dispatcher.
    fn start(name: &str, store: &MemoryStore, path: &'static str, metric: &'static str) -> Self {
        let mut links = Vec::new();
        let mut start = |number: usize| {
            TestGateway::start_as(&format!("{name}-{number}"), store, |settings| {
                let address = free_address();
                let link = PacedLink::open(address, FAST_LINK);
                settings.dispatch_address = Some(address);
                settings.dispatch_announced = Some(link.address);
                settings.dispatch_scope = DispatchScope::Always;
                links.push(link);
            })
        };
        let gateways: Vec<TestGateway> = (0..VMS).map(&mut start).collect();
        gateways.iter().for_each(TestGateway::wait_ready);
        let fleet = Self { gateways, links, path, metric };
        for gateway in &fleet.gateways {
            wait_until("the VM uses the dispatcher", || {
                let before = fleet.count(metric);
                let response = gateway.send("GET", path, "x-key: 7\r\n");
                response.contains(" 200 ") && fleet.count(metric) > before
            });
        }
        fleet
    }

    /// Sum of a counter over all VMs.
    fn count(&self, metric: &str) -> u64 {
        self.gateways.iter().map(|gateway| read_metric(gateway.metrics, metric)).sum()
    }

    /// Index of the VM that dispatches the only group.
    fn dispatcher(&self) -> usize {
        let counts = || -> Vec<u64> {
            let counts = self.gateways.iter();
            counts.map(|gateway| read_metric(gateway.metrics, self.metric)).collect()
        };
        let before = counts();
        self.gateways[0].send("GET", self.path, "x-key: 7\r\n");
        let after = counts();
        (0..VMS).find(|index| after[*index] > before[*index]).unwrap()
    }

    /// Runs `callers` concurrent callers, one after the other at each VM; returns the number of
    /// responses by status.
    fn send_all(&self, callers: usize, path: &str, requests: usize) -> BTreeMap<String, usize> {
        let next_id = AtomicUsize::new(0);
        std::thread::scope(|scope| {
            let call = |caller: usize| {
                let gateway = &self.gateways[caller % self.gateways.len()];
                let next_id = &next_id;
                scope.spawn(move || {
                    let send = |_| {
                        let id = next_id.fetch_add(1, Ordering::Relaxed);
                        send_as(gateway.callers, path, &format!("all-{id}"))
                    };
                    (0..requests).map(send).collect::<Vec<_>>()
                })
            };
            let callers: Vec<_> = (0..callers).map(call).collect();
            let mut counts = BTreeMap::new();
            for status in callers.into_iter().flat_map(|caller| caller.join().unwrap()) {
                *counts.entry(status).or_default() += 1;
            }
            counts
        })
    }
}

/// Sends a request with this id for key 7; returns the status.
fn send_as(callers: SocketAddr, path: &str, id: &str) -> String {
    let response = exchange(
        callers,
        &format!(
            "GET {path} HTTP/1.1\r\nhost: board.example\r\nx-request-id: {id}\r\nx-key: 7\r\n\
             x-deadline-ms: 1000\r\nconnection: close\r\n\r\n"
        ),
    );
    response.split(' ').nth(1).unwrap_or("none").to_owned()
}

fn read_metric(metrics: SocketAddr, name: &str) -> u64 {
    let text = exchange(metrics, "GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n");
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.map_or(0, |value| value.parse().unwrap())
}

/// Most requests that were at a bounded target at the same time.
fn most_present(target: &TestTarget) -> usize {
    let mut slots = [None; WORK.slots];
    let mut ends: Vec<Instant> = Vec::new();
    let mut most = 0;
    for arrival in target.arrivals() {
        let slot = slots.iter_mut().min().unwrap();
        let end = slot.unwrap_or(arrival.at).max(arrival.at) + WORK.duration;
        *slot = Some(end);
        ends.push(end);
        most = most.max(ends.iter().filter(|end| **end > arrival.at).count());
    }
    most
}

fn store_with(service: &str, target: &TestTarget) -> MemoryStore {
    let store = MemoryStore::default();
    store.list(entry(&target.id, service, target.address));
    let mut declarations = declarations(1);
    declarations.routes.push(SharedRoute::from(route("seat", "keyed", RepeatClass::Unsafe)));
    store.declare(declarations);
    store
}

const GRANTED: &str = "nickellead_dispatch_granted_total";
const FORWARDED: &str = "nickellead_dispatch_forwarded_total";

/// More VMs than slots: without a dispatcher, each VM may send what another one sends as well.
#[test]
fn forty_callers_of_three_vms_never_exceed_the_slots_of_a_target_by_more_than_one() {
    let target = TestTarget::start("t1", Behavior::Bounded(WORK));
    let fleet = TestFleet::start("slots", &store_with("plain", &target), "/read/", GRANTED);
    let counts = fleet.send_all(40, "/read/", 3);
    assert_eq!(target.broken_connections(), 0, "{counts:?}");
    assert!(most_present(&target) <= WORK.slots + 1, "{} at once", most_present(&target));
    let (served, refused) = (counts.get("200").copied(), counts.get("503").copied());
    assert_eq!(served.unwrap_or(0) + refused.unwrap_or(0), 120, "{counts:?}");
    // The target runs 40 requests within the latency target.
    assert!(served.unwrap_or(0) >= 30, "{counts:?}");
}

/// An owner that every VM sends to now and then gets warm connections of one VM.
#[test]
fn safe_requests_of_all_vms_reach_an_owner_over_the_connections_of_its_dispatcher() {
    let owner = TestTarget::start("o1", Behavior::Serve);
    let fleet = TestFleet::start("warm", &store_with("keyed", &owner), "/key/", FORWARDED);
    let dispatcher = fleet.dispatcher();
    let opened_by_others = || -> u64 {
        let others = fleet.gateways.iter().enumerate().filter(|(index, _)| *index != dispatcher);
        others
            .map(|(_, gateway)| {
                read_metric(gateway.metrics, "nickellead_target_connections_opened")
            })
            .sum()
    };
    let (opened, forwarded) = (opened_by_others(), fleet.count(FORWARDED));
    let counts = fleet.send_all(9, "/key/", 10);
    assert_eq!(counts.get("200"), Some(&90), "{counts:?}");
    assert_eq!(opened_by_others(), opened, "connections of other VMs");
    assert_eq!(fleet.count(FORWARDED) - forwarded, 90);
}

/// A refused caller comes back at the time that it was told, so it must be told one.
#[test]
fn refused_callers_are_told_when_there_is_room() {
    let work = BoundedWork { duration: Duration::from_millis(300), ..WORK };
    let target = TestTarget::start("t2", Behavior::Bounded(work));
    let fleet = TestFleet::start("room", &store_with("plain", &target), "/read/", GRANTED);
    std::thread::scope(|scope| {
        let send = |_| scope.spawn(|| fleet.gateways[0].send("GET", "/read/", ""));
        let callers: Vec<_> = (0..20).map(send).collect();
        let refused: Vec<String> = callers
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .filter(|response| response.contains(" 503 "))
            .collect();
        assert!(!refused.is_empty());
        assert!(refused.iter().all(|response| header(response, "retry-after").is_some()));
    });
}

/// A rolling restart: requests must not notice that their dispatcher stops.
#[test]
fn requests_are_served_while_and_after_their_dispatcher_stops() {
    let target = TestTarget::start("t3", Behavior::Serve);
    let mut fleet = TestFleet::start("stop", &store_with("plain", &target), "/read/", GRANTED);
    let dispatcher = fleet.dispatcher();
    let mut stopping = fleet.gateways.remove(dispatcher);
    let handle = stopping.handle.take().unwrap();
    std::thread::scope(|scope| {
        let stopped = scope.spawn(|| handle.stop());
        while !stopped.is_finished() {
            let counts = fleet.send_all(4, "/read/", 5);
            assert_eq!(counts.get("200"), Some(&20), "{counts:?}");
        }
        assert!(stopped.join().unwrap());
    });
    let counts = fleet.send_all(4, "/read/", 5);
    assert_eq!(counts.get("200"), Some(&20), "{counts:?}");
}

/// A dispatcher is cut off while it forwards: what may run again is sent again.
#[test]
fn safe_requests_are_served_when_their_dispatcher_is_cut_off() {
    let owner = TestTarget::start("o2", Behavior::Serve);
    let fleet = TestFleet::start("cut", &store_with("keyed", &owner), "/key/", FORWARDED);
    let dispatcher = fleet.dispatcher();
    std::thread::scope(|scope| {
        let sending = scope.spawn(|| fleet.send_all(6, "/key/", 40));
        fleet.links[dispatcher].set_cut(true);
        let counts = sending.join().unwrap();
        assert_eq!(counts.get("200"), Some(&240), "{counts:?}");
    });
}

/// What may run once is never run twice, whatever happens to its dispatcher.
#[test]
fn unsafe_requests_run_at_most_once_when_their_dispatcher_is_cut_off() {
    let owner = TestTarget::start("o3", Behavior::Serve);
    let fleet = TestFleet::start("once", &store_with("keyed", &owner), "/seat/", GRANTED);
    let dispatcher = fleet.dispatcher();
    let before = owner.arrivals().len();
    std::thread::scope(|scope| {
        let sending = scope.spawn(|| fleet.send_all(6, "/seat/", 40));
        fleet.links[dispatcher].set_cut(true);
        sending.join().unwrap();
    });
    let mut ids: Vec<String> =
        owner.arrivals().split_off(before).into_iter().map(|one| one.request_id).collect();
    let received = ids.len();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), received, "a request was run twice");
    assert!(received > 100, "only {received} requests arrived");
}

/// A bound on what all VMs send to a target is kept by each VM: no dispatcher may loosen it, and the
/// target still serves what finds no room elsewhere.
#[test]
fn targets_with_a_limit_are_used_without_a_dispatcher() {
    let work = BoundedWork { duration: Duration::from_millis(300), ..WORK };
    let (full, limited) = (
        TestTarget::start("t5", Behavior::Bounded(work)),
        TestTarget::start("t6", Behavior::Serve),
    );
    let store = store_with("plain", &full);
    store.list(entry("t6", "plain", limited.address));
    limited.set_signals("x-limit: 1000\r\n");
    let fleet = TestFleet::start("limit", &store, "/read/", GRANTED);
    let is_limited_used = |callers| {
        limited.clear_requests();
        fleet.send_all(callers, "/read/", 3);
        !limited.requests().is_empty()
    };
    wait_until("the dispatcher knows the limit", || !is_limited_used(3));
    let granted = fleet.count(GRANTED);
    assert!(!is_limited_used(3), "the other target has room");
    assert_eq!(fleet.count(GRANTED) - granted, 9);
    wait_until("the target with a limit serves what finds no room", || is_limited_used(18));
}

/// Without an address, nothing is dispatched.
#[test]
fn a_vm_without_a_dispatch_address_sends_by_its_own_limits() {
    let target = TestTarget::start("t4", Behavior::Serve);
    let gateway = TestGateway::start("alone", &store_with("plain", &target));
    gateway.wait_ready();
    wait_until("the gateway serves", || gateway.send("GET", "/read/", "").contains(" 200 "));
    for metric in [GRANTED, FORWARDED, "nickellead_dispatch_unavailable_total"] {
        assert_eq!(read_metric(gateway.metrics, metric), 0, "{metric}");
    }
}
