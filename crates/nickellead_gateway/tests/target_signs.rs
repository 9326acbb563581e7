//! Signs of a target on its answers: that it leaves, and that it wants nothing for a while.
//!
//! Seen: an owner of keys said on each of its answers that it leaves, while the store answered nobody for
//! 13 seconds. All VMs sent it requests for its keys until it ended, 321 of them later than two seconds
//! after a VM had passed such an answer on. And three owners turned everything away for nine seconds and
//! asked for pauses of three seconds; each went on getting a hundred requests a second.
//!
//! How it came about: a VM learned of leaving from the store's list alone, and of a pause from nothing. Of
//! an answer it read the id, the proof and whether the request had run. A key has one owner, so nothing
//! else kept requests from it: neither that it was slow, nor that it failed.
//!
//! Shown by: events for both signs, which came on every answer; and these tests, which failed.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::{Duration, Instant};

use common::store::MemoryStore;
use common::target::{Behavior, TestTarget};
use common::{TestGateway, declarations, entry, gateway_with_targets, wait_until};
use nickellead_gateway::{PolicySwitch, TargetEntry};

/// A request that was sent later than this after a VM had passed on a sign of leaving may not arrive.
const DRAIN: Duration = Duration::from_millis(2_000);
/// A target that asked for a pause may still get what was under way, for so long.
const PAUSE_SLACK: Duration = Duration::from_millis(500);
/// Requests that may reach it between then and the end of the pause.
const PAUSE_REQUESTS: usize = 2;
/// What a VM can't serve it refuses within this time.
const AT_ONCE: Duration = Duration::from_millis(150);

const LEAVING: &str = "x-leaving: 1\r\n";

/// A gateway that moves no keys because of load: one key gets all requests of a test.
fn start_unbalanced(name: &str, store: &MemoryStore) -> TestGateway {
    let gateway = TestGateway::start_as(name, store, |settings| {
        settings.policy.load_moves = PolicySwitch::Off;
    });
    gateway.wait_ready();
    gateway
}

/// A gateway in front of these owners of keys, once key 7 is served.
fn owners(name: &str, targets: &[&TestTarget]) -> (TestGateway, MemoryStore) {
    let store = MemoryStore::default();
    targets.iter().for_each(|target| store.list(entry(&target.id, "keyed", target.address)));
    store.declare(declarations(1));
    let gateway = start_unbalanced(name, &store);
    wait_until("the key has its owner", || ask_key(&gateway).contains(" 200 "));
    (gateway, store)
}

fn ask_key(gateway: &TestGateway) -> String {
    gateway.send("GET", "/key/", "x-key: 7\r\n")
}

/// Asks for `length`; gives the answers.
fn ask_for(length: Duration, send: impl Fn() -> String) -> Vec<String> {
    let end = Instant::now() + length;
    let mut responses = Vec::new();
    while Instant::now() < end {
        responses.push(send());
        std::thread::sleep(Duration::from_millis(20));
    }
    responses
}

/// The one of two owners that has key 7, and the other one.
fn owner_of<'a>(gateway: &TestGateway, targets: [&'a TestTarget; 2]) -> [&'a TestTarget; 2] {
    let [one, other] = targets;
    if ask_key(gateway).ends_with(&one.id) { [one, other] } else { [other, one] }
}

#[test]
fn an_owner_that_leaves_while_the_store_is_away_gets_nothing_after_the_bound() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (gateway, store) = owners("vm-leaving-owner", &[&target]);
    store.set_unavailable(true);
    target.set_signals(LEAVING);
    assert!(ask_key(&gateway).contains(" 200 "));
    let told = Instant::now();
    std::thread::sleep(DRAIN.saturating_sub(told.elapsed()));
    target.clear_requests();
    let asked = Instant::now();
    let response = ask_key(&gateway);
    assert!(asked.elapsed() < AT_ONCE, "{:?}", asked.elapsed());
    assert!(response.contains(" 503 ") && response.contains("retry-after"), "{response}");
    ask_for(Duration::from_secs(1), || ask_key(&gateway));
    assert!(target.requests().is_empty(), "{} requests", target.requests().len());
}

