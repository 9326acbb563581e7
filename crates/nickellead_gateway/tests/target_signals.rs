//! Signals of a target on its responses: that it leaves, and that it requests a pause.
//!
//! Guards against ignoring these signals until the store's list changes: a key has a single owner,
//! so VMs would keep sending requests to an owner that leaves or sheds everything.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::{Duration, Instant};

use common::store::MemoryStore;
use common::target::{Behavior, TestTarget};
use common::{TestGateway, declarations, entry, gateway_with_targets, wait_until};
use nickellead_gateway::{PolicySwitch, SlotCount, TargetEntry};

/// Time after a response with the leaving signal after which the VM sends no more requests to the
/// target.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Time after a pause signal during which requests in flight may still arrive.
const PAUSE_PROPAGATION_TIME: Duration = Duration::from_millis(500);
/// Maximum number of requests between then and the end of the pause.
const MAX_REQUESTS_IN_PAUSE: usize = 2;
/// Maximum latency of a refusal.
const MAX_REFUSAL_LATENCY: Duration = Duration::from_millis(150);

const LEAVING: &str = "x-leaving: 1\r\n";

/// A gateway that does not move keys to balance load, because one key gets all requests of a test.
fn start_unbalanced(name: &str, store: &MemoryStore) -> TestGateway {
    let gateway = TestGateway::start_as(name, store, |settings| {
        settings.policy.load_moves = PolicySwitch::Off;
    });
    gateway.wait_ready();
    gateway
}

/// A gateway in front of these owners that serves key 7.
fn gateway_with_owners(name: &str, targets: &[&TestTarget]) -> (TestGateway, MemoryStore) {
    let store = MemoryStore::default();
    targets.iter().for_each(|target| store.list(entry(&target.id, "keyed", target.address)));
    store.declare(declarations(1));
    let gateway = start_unbalanced(name, &store);
    wait_until("the key is served", || send_for_key(&gateway).contains(" 200 "));
    (gateway, store)
}

fn send_for_key(gateway: &TestGateway) -> String {
    gateway.send("GET", "/key/", "x-key: 7\r\n")
}

/// Sends requests for `duration`; returns the responses.
fn send_repeatedly(duration: Duration, send: impl Fn() -> String) -> Vec<String> {
    let end = Instant::now() + duration;
    let mut responses = Vec::new();
    while Instant::now() < end {
        responses.push(send());
        std::thread::sleep(Duration::from_millis(20));
    }
    responses
}

/// The two targets, with the owner of key 7 first.
fn owner_first<'a>(gateway: &TestGateway, targets: [&'a TestTarget; 2]) -> [&'a TestTarget; 2] {
    let [first, other] = targets;
    if send_for_key(gateway).ends_with(&first.id) { [first, other] } else { [other, first] }
}

#[test]
fn an_owner_that_leaves_during_a_store_outage_gets_no_requests_after_the_bound() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (gateway, store) = gateway_with_owners("vm-leaving-owner", &[&target]);
    store.set_unavailable(true);
    target.set_signals(LEAVING);
    assert!(send_for_key(&gateway).contains(" 200 "));
    let signaled_at = Instant::now();
    std::thread::sleep(MAX_DRAIN_TIME.saturating_sub(signaled_at.elapsed()));
    target.clear_requests();
    let sent_at = Instant::now();
    let response = send_for_key(&gateway);
    assert!(sent_at.elapsed() < MAX_REFUSAL_LATENCY, "{:?}", sent_at.elapsed());
    assert!(response.contains(" 503 ") && response.contains("retry-after"), "{response}");
    send_repeatedly(Duration::from_secs(1), || send_for_key(&gateway));
    assert!(target.requests().is_empty(), "{} requests", target.requests().len());
}

