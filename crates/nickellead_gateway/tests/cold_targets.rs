//! Pattern: a target joins cold while many VMs have requests for its service, and falls over for more than
//! it bears. And: a target that has fallen is asked for by all of them.
//!
//! Eight VMs and figures of a service whose cold targets bear six requests a second.
#![allow(clippy::unwrap_used)]

mod common;

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::store::MemoryStore;
use common::target::{Behavior, TestTarget};
use common::{TestGateway, declarations, entry, wait_until};
use nickellead_gateway::{ColdRule, ColdSettings, Declarations, TargetEntry};

const VMS: usize = 8;
const RULE: ColdRule = ColdRule { duration: Duration::from_secs(3), rate: 6.0 };
const SETTINGS: ColdSettings = ColdSettings { overage: 1.5, slack: 8.0 };
/// Most requests that may reach a cold target in one second.
const MOST: usize = 17;
/// Between two requests of one caller; each VM has one caller.
const PAUSE: Duration = Duration::from_millis(10);
/// Until the holder of the mandate has told the VMs of each other.
const FLEET_KNOWN: Duration = Duration::from_millis(2_500);

fn cold_declarations() -> Declarations {
    let mut declared = declarations(1);
    declared.services.values_mut().for_each(|rule| rule.cold = Some(RULE));
    declared
}

fn start_fleet(name: &str, store: &MemoryStore) -> Vec<TestGateway> {
    let start = |number| {
        TestGateway::start_as(&format!("{name}-{number}"), store, |settings| {
            settings.cold = Some(SETTINGS);
            settings.evacuation_s = Some(5.0);
        })
    };
    let gateways: Vec<TestGateway> = (0..VMS).map(start).collect();
    gateways.iter().for_each(TestGateway::wait_ready);
    wait_until("every VM serves", || {
        gateways.iter().all(|one| one.send("GET", "/read/", "").contains(" 200 "))
    });
    std::thread::sleep(FLEET_KNOWN);
    gateways
}

/// Arrivals at a target, sampled, while callers ask every VM.
fn arrivals_while_asked(
    gateways: &[TestGateway],
    target: &TestTarget,
    length: Duration,
) -> Vec<(Instant, usize)> {
    let ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for gateway in gateways {
            let ended = &ended;
            scope.spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    gateway.send("GET", "/read/", "");
                    std::thread::sleep(PAUSE);
                }
            });
        }
        let start = Instant::now();
        let mut seen = Vec::new();
        while start.elapsed() < length {
            seen.push((Instant::now(), target.requests().len()));
            std::thread::sleep(Duration::from_millis(20));
        }
        ended.store(true, Ordering::Relaxed);
        seen
    })
}

/// Most arrivals in any second of the samples.
fn most_in_a_second(seen: &[(Instant, usize)]) -> usize {
    let second = Duration::from_secs(1);
    let from = |first: &(Instant, usize)| {
        let within = seen.iter().filter(|one| one.0 >= first.0 && one.0 - first.0 <= second);
        within.map(|one| one.1 - first.1).max().unwrap_or_default()
    };
    seen.iter().map(from).max().unwrap_or_default()
}

fn cold_entry(target: &TestTarget) -> TargetEntry {
    TargetEntry { cold_left: RULE.duration, ..entry(&target.id, "plain", target.address) }
}

#[test]
fn a_newcomer_is_warmed_by_few_requests_of_all_vms_and_used_at_once() {
    let warm = TestTarget::start("warm", Behavior::Serve);
    let store = MemoryStore::default();
    store.list(entry("warm", "plain", warm.address));
    store.declare(cold_declarations());
    let gateways = start_fleet("vm-cold", &store);
    let newcomer = TestTarget::start("newcomer", Behavior::Serve);
    store.list(cold_entry(&newcomer));
    let seen =
        arrivals_while_asked(&gateways, &newcomer, RULE.duration - Duration::from_millis(300));
    let first = seen.iter().find(|one| one.1 > 0).map(|one| one.0 - seen[0].0);
    assert!(most_in_a_second(&seen) <= MOST, "{} in a second", most_in_a_second(&seen));
    assert!(first.is_some_and(|first| first < Duration::from_secs(1)), "first after {first:?}");
}

#[test]
fn a_cold_target_alone_is_not_sent_more_and_the_rest_is_refused_at_once() {
    let warm = TestTarget::start("warm", Behavior::Serve);
    let store = MemoryStore::default();
    store.list(entry("warm", "plain", warm.address));
    store.declare(cold_declarations());
    let gateways = start_fleet("vm-alone", &store);
    let newcomer = TestTarget::start("newcomer", Behavior::Serve);
    store.list(cold_entry(&newcomer));
    store.unlist("warm");
    std::thread::sleep(Duration::from_millis(600));
    let started = Instant::now();
    let responses: Vec<String> = (0..5).map(|_| gateways[0].send("GET", "/read/", "")).collect();
    assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
    assert!(responses.iter().any(|response| response.contains(" 503 ")), "{responses:?}");
    let seen = arrivals_while_asked(&gateways, &newcomer, Duration::from_millis(1_500));
    assert!(most_in_a_second(&seen) <= MOST, "{} in a second", most_in_a_second(&seen));
}

#[test]
fn news_of_other_targets_do_not_make_a_target_cold_again() {
    let warm = TestTarget::start("warm", Behavior::Serve);
    let store = MemoryStore::default();
    store.list(entry("warm", "plain", warm.address));
    store.declare(cold_declarations());
    let gateways = start_fleet("vm-old", &store);
    let newcomer = TestTarget::start("newcomer", Behavior::Serve);
    store.list(cold_entry(&newcomer));
    // News of another target each second, with an old entry of the newcomer beside it.
    for other in 0..4 {
        std::thread::sleep(Duration::from_secs(1));
        store.list(entry(&format!("other-{other}"), "keyed", warm.address));
    }
    store.unlist("warm");
    std::thread::sleep(Duration::from_millis(600));
    let responses: Vec<String> = (0..20).map(|_| gateways[0].send("GET", "/read/", "")).collect();
    let served = responses.iter().filter(|response| response.contains(" 200 ")).count();
    assert_eq!(served, 20, "it is warm by now: {responses:?}");
}

/// Counts the connections that a target refuses: it takes them and resets them, for a refused one is seen
/// by nobody but the VM.
#[test]
fn a_target_that_refuses_connections_is_left_out_by_each_vm_that_has_met_it() {
    let sound = TestTarget::start("sound", Behavior::Serve);
    let store = MemoryStore::default();
    let fallen = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = fallen.local_addr().unwrap();
    store.list(entry("sound", "plain", sound.address));
    store.list(entry("fallen", "plain", address));
    store.declare(declarations(1));
    let gateway = TestGateway::start("vm-fallen", &store);
    gateway.wait_ready();
    drop(fallen);
    let met = Instant::now();
    for _ in 0..40 {
        let response = gateway.send("GET", "/read/", "");
        assert!(response.contains(" 200 "), "{response}");
    }
    // It is back at the same address, and nothing tells the VM so.
    let back = TcpListener::bind(address).unwrap();
    back.set_nonblocking(true).unwrap();
    while met.elapsed() < Duration::from_millis(1_500) {
        gateway.send("GET", "/read/", "");
        assert!(back.accept().is_err(), "asked again after {:?}", met.elapsed());
    }
}