#[test]
fn keys_of_an_owner_that_leaves_move_though_the_list_calls_it_ready_and_none_is_refused() {
    let targets = ["t1", "t2"].map(|id| TestTarget::start(id, Behavior::Serve));
    let (gateway, _store) = owners("vm-leaving-keys", &[&targets[0], &targets[1]]);
    let [owner, other] = owner_of(&gateway, [&targets[0], &targets[1]]);
    // On answers to requests only: orders need not tell it.
    owner.set_signals(LEAVING);
    let responses = ask_for(DRAIN, || ask_key(&gateway));
    assert!(responses.iter().all(|response| response.contains(" 200 ")), "{responses:?}");
    owner.clear_requests();
    let responses = ask_for(Duration::from_millis(500), || ask_key(&gateway));
    assert!(responses.iter().all(|response| response.ends_with(&other.id)), "{responses:?}");
    assert!(owner.requests().is_empty());
}

#[test]
fn an_owner_that_tells_the_holder_only_loses_its_keys_too() {
    let targets = ["t1", "t2"].map(|id| TestTarget::start(id, Behavior::Serve));
    let (gateway, store) = owners("vm-leaving-order", &[&targets[0], &targets[1]]);
    let [owner, other] = owner_of(&gateway, [&targets[0], &targets[1]]);
    store.set_leaving(&owner.id);
    std::thread::sleep(DRAIN);
    owner.clear_requests();
    let responses = ask_for(Duration::from_millis(300), || ask_key(&gateway));
    assert!(responses.iter().all(|response| response.ends_with(&other.id)), "{responses:?}");
}

/// The holder of the mandate gets no request itself: another VM tells it.
#[test]
fn a_vm_tells_the_holder_of_the_mandate_that_an_owner_leaves() {
    let targets = ["t1", "t2"].map(|id| TestTarget::start(id, Behavior::Serve));
    let (_holder, store) = owners("vm-leaving-holder", &[&targets[0], &targets[1]]);
    let reader = start_unbalanced("vm-leaving-reader", &store);
    wait_until("the key is served", || ask_key(&reader).contains(" 200 "));
    let [owner, other] = owner_of(&reader, [&targets[0], &targets[1]]);
    assert_eq!(store.mandate_holder().as_deref(), Some("vm-leaving-holder"));
    owner.set_signals(LEAVING);
    let responses = ask_for(DRAIN, || ask_key(&reader));
    assert!(responses.iter().all(|response| response.contains(" 200 ")), "{responses:?}");
    owner.clear_requests();
    let responses = ask_for(Duration::from_millis(300), || ask_key(&reader));
    assert!(responses.iter().all(|response| response.ends_with(&other.id)), "{responses:?}");
    assert!(owner.requests().is_empty());
}

#[test]
fn a_target_that_leaves_is_left_for_others_whatever_its_entry_says_next() {
    let (leaver, other) =
        (TestTarget::start("t1", Behavior::Serve), TestTarget::start("t2", Behavior::Serve));
    let (gateway, store) = gateway_with_targets("vm-leaving-plain", &[&leaver, &other]);
    let send = || gateway.send("GET", "/read/", "");
    leaver.set_signals(LEAVING);
    wait_until("it has told so", || send().contains("x-leaving"));
    leaver.clear_requests();
    let changed = TargetEntry { slots: 5, ..entry("t1", "plain", leaver.address) };
    store.list(changed);
    let responses = ask_for(DRAIN, send);
    assert!(responses.iter().all(|response| response.ends_with("t2")), "{responses:?}");
    assert!(leaver.requests().is_empty(), "{} requests", leaver.requests().len());
}

#[test]
fn the_next_life_of_a_target_that_left_is_used() {
    let (leaver, other) =
        (TestTarget::start("t1", Behavior::Serve), TestTarget::start("t2", Behavior::Serve));
    let (gateway, store) = gateway_with_targets("vm-leaving-life", &[&leaver, &other]);
    let send = || gateway.send("GET", "/read/", "");
    leaver.set_signals(LEAVING);
    wait_until("it has told so", || send().contains("x-leaving"));
    leaver.set_signals("");
    store.list(TargetEntry { born: Some(2), ..entry("t1", "plain", leaver.address) });
    wait_until("its next life is used", || send().ends_with("t1"));
}

