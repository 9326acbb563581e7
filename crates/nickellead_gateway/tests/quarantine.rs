//! Requests that make targets fall are refused by all VMs, and innocent ones are served.
#![allow(clippy::unwrap_used)]

mod common;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use common::crashing_target::{CrashLog, CrashingTarget, start_targets};
use common::store::MemoryStore;
use common::target::header;
use common::{TestGateway, wait_until};
use nickellead_gateway::PolicySwitch;

const QUARANTINED: &str = "nickellead_requests_quarantined";
const REFUSED: &str = "nickellead_errors_total{error=\"request-quarantined\"}";
const PATH: &str = "/read/crash";
/// Time from the third fall until the last VM refuses the request.
const MAX_SPREAD_TIME: Duration = Duration::from_millis(500);
/// Longest time until all VMs have found the VM that they follow.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Ready gateways that serve.
fn start_gateways(name: &str, store: &MemoryStore, count: usize) -> Vec<TestGateway> {
    let start = |number| TestGateway::start(&format!("{name}-{number}"), store);
    let gateways: Vec<_> = (0..count).map(start).collect();
    gateways.iter().for_each(TestGateway::wait_ready);
    wait_until("all VMs serve", || {
        gateways.iter().all(|gateway| gateway.send("GET", "/read/a", "").contains(" 200 "))
    });
    gateways
}

/// Sends the crashing request to one VM after the other until a VM refuses it.
fn send_until_refused(gateways: &[TestGateway], method: &str, path: &str) -> usize {
    let started = Instant::now();
    for (number, gateway) in gateways.iter().cycle().enumerate() {
        assert!(started.elapsed() < Duration::from_secs(15), "no VM refuses the request");
        if is_held_back(&gateway.send(method, path, "")) {
            return number;
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    unreachable!("the gateways are repeated without end")
}

fn is_held_back(response: &str) -> bool {
    header(response, "nickellead-error").as_deref() == Some("request-quarantined")
}

/// Waits until all VMs refuse a mark; returns the time since the third fall.
fn wait_spread(gateways: &[TestGateway], log: &CrashLog) -> Duration {
    wait_until("the third target fell", || log.falls().len() >= 3);
    let third = log.falls()[2].at;
    wait_until("all VMs know the mark", || {
        gateways.iter().all(|gateway| gateway.metric(QUARANTINED) == 1.0)
    });
    third.elapsed()
}

/// Guards callers of a request that is refused against waiting in vain, and against being told that it may
/// have run.
#[test]
fn a_caller_of_a_refused_request_is_told_when_to_come_back() {
    let log = CrashLog::default();
    let (_targets, store) = start_targets("told", &log);
    let gateways = start_gateways("q-told", &store, 1);
    send_until_refused(&gateways, "GET", PATH);
    let before = log.arrivals().len();
    let started = Instant::now();
    let response = gateways[0].send("GET", PATH, "");
    assert!(started.elapsed() < Duration::from_millis(100), "{:?}", started.elapsed());
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert_eq!(header(&response, "nickellead-outcome").as_deref(), Some("not-run"));
    let seconds: f64 = header(&response, "retry-after").unwrap().parse().unwrap();
    assert!(seconds > 590.0, "{response}");
    assert_eq!(log.arrivals().len(), before);
    let other = gateways[0].send("GET", "/read/other", "");
    assert!(other.contains(" 200 "), "{other}");
}

/// Guards targets against unsafe requests, each of which costs one.
#[test]
fn an_unsafe_request_that_crashes_its_targets_is_held_back() {
    let log = CrashLog::default();
    let (_targets, store) = start_targets("unsafe", &log);
    let gateways = start_gateways("q-unsafe", &store, 3);
    send_until_refused(&gateways, "POST", "/write/crash");
    assert_eq!(log.falls().len(), 3);
    wait_spread(&gateways, &log);
    assert!(gateways.iter().all(|one| is_held_back(&one.send("POST", "/write/crash", ""))));
    assert_eq!(log.falls().len(), 3);
}

/// Guards a VM that starts against finding anew what others know.
#[test]
fn a_vm_that_starts_hears_what_others_hold_back() {
    let log = CrashLog::default();
    let (_targets, store) = start_targets("late", &log);
    let mut gateways = start_gateways("q-late", &store, 2);
    send_until_refused(&gateways, "GET", PATH);
    gateways.extend(start_gateways("q-new", &store, 1));
    wait_spread(&gateways, &log);
    let before = log.arrivals().len();
    assert!(is_held_back(&gateways[2].send("GET", PATH, "")));
    assert_eq!(log.arrivals().len(), before);
}

/// Guards VMs against hearing of crashing requests late, or by way of the store.
#[test]
fn all_vms_hear_of_a_crashing_request_within_half_a_second_also_without_the_store() {
    const VMS: usize = 16;
    let log = CrashLog::default();
    let (_targets, store) = start_targets("spread", &log);
    let gateways = start_gateways("q-spread", &store, VMS);
    std::thread::sleep(SETTLE_TIME);
    store.set_unavailable(true);
    // Until VMs know it, and call it unavailable.
    std::thread::sleep(SETTLE_TIME);
    let (first, others) = gateways.split_at(3);
    std::thread::scope(|scope| {
        scope.spawn(|| send_until_refused(first, "GET", PATH));
        let spread = wait_spread(&gateways, &log);
        assert!(spread <= MAX_SPREAD_TIME, "{spread:?}");
    });
    let before = log.arrivals().len();
    assert!(others.iter().all(|gateway| is_held_back(&gateway.send("GET", PATH, ""))));
    assert_eq!(log.arrivals().len(), before);
}

/// Guards the same after the VM that all follow was lost: the next one knows what was known.
#[test]
fn what_is_held_back_outlives_the_mandate_holder() {
    let log = CrashLog::default();
    let (_targets, store) = start_targets("holder", &log);
    let (holder, link) = TestGateway::start_linked("q-holder", &store, 1e9);
    wait_until("the first VM holds the mandate", || {
        store.mandate_holder().as_deref() == Some("q-holder")
    });
    holder.wait_ready();
    let gateways = start_gateways("q-others", &store, 3);
    send_until_refused(&gateways[..1], "GET", PATH);
    wait_spread(&gateways, &log);
    link.set_cut(true);
    store.disconnect("q-holder");
    wait_until("another VM holds the mandate", || {
        store.mandate_holder().is_some_and(|vm| vm != "q-holder")
    });
    let before = log.arrivals().len();
    let started = start_gateways("q-after", &store, 1);
    wait_until("the new VM knows the mark", || started[0].metric(QUARANTINED) == 1.0);
    let refuses = |gateway: &TestGateway| is_held_back(&gateway.send("GET", PATH, ""));
    assert!(gateways.iter().chain(&started).all(refuses));
    assert_eq!(log.arrivals().len(), before);
}

/// Guards innocent requests of a path that is in use all the time: half of the targets falling at one
/// moment, again and again, is no request's fault.
#[test]
fn a_busy_path_is_served_while_many_targets_fall_at_one_moment() {
    const ROUNDS: usize = 3;
    const CALLERS: usize = 12;
    let log = CrashLog::default();
    let (targets, store) = start_targets("busy", &log);
    let gateways = start_gateways("q-busy", &store, 3);
    let (has_ended, served) = (AtomicBool::new(false), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (gateway, has_ended, served) = (&gateways[caller % 3], &has_ended, &served);
            scope.spawn(move || {
                while !has_ended.load(Ordering::Relaxed) {
                    let response = gateway.send("GET", "/read/hot", "");
                    served.fetch_add(usize::from(response.contains(" 200 ")), Ordering::Relaxed);
                }
            });
        }
        for round in 0..ROUNDS {
            std::thread::sleep(Duration::from_millis(1_000));
            targets.iter().skip(round % 2).step_by(2).for_each(CrashingTarget::fall);
            std::thread::sleep(Duration::from_millis(1_500));
        }
        has_ended.store(true, Ordering::Relaxed);
    });
    let refused: f64 = gateways.iter().map(|gateway| gateway.metric(REFUSED)).sum();
    let falls: f64 =
        gateways.iter().map(|gateway| gateway.metric("nickellead_requests_at_falls_total")).sum();
    let served = served.load(Ordering::Relaxed);
    assert!(falls > 0.0, "targets fell while they had requests");
    assert_eq!(refused, 0.0, "{served} served");
}

