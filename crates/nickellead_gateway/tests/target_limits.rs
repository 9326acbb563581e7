//! Limits: a target signals on its responses how many requests a second it accepts from all VMs
//! together.
//!
//! Guards against VMs that respect the limit only individually or not at all, so that their sum
//! exceeds it.
#![allow(clippy::unwrap_used)]

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::store::MemoryStore;
use common::target::{Behavior, TestTarget};
use common::{TestGateway, declarations, entry, wait_until};
use nickellead_gateway::{PolicySwitch, TargetEntry};

/// Limits apply to all windows of this length.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time after the first signal of a limit after which VMs must respect it.
const LIMIT_PROPAGATION_TIME: Duration = Duration::from_secs(1);
/// Maximum latency of a refusal.
const MAX_REFUSAL_LATENCY: Duration = Duration::from_millis(150);
/// Delay between two requests of a caller.
const CALLER_DELAY: Duration = Duration::from_millis(20);
const CALLERS_PER_VM: usize = 2;
/// Until the holder of the mandate (leader lease) has sent the list of VMs to all VMs.
const FLEET_DISCOVERY_TIME: Duration = Duration::from_millis(2_500);

/// Maximum number of requests in one window to a target with this limit.
fn allowed_requests(limit: f64) -> usize {
    (1.5 * limit * LIMIT_WINDOW.as_secs_f64() + 5.0) as usize
}

/// Starts VMs that know each other, in front of these targets of a service.
fn start_fleet(
    name: &str,
    vms: usize,
    service: &str,
    targets: &[&TestTarget],
    load_moves: PolicySwitch,
) -> (Vec<TestGateway>, MemoryStore) {
    let store = MemoryStore::default();
    targets.iter().for_each(|target| store.list(entry(&target.id, service, target.address)));
    store.declare(declarations(1));
    let start = |number| {
        TestGateway::start_as(&format!("{name}-{number}"), &store, |settings| {
            settings.policy.load_moves = load_moves;
        })
    };
    let gateways: Vec<TestGateway> = (0..vms).map(start).collect();
    gateways.iter().for_each(TestGateway::wait_ready);
    wait_until("every VM serves", || {
        let paths = ["/key/", "/read/"];
        gateways
            .iter()
            .all(|gateway| paths.iter().any(|path| send(gateway, path, 7).contains(" 200 ")))
    });
    std::thread::sleep(FLEET_DISCOVERY_TIME);
    (gateways, store)
}

fn send(gateway: &TestGateway, path: &str, key: u16) -> String {
    gateway.send("GET", path, &format!("x-key: {key}\r\n"))
}

/// A response to a caller.
struct CallerResponse {
    sent_at: Instant,
    latency: Duration,
    text: String,
}

/// Sends requests for random keys to every VM for `duration`; returns the responses.
fn send_to_all(gateways: &[TestGateway], path: &str, duration: Duration) -> Vec<CallerResponse> {
    let ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let callers = gateways.iter().flat_map(|gateway| [gateway; CALLERS_PER_VM]);
        let callers: Vec<_> = callers
            .enumerate()
            .map(|(index, gateway)| {
                let ended = &ended;
                scope.spawn(move || {
                    let mut random = fastrand::Rng::with_seed(index as u64);
                    let mut responses = Vec::new();
                    while !ended.load(Ordering::Relaxed) {
                        let sent_at = Instant::now();
                        let text = send(gateway, path, random.u16(..));
                        responses.push(CallerResponse {
                            sent_at,
                            latency: sent_at.elapsed(),
                            text,
                        });
                        std::thread::sleep(CALLER_DELAY);
                    }
                    responses
                })
            })
            .collect();
        std::thread::sleep(duration);
        ended.store(true, Ordering::Relaxed);
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    })
}

/// Maximum number of requests to a target in one window that begins at `from` or later.
fn max_arrivals_in_window(target: &TestTarget, from: Instant) -> usize {
    let times: Vec<Instant> =
        target.arrivals().iter().map(|arrival| arrival.at).filter(|at| *at >= from).collect();
    let ends = times.iter().map(|first| times.partition_point(|at| *at < *first + LIMIT_WINDOW));
    ends.enumerate().map(|(first, end)| end - first).max().unwrap_or_default()
}

fn signal_limit(target: &TestTarget, limit: f64) -> Instant {
    target.set_signals(&format!("x-limit: {limit}\r\n"));
    Instant::now()
}

fn served_fraction<'a>(responses: impl Iterator<Item = &'a CallerResponse>) -> f64 {
    let served: Vec<bool> = responses.map(|response| response.text.contains(" 200 ")).collect();
    served.iter().filter(|served| **served).count() as f64 / served.len() as f64
}