#[test]
fn an_owner_that_wants_a_pause_gets_next_to_nothing_until_its_end_and_then_is_used() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (gateway, _store) = owners("vm-pause-owner", &[&target]);
    target.set_behavior(Behavior::Shed);
    target.set_signals("retry-after: 2\r\n");
    let response = ask_key(&gateway);
    let told = Instant::now();
    assert!(response.contains(" 503 ") && response.contains("retry-after"), "{response}");
    std::thread::sleep(PAUSE_SLACK);
    target.clear_requests();
    let asked = Instant::now();
    assert!(ask_key(&gateway).contains("target-paused"), "a refusal of its own");
    assert!(asked.elapsed() < AT_ONCE, "{:?}", asked.elapsed());
    let left = Duration::from_secs(2).saturating_sub(told.elapsed() + Duration::from_millis(50));
    ask_for(left, || ask_key(&gateway));
    assert!(target.requests().len() <= PAUSE_REQUESTS, "{} requests", target.requests().len());
    target.set_behavior(Behavior::Serve);
    wait_until("it is used again", || ask_key(&gateway).contains(" 200 "));
    assert!(told.elapsed() < Duration::from_millis(2_500), "{:?}", told.elapsed());
}

#[test]
fn keys_of_an_owner_that_wants_a_pause_move_to_others() {
    let targets = ["t1", "t2"].map(|id| TestTarget::start(id, Behavior::Serve));
    let (gateway, _store) = owners("vm-pause-keys", &[&targets[0], &targets[1]]);
    let [owner, other] = owner_of(&gateway, [&targets[0], &targets[1]]);
    owner.set_behavior(Behavior::Shed);
    owner.set_signals("retry-after: 5\r\n");
    let refused = Instant::now();
    wait_until("the key is served again", || ask_key(&gateway).ends_with(&other.id));
    // The pause is told within half a second, and a move takes less.
    assert!(refused.elapsed() < Duration::from_millis(1_500), "{:?}", refused.elapsed());
}

#[test]
fn the_next_life_of_an_owner_that_wanted_a_pause_gets_keys_at_once() {
    let targets = ["t1", "t2"].map(|id| TestTarget::start(id, Behavior::Serve));
    let store = MemoryStore::default();
    targets.iter().for_each(|target| store.list(entry(&target.id, "keyed", target.address)));
    store.declare(declarations(1));
    let gateway = TestGateway::start("vm-pause-life", &store);
    gateway.wait_ready();
    let send = |key: u16| gateway.send("GET", "/key/", &format!("x-key: {key}\r\n"));
    let ask_all = || (0..=u16::MAX).step_by(4_001).map(send).collect::<Vec<_>>();
    let served_by = |id: &str| {
        let responses = ask_all();
        responses.iter().all(|response| response.contains(" 200 "))
            && responses.iter().any(|response| response.ends_with(id))
    };
    wait_until("both own keys", || served_by("t1") && served_by("t2"));
    targets[0].set_behavior(Behavior::Shed);
    targets[0].set_signals("retry-after: 5\r\n");
    wait_until("its keys have moved", || ask_all().iter().all(|response| response.ends_with("t2")));
    targets[0].set_behavior(Behavior::Serve);
    targets[0].set_signals("");
    store.list(TargetEntry { born: Some(2), ..entry("t1", "keyed", targets[0].address) });
    let started = Instant::now();
    wait_until("its next life owns keys", || served_by("t1"));
    assert!(started.elapsed() < Duration::from_millis(4_000), "{:?}", started.elapsed());
}