/// Guards all other requests: a crashing request takes some targets, and the rest serves on.
#[test]
fn few_targets_are_lost_to_many_crashing_requests() {
    const MARKS: usize = 5;
    let log = CrashLog::default();
    let (_targets, store) = start_targets("many", &log);
    let gateways = start_gateways("q-many", &store, 3);
    for mark in 0..MARKS {
        send_until_refused(&gateways, "GET", &format!("/read/crash-{mark}"));
    }
    let most = (0..MARKS).map(|mark| {
        let path = format!("/read/crash-{mark}");
        log.falls().iter().filter(|fall| fall.path == path).count()
    });
    assert!(most.max() <= Some(3), "{:?}", log.falls());
}

/// Guards the switch that lifts all quarantines of a VM.
#[test]
fn nothing_is_refused_by_a_vm_whose_quarantine_is_off() {
    let log = CrashLog::default();
    let (_targets, store) = start_targets("off", &log);
    let gateway = TestGateway::start_as("q-off", &store, |settings| {
        settings.policy.quarantine = PolicySwitch::Off;
    });
    gateway.wait_ready();
    for _ in 0..5 {
        gateway.send("GET", PATH, "");
        std::thread::sleep(Duration::from_millis(200));
    }
    assert!(log.falls().len() > 3);
    assert_eq!(gateway.metric(REFUSED), 0.0);
}