#[test]
fn keys_of_a_leaving_owner_that_is_listed_as_ready_move_without_refusals() {
    let targets = ["t1", "t2"].map(|id| TestTarget::start(id, Behavior::Serve));
    let (gateway, _store) = gateway_with_owners("vm-leaving-keys", &[&targets[0], &targets[1]]);
    let [owner, other] = owner_first(&gateway, [&targets[0], &targets[1]]);
    // The signal is on responses to requests only, not on responses to orders.
    owner.set_signals(LEAVING);
    let responses = send_repeatedly(MAX_DRAIN_TIME, || send_for_key(&gateway));
    assert!(responses.iter().all(|response| response.contains(" 200 ")), "{responses:?}");
    owner.clear_requests();
    let responses = send_repeatedly(Duration::from_millis(500), || send_for_key(&gateway));
    assert!(responses.iter().all(|response| response.ends_with(&other.id)), "{responses:?}");
    assert!(owner.requests().is_empty());
}

#[test]
fn an_owner_that_signals_leaving_only_to_the_mandate_holder_loses_its_keys() {
    let targets = ["t1", "t2"].map(|id| TestTarget::start(id, Behavior::Serve));
    let (gateway, store) = gateway_with_owners("vm-leaving-order", &[&targets[0], &targets[1]]);
    let [owner, other] = owner_first(&gateway, [&targets[0], &targets[1]]);
    store.set_leaving(&owner.id);
    std::thread::sleep(MAX_DRAIN_TIME);
    owner.clear_requests();
    let responses = send_repeatedly(Duration::from_millis(300), || send_for_key(&gateway));
    assert!(responses.iter().all(|response| response.ends_with(&other.id)), "{responses:?}");
}

/// The holder of the mandate (leader lease) gets no requests itself, so another VM must report the
/// signal.
#[test]
fn a_vm_reports_a_leaving_owner_to_the_mandate_holder() {
    let targets = ["t1", "t2"].map(|id| TestTarget::start(id, Behavior::Serve));
    let (_holder, store) = gateway_with_owners("vm-leaving-holder", &[&targets[0], &targets[1]]);
    let subscriber = start_unbalanced("vm-leaving-reader", &store);
    wait_until("the key is served", || send_for_key(&subscriber).contains(" 200 "));
    let [owner, other] = owner_first(&subscriber, [&targets[0], &targets[1]]);
    assert_eq!(store.mandate_holder().as_deref(), Some("vm-leaving-holder"));
    owner.set_signals(LEAVING);
    let responses = send_repeatedly(MAX_DRAIN_TIME, || send_for_key(&subscriber));
    assert!(responses.iter().all(|response| response.contains(" 200 ")), "{responses:?}");
    owner.clear_requests();
    let responses = send_repeatedly(Duration::from_millis(300), || send_for_key(&subscriber));
    assert!(responses.iter().all(|response| response.ends_with(&other.id)), "{responses:?}");
    assert!(owner.requests().is_empty());
}

#[test]
fn a_leaving_target_gets_no_requests_although_its_entry_changes() {
    let (leaving, other) =
        (TestTarget::start("t1", Behavior::Serve), TestTarget::start("t2", Behavior::Serve));
    let (gateway, store) = gateway_with_targets("vm-leaving-plain", &[&leaving, &other]);
    let send = || gateway.send("GET", "/read/", "");
    leaving.set_signals(LEAVING);
    wait_until("the target has signaled that it leaves", || send().contains("x-leaving"));
    leaving.clear_requests();
    let changed =
        TargetEntry { slots: SlotCount::new(5).unwrap(), ..entry("t1", "plain", leaving.address) };
    store.list(changed);
    let responses = send_repeatedly(MAX_DRAIN_TIME, send);
    assert!(responses.iter().all(|response| response.ends_with("t2")), "{responses:?}");
    assert!(leaving.requests().is_empty(), "{} requests", leaving.requests().len());
}

#[test]
fn the_next_instance_of_a_target_that_left_is_used() {
    let (leaving, other) =
        (TestTarget::start("t1", Behavior::Serve), TestTarget::start("t2", Behavior::Serve));
    let (gateway, store) = gateway_with_targets("vm-leaving-life", &[&leaving, &other]);
    let send = || gateway.send("GET", "/read/", "");
    leaving.set_signals(LEAVING);
    wait_until("the target has signaled that it leaves", || send().contains("x-leaving"));
    leaving.set_signals("");
    store.list(TargetEntry { born: Some(2), ..entry("t1", "plain", leaving.address) });
    wait_until("the next instance is used", || send().ends_with("t1"));
}

