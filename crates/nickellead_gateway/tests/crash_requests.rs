//! Requests that make the targets fall that begin to run them.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use common::crashing_target::{CrashLog, start_targets};
use common::dispatch_fleet::{DispatchFleet, GRANTED};
use common::{TestGateway, wait_until};

/// Time since a request made its third target fall after which few tries of it may reach targets.
const CONTACT: Duration = Duration::from_secs(3);
/// Tries that may reach targets after that.
const MAX_LATE_ARRIVALS: usize = 3;
/// Interval between two tries of a crashing request, each at the next VM.
const INTERVAL: Duration = Duration::from_millis(400);
const DURATION: Duration = Duration::from_secs(9);
const PATH: &str = "/read/crash";

fn status_of(response: &str) -> String {
    response.split(' ').nth(1).unwrap_or("none").to_owned()
}

/// Statuses of the crashing tries and of the ordinary requests beside them.
struct PlayedTries {
    crashing: BTreeMap<String, usize>,
    ordinary: BTreeMap<String, usize>,
}

/// Sends the crashing request to one VM after the other, beside a caller with ordinary requests at each.
fn play(gateways: &[TestGateway], path: &str, duration: Duration) -> PlayedTries {
    let has_ended = AtomicBool::new(false);
    let number = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        let call = |gateway| {
            let (has_ended, number) = (&has_ended, &number);
            scope.spawn(move || {
                let mut statuses = BTreeMap::new();
                while !has_ended.load(Ordering::Relaxed) {
                    let path = format!("/read/{}", number.fetch_add(1, Ordering::Relaxed));
                    let response = TestGateway::send(gateway, "GET", &path, "");
                    *statuses.entry(status_of(&response)).or_default() += 1;
                }
                statuses
            })
        };
        let callers: Vec<_> = gateways.iter().map(call).collect();
        let mut crashing = BTreeMap::new();
        let started = Instant::now();
        for gateway in gateways.iter().cycle() {
            if started.elapsed() >= duration {
                break;
            }
            *crashing.entry(status_of(&gateway.send("GET", path, ""))).or_default() += 1;
            std::thread::sleep(INTERVAL);
        }
        has_ended.store(true, Ordering::Relaxed);
        let mut ordinary = BTreeMap::new();
        for statuses in callers.into_iter().map(|caller| caller.join().unwrap()) {
            statuses.into_iter().for_each(|(status, count): (String, usize)| {
                *ordinary.entry(status).or_default() += count;
            });
        }
        PlayedTries { crashing, ordinary }
    })
}

/// Asserts that few tries reached targets long after the third fall.
fn assert_held_back(log: &CrashLog, tries: &PlayedTries) {
    let (falls, late) = (log.falls().len(), log.late_arrivals(PATH, CONTACT));
    let figures = format!(
        "{falls} falls, {late} late arrivals, crashing {:?}, ordinary {:?}",
        tries.crashing, tries.ordinary
    );
    assert!(falls >= 3, "{figures}");
    assert!(late <= MAX_LATE_ARRIVALS, "{figures}");
}

/// Guards targets against a request that makes each of them fall, and that comes at one VM after the other.
#[test]
fn a_request_that_crashes_its_targets_is_held_back_by_all_vms() {
    let log = CrashLog::default();
    let (_targets, store) = start_targets("chosen", &log);
    let start = |number| TestGateway::start(&format!("crash-{number}"), &store);
    let gateways: Vec<_> = (0..3).map(start).collect();
    gateways.iter().for_each(TestGateway::wait_ready);
    wait_until("all VMs serve", || {
        gateways.iter().all(|gateway| gateway.send("GET", "/read/a", "").contains(" 200 "))
    });
    let tries = play(&gateways, PATH, DURATION);
    assert_held_back(&log, &tries);
}

/// Guards the same where one VM selects targets for others.
#[test]
fn a_request_that_crashes_its_targets_is_held_back_by_vms_that_dispatch() {
    let log = CrashLog::default();
    let (_targets, store) = start_targets("dispatched", &log);
    let fleet = DispatchFleet::start("crash-dispatch", &store, "/read/a", GRANTED);
    let tries = play(&fleet.gateways, PATH, DURATION);
    assert_held_back(&log, &tries);
}

/// Guards the same for one VM alone, where a caller comes back to the VM that it knows.
#[test]
fn a_request_that_crashes_its_targets_is_held_back_by_a_single_vm() {
    let log = CrashLog::default();
    let (_targets, store) = start_targets("single", &log);
    let gateways = [TestGateway::start("crash-single", &store)];
    gateways[0].wait_ready();
    wait_until("the VM serves", || gateways[0].send("GET", "/read/a", "").contains(" 200 "));
    let tries = play(&gateways, PATH, DURATION);
    assert_held_back(&log, &tries);
}
