//! Dispatch between VMs: few real gateways and targets on loopback sockets.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::{Duration, Instant};

use common::dispatch_fleet::{DispatchFleet, FORWARDED, GRANTED, store_with};
use common::target::{Behavior, BoundedWork, TestTarget, header};
use common::{TestGateway, entry, wait_until};
use nickellead_gateway::GatewaySettings;

/// A target that closes the connections of requests beyond twice its slots.
const WORK: BoundedWork = BoundedWork { slots: 4, queue: 4, duration: Duration::from_millis(50) };

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

/// More VMs than slots: without a dispatcher, each VM may send what another one sends as well.
#[test]
fn forty_callers_of_three_vms_never_exceed_the_slots_of_a_target_by_more_than_one() {
    let target = TestTarget::start("t1", Behavior::Bounded(WORK));
    let fleet = DispatchFleet::start("slots", &store_with("plain", &target), "/read/", GRANTED);
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
    let fleet = DispatchFleet::start("warm", &store_with("keyed", &owner), "/key/", FORWARDED);
    let dispatcher = fleet.dispatcher();
    let opened_by_others = || -> u64 {
        let others = fleet.gateways.iter().enumerate().filter(|(index, _)| *index != dispatcher);
        others
            .map(|(_, gateway)| gateway.metric("nickellead_target_connections_opened") as u64)
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
    let fleet = DispatchFleet::start("room", &store_with("plain", &target), "/read/", GRANTED);
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
    let mut fleet = DispatchFleet::start("stop", &store_with("plain", &target), "/read/", GRANTED);
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
    let fleet = DispatchFleet::start("cut", &store_with("keyed", &owner), "/key/", FORWARDED);
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
    let fleet = DispatchFleet::start("once", &store_with("keyed", &owner), "/seat/", GRANTED);
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
    let fleet = DispatchFleet::start("limit", &store, "/read/", GRANTED);
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
        assert_eq!(gateway.metric(metric), 0.0, "{metric}");
    }
}

/// No request may be sent to targets a second time.
fn without_retries(settings: &mut GatewaySettings) {
    settings.retry_ratio = 0.0;
    settings.retry_extra = Some(0.0);
}

/// Guards targets against work for callers that have left: the time for which a request was under way to
/// its dispatcher has passed.
#[test]
fn dispatchers_tell_targets_no_more_time_than_remains() {
    /// Below the time after which a request that may not be repeated is given up.
    const UNDER_WAY: Duration = Duration::from_millis(250);
    /// What remains of the deadline of a request, at most, and a margin.
    const MOST_REMAINING_MS: u64 = 1_000 - 200;
    let owner = TestTarget::start("t5", Behavior::Serve);
    let store = store_with("keyed", &owner);
    let fleet = DispatchFleet::start_with("told", &store, "/key/", FORWARDED, without_retries);
    let dispatcher = fleet.dispatcher();
    fleet.links.iter().for_each(|link| link.set_delay_to_vm(UNDER_WAY));
    owner.clear_requests();
    let answers = fleet.send_all(fleet.gateways.len(), "/key/", 1);
    let told =
        |request: &String| -> u64 { header(request, "x-deadline-ms").unwrap().parse().unwrap() };
    let told: Vec<u64> = owner.requests().iter().map(told).collect();
    let (own, forwarded): (Vec<u64>, Vec<u64>) =
        told.iter().partition(|told| **told > MOST_REMAINING_MS);
    assert_eq!(own.len(), 1, "{told:?}, {answers:?}, VM {dispatcher} is the dispatcher");
    assert_eq!(forwarded.len(), 2, "{told:?}, {answers:?}");
}

/// Guards targets against requests that reach their dispatcher after their callers have left.
#[test]
fn dispatchers_send_no_request_whose_time_has_passed() {
    /// Above the deadline of requests.
    const UNDER_WAY: Duration = Duration::from_millis(1_200);
    let owner = TestTarget::start("t6", Behavior::Serve);
    let store = store_with("keyed", &owner);
    let fleet = DispatchFleet::start_with("passed", &store, "/key/", FORWARDED, without_retries);
    fleet.links.iter().for_each(|link| link.set_delay_to_vm(UNDER_WAY));
    owner.clear_requests();
    let answers = fleet.send_all(fleet.gateways.len(), "/key/", 1);
    let unread = |le: &str| {
        fleet.count(&format!("nickellead_unread_seconds_bucket{{le=\"{le}\",from=\"vm\"}}"))
    };
    wait_until("the dispatcher has read both requests of other VMs", || {
        unread("+Inf") >= unread("1.0") + 2
    });
    // A request that is sent arrives within much less.
    std::thread::sleep(Duration::from_millis(100));
    let arrived = owner.requests().len();
    assert_eq!(arrived, 1, "only the dispatcher's own request was in time: {answers:?}");
}