#[test]
fn all_vms_together_send_an_owner_its_limit_and_refuse_the_rest_at_once() {
    let owner = TestTarget::start("t1", Behavior::Serve);
    let (gateways, _store) =
        start_fleet("vm-limit-owner", 3, "keyed", &[&owner], PolicySwitch::Off);
    let limit = 12.8;
    let signaled_at = signal_limit(&owner, limit);
    let responses = send_to_all(
        &gateways,
        "/key/",
        LIMIT_PROPAGATION_TIME + LIMIT_WINDOW + Duration::from_secs(1),
    );
    let max_requests = max_arrivals_in_window(&owner, signaled_at + LIMIT_PROPAGATION_TIME);
    assert!(
        max_requests <= allowed_requests(limit),
        "{max_requests} requests in a window, allowed {}",
        allowed_requests(limit)
    );
    // No other target can serve the keys, so the limit is used up.
    let min_requests = (0.75 * limit * LIMIT_WINDOW.as_secs_f64()) as usize;
    assert!(
        max_requests >= min_requests,
        "{max_requests} requests in a window, fewer than {min_requests}"
    );
    let refused = responses.iter().filter(|response| response.text.contains(" 503 "));
    for response in
        refused.filter(|response| response.sent_at >= signaled_at + LIMIT_PROPAGATION_TIME)
    {
        assert!(response.text.contains("target-limited"), "{}", response.text);
        assert!(response.text.contains("retry-after"), "{}", response.text);
        assert!(response.latency < MAX_REFUSAL_LATENCY, "{:?}", response.latency);
    }
}

#[test]
fn keys_beyond_the_limit_of_an_owner_move_to_others() {
    let targets = ["t1", "t2", "t3"].map(|id| TestTarget::start(id, Behavior::Serve));
    let [limited, ..] = &targets;
    let all: Vec<&TestTarget> = targets.iter().collect();
    let (gateways, _store) = start_fleet("vm-limit-keys", 3, "keyed", &all, PolicySwitch::On);
    send_to_all(&gateways, "/key/", Duration::from_secs(2));
    let limit = 12.0;
    let signaled_at = signal_limit(limited, limit);
    let responses = send_to_all(&gateways, "/key/", Duration::from_secs(9));
    let max_requests = max_arrivals_in_window(limited, signaled_at + LIMIT_PROPAGATION_TIME);
    assert!(
        max_requests <= allowed_requests(limit),
        "{max_requests} requests in a window, allowed {}",
        allowed_requests(limit)
    );
    let moved_by = signaled_at + Duration::from_secs(5);
    let served = served_fraction(responses.iter().filter(|response| response.sent_at >= moved_by));
    assert!(served >= 0.95, "{served:.3} of the requests served");
}

/// Number of owner changes until `ended`, divided by the number of sampled keys.
fn move_ratio(store: &MemoryStore, ended: &AtomicBool) -> f64 {
    let owners = || -> Vec<Option<String>> {
        let map = store.range_map().unwrap();
        let owner = |key| Some(map.find("keyed", key)?.owner.as_ref()?.id.clone());
        (0..=u16::MAX).step_by(64).map(owner).collect()
    };
    let (mut previous, mut moved) = (owners(), 0);
    let sampled_keys = previous.len() as f64;
    while !ended.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(50));
        let current = owners();
        moved +=
            current.iter().zip(&previous).filter(|(current, previous)| current != previous).count();
        previous = current;
    }
    moved as f64 / sampled_keys
}

/// Guards against keys that return to an owner as soon as its limit ends and overload it again.
#[test]
fn keys_of_an_owner_that_is_overloaded_only_with_them_do_not_oscillate() {
    let targets = ["t1", "t2", "t3"].map(|id| TestTarget::start(id, Behavior::Serve));
    let all: Vec<&TestTarget> = targets.iter().collect();
    let (gateways, store) = start_fleet("vm-limit-again", 3, "keyed", &all, PolicySwitch::On);
    send_to_all(&gateways, "/key/", Duration::from_secs(2));
    let (ended, limit) = (AtomicBool::new(false), 12);
    let (responses, moved) = std::thread::scope(|scope| {
        let counting = scope.spawn(|| move_ratio(&store, &ended));
        scope.spawn(|| {
            while !ended.load(Ordering::Relaxed) {
                let before = targets[0].requests().len();
                std::thread::sleep(Duration::from_secs(1));
                let is_overloaded = targets[0].requests().len() - before > limit;
                targets[0].set_signals(&if is_overloaded {
                    format!("x-limit: {limit}\r\n")
                } else {
                    String::new()
                });
            }
        });
        let responses = send_to_all(&gateways, "/key/", Duration::from_secs(20));
        ended.store(true, Ordering::Relaxed);
        (responses, counting.join().unwrap())
    });
    assert!(moved <= 1.0, "each key moved {moved:.2} times on average");
    let served = served_fraction(responses.iter());
    assert!(served >= 0.95, "{served:.3} of the requests served");
}