#[test]
fn a_paused_owner_gets_almost_no_requests_until_the_pause_ends() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (gateway, _store) = gateway_with_owners("vm-pause-owner", &[&target]);
    target.set_behavior(Behavior::Shed);
    target.set_signals("retry-after: 2\r\n");
    let response = send_for_key(&gateway);
    let signaled_at = Instant::now();
    assert!(response.contains(" 503 ") && response.contains("retry-after"), "{response}");
    std::thread::sleep(PAUSE_PROPAGATION_TIME);
    target.clear_requests();
    let sent_at = Instant::now();
    assert!(send_for_key(&gateway).contains("target-paused"), "no target-paused error");
    assert!(sent_at.elapsed() < MAX_REFUSAL_LATENCY, "{:?}", sent_at.elapsed());
    let remaining =
        Duration::from_secs(2).saturating_sub(signaled_at.elapsed() + Duration::from_millis(50));
    send_repeatedly(remaining, || send_for_key(&gateway));
    assert!(
        target.requests().len() <= MAX_REQUESTS_IN_PAUSE,
        "{} requests",
        target.requests().len()
    );
    target.set_behavior(Behavior::Serve);
    wait_until("the target is used again", || send_for_key(&gateway).contains(" 200 "));
    assert!(signaled_at.elapsed() < Duration::from_millis(2_500), "{:?}", signaled_at.elapsed());
}

#[test]
fn keys_of_a_paused_owner_move_to_others() {
    let targets = ["t1", "t2"].map(|id| TestTarget::start(id, Behavior::Serve));
    let (gateway, _store) = gateway_with_owners("vm-pause-keys", &[&targets[0], &targets[1]]);
    let [owner, other] = owner_first(&gateway, [&targets[0], &targets[1]]);
    owner.set_behavior(Behavior::Shed);
    owner.set_signals("retry-after: 5\r\n");
    let refused_at = Instant::now();
    wait_until("the key is served again", || send_for_key(&gateway).ends_with(&other.id));
    // The mandate holder receives the pause within half a second, and a move takes less.
    assert!(refused_at.elapsed() < Duration::from_millis(1_500), "{:?}", refused_at.elapsed());
}

#[test]
fn the_next_instance_of_a_paused_owner_gets_keys_at_once() {
    let targets = ["t1", "t2"].map(|id| TestTarget::start(id, Behavior::Serve));
    let store = MemoryStore::default();
    targets.iter().for_each(|target| store.list(entry(&target.id, "keyed", target.address)));
    store.declare(declarations(1));
    let gateway = TestGateway::start("vm-pause-life", &store);
    gateway.wait_ready();
    let send = |key: u16| gateway.send("GET", "/key/", &format!("x-key: {key}\r\n"));
    let send_for_all_keys = || (0..=u16::MAX).step_by(4_001).map(send).collect::<Vec<_>>();
    let served_by = |id: &str| {
        let responses = send_for_all_keys();
        responses.iter().all(|response| response.contains(" 200 "))
            && responses.iter().any(|response| response.ends_with(id))
    };
    wait_until("both targets own keys", || served_by("t1") && served_by("t2"));
    targets[0].set_behavior(Behavior::Shed);
    targets[0].set_signals("retry-after: 5\r\n");
    wait_until("its keys have moved", || {
        send_for_all_keys().iter().all(|response| response.ends_with("t2"))
    });
    targets[0].set_behavior(Behavior::Serve);
    targets[0].set_signals("");
    store.list(TargetEntry { born: Some(2), ..entry("t1", "keyed", targets[0].address) });
    let restarted_at = Instant::now();
    wait_until("the next instance owns keys", || served_by("t1"));
    assert!(restarted_at.elapsed() < Duration::from_millis(4_000), "{:?}", restarted_at.elapsed());
}

/// A pause does not end leases: they are renewed, and keys stay when no other target can own them.
#[test]
fn the_only_owner_keeps_its_keys_during_a_pause() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (gateway, store) = gateway_with_owners("vm-pause-only", &[&target]);
    target.set_behavior(Behavior::Shed);
    target.set_signals("retry-after: 2.5\r\n");
    send_for_key(&gateway);
    std::thread::sleep(Duration::from_millis(1_000));
    let orders = store.orders().len();
    std::thread::sleep(Duration::from_millis(1_500));
    let later_orders = store.orders().split_off(orders);
    assert!(!later_orders.is_empty(), "no renewal of the lease");
    assert!(later_orders.iter().all(|order| order.kind.as_str() == "grant"), "{later_orders:?}");
}