/// A pause says nothing of its holds: they are renewed, and its keys stay when nobody else can have them.
#[test]
fn the_only_owner_keeps_its_keys_though_it_wants_a_pause() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (gateway, store) = owners("vm-pause-only", &[&target]);
    target.set_behavior(Behavior::Shed);
    target.set_signals("retry-after: 2.5\r\n");
    ask_key(&gateway);
    std::thread::sleep(Duration::from_millis(1_000));
    let orders = store.orders().len();
    std::thread::sleep(Duration::from_millis(1_500));
    let later = store.orders().split_off(orders);
    assert!(!later.is_empty(), "its hold is renewed each second");
    assert!(later.iter().all(|order| order.kind.as_str() == "grant"), "{later:?}");
}

#[test]
fn many_callers_at_once_do_not_break_a_pause() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (gateway, _store) = owners("vm-pause-rush", &[&target]);
    target.set_behavior(Behavior::Shed);
    target.set_signals("retry-after: 1.5\r\n");
    ask_key(&gateway);
    let told = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..20 {
            scope.spawn(|| ask_for(PAUSE_SLACK, || ask_key(&gateway)));
        }
    });
    target.clear_requests();
    let left = Duration::from_millis(1_450).saturating_sub(told.elapsed());
    std::thread::scope(|scope| {
        for _ in 0..20 {
            scope.spawn(|| ask_for(left, || ask_key(&gateway)));
        }
    });
    assert!(target.requests().len() <= PAUSE_REQUESTS, "{} requests", target.requests().len());
}

/// Each answer woke one of those that waited; the others waited until they could not be in time any more.
#[test]
fn requests_that_wait_for_their_turn_are_refused_as_soon_as_a_pause_begins() {
    for path in ["/key/", "/read/"] {
        let service = if path == "/key/" { "keyed" } else { "plain" };
        let target = TestTarget::start("t1", Behavior::Serve);
        let store = MemoryStore::default();
        store.list(entry("t1", service, target.address));
        store.declare(declarations(1));
        let gateway = start_unbalanced("vm-pause-waiting", &store);
        let send = || gateway.send("GET", path, "x-key: 7\r\n");
        wait_until("it is served", || send().contains(" 200 "));
        let answer_time = Duration::from_millis(100);
        target.set_behavior(Behavior::ShedAfter(answer_time));
        target.set_signals("retry-after: 2\r\n");
        let asked = Instant::now();
        std::thread::scope(|scope| {
            for _ in 0..12 {
                scope.spawn(|| {
                    let response = send();
                    assert!(response.contains(" 503 "), "{response}");
                    assert!(asked.elapsed() < answer_time + AT_ONCE, "{:?}", asked.elapsed());
                });
            }
        });
    }
}

#[test]
fn a_target_that_wants_a_pause_is_left_for_others_meanwhile() {
    let (tired, other) =
        (TestTarget::start("t1", Behavior::Serve), TestTarget::start("t2", Behavior::Serve));
    let (gateway, _store) = gateway_with_targets("vm-pause-plain", &[&tired, &other]);
    let send = || gateway.send("GET", "/read/", "");
    tired.set_behavior(Behavior::Shed);
    tired.set_signals("retry-after: 1.5\r\n");
    wait_until("it has asked for a pause", || {
        send();
        !tired.requests().is_empty()
    });
    tired.clear_requests();
    let responses = ask_for(Duration::from_millis(1_400), send);
    assert!(responses.iter().all(|response| response.ends_with("t2")), "{responses:?}");
    assert!(tired.requests().len() <= PAUSE_REQUESTS, "{} requests", tired.requests().len());
    tired.set_behavior(Behavior::Serve);
    wait_until("it is used again", || send().ends_with("t1"));
}

#[test]
fn a_pause_that_can_not_be_read_is_none() {
    for pause in ["soon", "-3", "NaN", "inf"] {
        let target = TestTarget::start("t1", Behavior::Serve);
        let (gateway, _store) = gateway_with_targets("vm-pause-unread", &[&target]);
        let send = || gateway.send("GET", "/read/", "");
        target.set_behavior(Behavior::Shed);
        target.set_signals(&format!("retry-after: {pause}\r\n"));
        send();
        target.set_behavior(Behavior::Serve);
        wait_until("it is used at once", || send().contains(" 200 "));
    }
}