#[test]
fn a_limited_target_still_gets_some_requests() {
    let targets = ["t1", "t2"].map(|id| TestTarget::start(id, Behavior::Serve));
    let (gateways, _store) =
        start_fleet("vm-limit-plain", 3, "plain", &[&targets[0], &targets[1]], PolicySwitch::On);
    let limit = 10.0;
    let signaled_at = signal_limit(&targets[0], limit);
    let responses = send_to_all(
        &gateways,
        "/read/",
        LIMIT_PROPAGATION_TIME + LIMIT_WINDOW + Duration::from_secs(1),
    );
    let max_requests = max_arrivals_in_window(&targets[0], signaled_at + LIMIT_PROPAGATION_TIME);
    assert!(
        max_requests <= allowed_requests(limit),
        "{max_requests} requests in a window, allowed {}",
        allowed_requests(limit)
    );
    assert!(
        max_requests >= 10,
        "{max_requests} requests in a window: too few to detect the end of the limit"
    );
    let after_propagation = responses
        .iter()
        .filter(|response| response.sent_at >= signaled_at + LIMIT_PROPAGATION_TIME);
    let served = served_fraction(after_propagation);
    assert!(served >= 0.99, "{served:.3} of the requests served");
}

#[test]
fn a_target_with_limit_zero_gets_almost_no_requests_until_the_limit_ends() {
    let owner = TestTarget::start("t1", Behavior::Serve);
    let (gateways, _store) = start_fleet("vm-limit-zero", 3, "keyed", &[&owner], PolicySwitch::Off);
    let signaled_at = signal_limit(&owner, 0.0);
    send_to_all(&gateways, "/key/", LIMIT_PROPAGATION_TIME + LIMIT_WINDOW + Duration::from_secs(1));
    let max_requests = max_arrivals_in_window(&owner, signaled_at + LIMIT_PROPAGATION_TIME);
    assert!(
        max_requests <= allowed_requests(0.0),
        "{max_requests} requests in a window, allowed {}",
        allowed_requests(0.0)
    );
    owner.set_signals("");
    let limit_ended_at = Instant::now();
    send_to_all(&gateways, "/key/", Duration::from_secs(20));
    let responses = send_to_all(&gateways, "/key/", Duration::from_secs(1));
    let served = served_fraction(responses.iter());
    assert!(
        served >= 0.95,
        "{served:.3} of the requests served {:?} after the limit ended",
        limit_ended_at.elapsed()
    );
}

#[test]
fn a_limit_ends_with_its_signal_and_with_the_instance() {
    let owner = TestTarget::start("t1", Behavior::Serve);
    let (gateways, store) = start_fleet("vm-limit-end", 3, "keyed", &[&owner], PolicySwitch::Off);
    signal_limit(&owner, 5.0);
    let responses = send_to_all(&gateways, "/key/", Duration::from_secs(3));
    assert!(served_fraction(responses.iter()) < 0.5);
    owner.set_signals("");
    send_to_all(&gateways, "/key/", Duration::from_secs(5));
    let responses = send_to_all(&gateways, "/key/", Duration::from_secs(1));
    let served = served_fraction(responses.iter());
    assert!(served >= 0.95, "{served:.3} of the requests served after the limit ended");
    signal_limit(&owner, 5.0);
    send_to_all(&gateways, "/key/", Duration::from_secs(1));
    owner.set_signals("");
    store.list(TargetEntry { born: Some(2), ..entry("t1", "keyed", owner.address) });
    wait_until("the next instance owns the keys", || {
        send(&gateways[0], "/key/", 7).contains(" 200 ")
    });
    let responses = send_to_all(&gateways, "/key/", Duration::from_secs(1));
    let served = served_fraction(responses.iter());
    assert!(served >= 0.95, "{served:.3} of the requests served by the next instance");
}

/// Guards against VMs that exceed a limit which only another VM has received from the target.
#[test]
fn vms_respect_a_limit_that_another_vm_received() {
    let owner = TestTarget::start("t1", Behavior::Serve);
    let (gateways, _store) =
        start_fleet("vm-limit-untold", 3, "keyed", &[&owner], PolicySwitch::Off);
    signal_limit(&owner, 0.0);
    assert!(send(&gateways[0], "/key/", 7).contains(" 200 "));
    std::thread::sleep(Duration::from_millis(1_500));
    owner.clear_requests();
    send_to_all(&gateways[1..], "/key/", Duration::from_millis(300));
    let arrived = owner.requests().len();
    assert!(arrived <= 1, "{arrived} requests, including the first of each VM");
}

#[test]
fn an_unreadable_limit_is_ignored() {
    for limit in ["few", "-3", "NaN", "inf", ""] {
        let target = TestTarget::start("t1", Behavior::Serve);
        let (gateways, _store) =
            start_fleet("vm-limit-unread", 1, "plain", &[&target], PolicySwitch::On);
        target.set_signals(&format!("x-limit: {limit}\r\n"));
        let responses = send_to_all(&gateways, "/read/", Duration::from_millis(500));
        assert!(served_fraction(responses.iter()) >= 1.0, "{limit}");
    }
}
