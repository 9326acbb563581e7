//! Load of cold targets, and avoidance of targets that refuse connections.
//!
//! Guards against many VMs that together overload a cold target, and against repeated requests to a
//! crashed target.
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
const COLD_RULE: ColdRule = ColdRule { duration: Duration::from_secs(3), rate: 6.0 };
const COLD_SETTINGS: ColdSettings = ColdSettings { overage: 1.5, slack: 8.0 };
const MAX_COLD_REQUESTS_PER_SECOND: usize = 17;
/// Delay between two requests of a caller; each VM has one caller.
const CALLER_DELAY: Duration = Duration::from_millis(10);
/// Until the mandate holder has sent the list of VMs to all VMs.
const FLEET_DISCOVERY_TIME: Duration = Duration::from_millis(2_500);

fn cold_declarations() -> Declarations {
    let mut declared = declarations(1);
    declared.services.values_mut().for_each(|rule| rule.cold = Some(COLD_RULE));
    declared
}

fn start_fleet(name: &str, store: &MemoryStore) -> Vec<TestGateway> {
    let start = |number| {
        TestGateway::start_as(&format!("{name}-{number}"), store, |settings| {
            settings.cold = Some(COLD_SETTINGS);
            settings.evacuation_s = Some(5.0);
        })
    };
    let gateways: Vec<TestGateway> = (0..VMS).map(start).collect();
    gateways.iter().for_each(TestGateway::wait_ready);
    wait_until("every VM serves", || {
        gateways.iter().all(|one| one.send("GET", "/read/", "").contains(" 200 "))
    });
    std::thread::sleep(FLEET_DISCOVERY_TIME);
    gateways
}

/// Samples of the number of requests at a target while callers send requests to every VM.
fn sample_arrivals_under_load(
    gateways: &[TestGateway],
    target: &TestTarget,
    duration: Duration,
) -> Vec<(Instant, usize)> {
    let ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for gateway in gateways {
            let ended = &ended;
            scope.spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    gateway.send("GET", "/read/", "");
                    std::thread::sleep(CALLER_DELAY);
                }
            });
        }
        let start = Instant::now();
        let mut samples = Vec::new();
        while start.elapsed() < duration {
            samples.push((Instant::now(), target.requests().len()));
            std::thread::sleep(Duration::from_millis(20));
        }
        ended.store(true, Ordering::Relaxed);
        samples
    })
}

/// Maximum number of arrivals in one second.
fn max_in_a_second(samples: &[(Instant, usize)]) -> usize {
    let second = Duration::from_secs(1);
    let from = |first: &(Instant, usize)| {
        let within = samples.iter().filter(|one| one.0 >= first.0 && one.0 - first.0 <= second);
        within.map(|one| one.1 - first.1).max().unwrap_or_default()
    };
    samples.iter().map(from).max().unwrap_or_default()
}

fn cold_entry(target: &TestTarget) -> TargetEntry {
    TargetEntry { cold_left: COLD_RULE.duration, ..entry(&target.id, "plain", target.address) }
}

#[test]
fn a_new_target_gets_few_requests_of_all_vms_and_gets_them_at_once() {
    let warm = TestTarget::start("warm", Behavior::Serve);
    let store = MemoryStore::default();
    store.list(entry("warm", "plain", warm.address));
    store.declare(cold_declarations());
    let gateways = start_fleet("vm-cold", &store);
    let newcomer = TestTarget::start("newcomer", Behavior::Serve);
    store.list(cold_entry(&newcomer));
    let samples = sample_arrivals_under_load(
        &gateways,
        &newcomer,
        COLD_RULE.duration - Duration::from_millis(300),
    );
    let first = samples.iter().find(|one| one.1 > 0).map(|one| one.0 - samples[0].0);
    assert!(
        max_in_a_second(&samples) <= MAX_COLD_REQUESTS_PER_SECOND,
        "{} in a second",
        max_in_a_second(&samples)
    );
    assert!(first.is_some_and(|first| first < Duration::from_secs(1)), "first after {first:?}");
}

#[test]
fn a_single_cold_target_keeps_its_limit_and_other_requests_are_refused_at_once() {
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
    let samples = sample_arrivals_under_load(&gateways, &newcomer, Duration::from_millis(1_500));
    assert!(
        max_in_a_second(&samples) <= MAX_COLD_REQUESTS_PER_SECOND,
        "{} in a second",
        max_in_a_second(&samples)
    );
}

#[test]
fn updates_of_other_targets_do_not_make_a_target_cold_again() {
    let warm = TestTarget::start("warm", Behavior::Serve);
    let store = MemoryStore::default();
    store.list(entry("warm", "plain", warm.address));
    store.declare(cold_declarations());
    let gateways = start_fleet("vm-old", &store);
    let newcomer = TestTarget::start("newcomer", Behavior::Serve);
    store.list(cold_entry(&newcomer));
    // An update of another target each second while the newcomer's entry stays the same.
    for other in 0..4 {
        std::thread::sleep(Duration::from_secs(1));
        store.list(entry(&format!("other-{other}"), "keyed", warm.address));
    }
    store.unlist("warm");
    std::thread::sleep(Duration::from_millis(600));
    let responses: Vec<String> = (0..20).map(|_| gateways[0].send("GET", "/read/", "")).collect();
    let served = responses.iter().filter(|response| response.contains(" 200 ")).count();
    assert_eq!(served, 20, "the target still counts as cold: {responses:?}");
}

/// Guards against repeated connections to a target that refused one. A refused connection is not
/// visible to the test, so the target listens again later and must not get a connection.
#[test]
fn a_target_that_refuses_connections_gets_no_requests_from_the_vm_that_detected_it() {
    let healthy = TestTarget::start("sound", Behavior::Serve);
    let store = MemoryStore::default();
    let crashed = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = crashed.local_addr().unwrap();
    store.list(entry("sound", "plain", healthy.address));
    store.list(entry("fallen", "plain", address));
    store.declare(declarations(1));
    let gateway = TestGateway::start("vm-fallen", &store);
    gateway.wait_ready();
    drop(crashed);
    let crashed_at = Instant::now();
    for _ in 0..40 {
        let response = gateway.send("GET", "/read/", "");
        assert!(response.contains(" 200 "), "{response}");
    }
    // The target listens again at the same address without an update to the VM.
    let restarted = TcpListener::bind(address).unwrap();
    restarted.set_nonblocking(true).unwrap();
    while crashed_at.elapsed() < Duration::from_millis(1_500) {
        gateway.send("GET", "/read/", "");
        assert!(restarted.accept().is_err(), "connected again after {:?}", crashed_at.elapsed());
    }
}