#[test]
fn many_callers_at_once_do_not_break_a_pause() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (gateway, _store) = gateway_with_owners("vm-pause-rush", &[&target]);
    target.set_behavior(Behavior::Shed);
    target.set_signals("retry-after: 1.5\r\n");
    send_for_key(&gateway);
    let signaled_at = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..20 {
            scope.spawn(|| send_repeatedly(PAUSE_PROPAGATION_TIME, || send_for_key(&gateway)));
        }
    });
    target.clear_requests();
    let remaining = Duration::from_millis(1_450).saturating_sub(signaled_at.elapsed());
    std::thread::scope(|scope| {
        for _ in 0..20 {
            scope.spawn(|| send_repeatedly(remaining, || send_for_key(&gateway)));
        }
    });
    assert!(
        target.requests().len() <= MAX_REQUESTS_IN_PAUSE,
        "{} requests",
        target.requests().len()
    );
}

/// Guards against queued requests that wait until their deadline because each response wakes only
/// one of them.
#[test]
fn queued_requests_are_refused_as_soon_as_a_pause_begins() {
    for path in ["/key/", "/read/"] {
        let service = if path == "/key/" { "keyed" } else { "plain" };
        let target = TestTarget::start("t1", Behavior::Serve);
        let store = MemoryStore::default();
        store.list(entry("t1", service, target.address));
        store.declare(declarations(1));
        let gateway = start_unbalanced("vm-pause-waiting", &store);
        let send = || gateway.send("GET", path, "x-key: 7\r\n");
        wait_until("the target serves", || send().contains(" 200 "));
        let response_time = Duration::from_millis(100);
        target.set_behavior(Behavior::ShedAfter(response_time));
        target.set_signals("retry-after: 2\r\n");
        let sent_at = Instant::now();
        std::thread::scope(|scope| {
            for _ in 0..12 {
                scope.spawn(|| {
                    let response = send();
                    assert!(response.contains(" 503 "), "{response}");
                    assert!(
                        sent_at.elapsed() < response_time + MAX_REFUSAL_LATENCY,
                        "{:?}",
                        sent_at.elapsed()
                    );
                });
            }
        });
    }
}

#[test]
fn a_paused_target_gets_almost_no_requests_while_others_serve() {
    let (paused, other) =
        (TestTarget::start("t1", Behavior::Serve), TestTarget::start("t2", Behavior::Serve));
    let (gateway, _store) = gateway_with_targets("vm-pause-plain", &[&paused, &other]);
    let send = || gateway.send("GET", "/read/", "");
    paused.set_behavior(Behavior::Shed);
    paused.set_signals("retry-after: 1.5\r\n");
    wait_until("the target has requested a pause", || {
        send();
        !paused.requests().is_empty()
    });
    paused.clear_requests();
    let responses = send_repeatedly(Duration::from_millis(1_400), send);
    assert!(responses.iter().all(|response| response.ends_with("t2")), "{responses:?}");
    assert!(
        paused.requests().len() <= MAX_REQUESTS_IN_PAUSE,
        "{} requests",
        paused.requests().len()
    );
    paused.set_behavior(Behavior::Serve);
    wait_until("the target is used again", || send().ends_with("t1"));
}

#[test]
fn an_unreadable_pause_is_ignored() {
    for pause in ["soon", "-3", "NaN", "inf"] {
        let target = TestTarget::start("t1", Behavior::Serve);
        let (gateway, _store) = gateway_with_targets("vm-pause-unread", &[&target]);
        let send = || gateway.send("GET", "/read/", "");
        target.set_behavior(Behavior::Shed);
        target.set_signals(&format!("retry-after: {pause}\r\n"));
        send();
        target.set_behavior(Behavior::Serve);
        wait_until("the target is used at once", || send().contains(" 200 "));
    }
}
