//! Updates from an upstream that is behind, slow, or has just started.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod common;

use std::time::{Duration, Instant};

use common::store::{MemoryStore, StoreObject};
use common::target::{Behavior, TestTarget};
use common::{TestGateway, declarations, entry, gateway_with_targets, route, wait_until};
use nickellead_gateway::{Declarations, RepeatClass, RouteRule};

/// How long a VM is checked to keep its state.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn serves(gateway: &TestGateway, path: &str) -> bool {
    gateway.send("GET", path, "").contains(" 200 ")
}

/// Guards against applying the empty list of targets of a VM that takes the mandate (leader lease)
/// before it has read the targets: a list without a revision would count as the newest.
#[test]
fn subscribers_of_a_starting_mandate_holder_keep_their_targets() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (mut first, store) = gateway_with_targets("vm-first", &[&target]);
    let subscriber =
        TestGateway::start_as("vm-reader", &store, |settings| settings.cpu_share = 0.1);
    subscriber.wait_ready();
    wait_until("the subscriber serves", || serves(&subscriber, "/read/"));
    store.set_withheld("vm-new", StoreObject::Targets, true);
    let handle = first.handle.take().unwrap();
    let stopping = std::thread::spawn(move || handle.stop());
    wait_until("the mandate is released", || store.mandate_is_vacant());
    let _new_holder = TestGateway::start("vm-new", &store);
    wait_until("the new VM holds the mandate", || {
        store.mandate_holder().as_deref() == Some("vm-new")
    });
    let taken_at = Instant::now();
    while taken_at.elapsed() < OBSERVATION_TIME {
        let response = subscriber.send("GET", "/read/", "");
        assert!(
            response.contains(" 200 "),
            "{:?} after the new VM took the mandate: {response}",
            taken_at.elapsed()
        );
        std::thread::sleep(POLL_INTERVAL);
    }
    assert!(stopping.join().unwrap());
}

/// Guards against different precedence of routes with the same host and prefix: the first one
/// applies, but a change lists routes in another order than the store, and the digest ignores their
/// order.
#[test]
fn routes_with_the_same_prefix_have_the_same_precedence_on_all_vms() {
    let (first_target, second_target) =
        (TestTarget::start("t1", Behavior::Serve), TestTarget::start("t2", Behavior::Serve));
    let store = MemoryStore::default();
    store.list(entry("t1", "plain", first_target.address));
    store.list(entry("t2", "other", second_target.address));
    let mut initial = declarations(1);
    let rule = initial.services["plain"].clone();
    initial.services.insert("other".to_owned(), rule);
    store.declare(initial.clone());
    let holder = TestGateway::start("vm-holder", &store);
    holder.wait_ready();
    let subscriber = TestGateway::start("vm-reader", &store);
    subscriber.wait_ready();
    wait_until("both VMs serve", || serves(&holder, "/read/") && serves(&subscriber, "/read/"));
    std::thread::sleep(Duration::from_secs(2));
    let shadow =
        RouteRule { name: "shadow".to_owned(), ..route("read", "other", RepeatClass::Safe) };
    let mut routes = vec![shadow.into()];
    routes.extend(initial.routes.clone());
    routes.push(route("mark", "plain", RepeatClass::Safe).into());
    store.declare(Declarations { version: 2, routes, ..initial });
    for gateway in [&holder, &subscriber] {
        wait_until("version 2 is active", || serves(gateway, "/mark/"));
    }
    let responses = [&holder, &subscriber].map(|gateway| {
        let response = gateway.send("GET", "/read/", "");
        response.lines().last().unwrap_or_default().to_owned()
    });
    assert_eq!(responses[0], responses[1], "mandate holder and subscriber use different routes");
}

/// Guards against a subscriber that waits for large declarations over a slow link because small
/// updates still arrive in time.
#[test]
fn declarations_over_a_slow_link_become_active_in_time() {
    const LINK_BYTES_PER_SECOND: f64 = 26_000.0;
    const MAX_ACTIVATION_DELAY: Duration = Duration::from_millis(2_500);
    let target = TestTarget::start("t1", Behavior::Serve);
    let store = MemoryStore::default();
    store.list(entry("t1", "plain", target.address));
    store.declare(declarations(1));
    let (holder, _link) = TestGateway::start_linked("vm-holder", &store, LINK_BYTES_PER_SECOND);
    holder.wait_ready();
    let subscriber = TestGateway::start("vm-reader", &store);
    wait_until("the subscriber serves", || serves(&subscriber, "/read/"));
    std::thread::sleep(Duration::from_secs(3));
    let mut newer = declarations(2);
    let mut rng = fastrand::Rng::with_seed(3);
    let mut random_letters = || -> String { (0..12).map(|_| rng.lowercase()).collect() };
    newer.routes.extend((0..4_000).map(|_| {
        let route = route(&random_letters(), "plain", RepeatClass::Safe);
        RouteRule { host: random_letters(), ..route }.into()
    }));
    newer.routes.push(route("mark", "plain", RepeatClass::Safe).into());
    let calls = store.declaration_calls("vm-reader");
    let declared_at = Instant::now();
    store.declare(newer);
    wait_until("version 2 is active", || serves(&subscriber, "/mark/"));
    let delay = declared_at.elapsed();
    let calls = store.declaration_calls("vm-reader") - calls;
    println!("active after {delay:.2?}; the subscriber called the store {calls} times");
    assert!(delay <= MAX_ACTIVATION_DELAY, "active after {delay:?}");
}

/// Guards against a subscriber that forgets its revision because an upstream with expired entries
/// reports none, and then applies the upstream's older list of targets.
#[test]
fn a_subscriber_keeps_newer_targets_than_those_of_an_upstream_with_expired_entries() {
    /// Longer than the mandate holder's probe needs to detect the return of the store.
    const STORE_RECOVERY_TIME: Duration = Duration::from_millis(450);
    let targets = ["t0", "t1", "t9"].map(|id| TestTarget::start(id, Behavior::Serve));
    let store = MemoryStore::default();
    store.list(entry("t0", "plain", targets[0].address));
    store.list(entry("t1", "plain", targets[1].address));
    let mut declared = declarations(1);
    let rule = declared.services["plain"].clone();
    declared.services.insert("other".to_owned(), rule);
    declared.routes.push(route("other", "other", RepeatClass::Safe).into());
    store.declare(declared);
    let (holder, link) = TestGateway::start_linked("vm-holder", &store, 1e9);
    holder.wait_ready();
    let subscriber =
        TestGateway::start_as("vm-reader", &store, |settings| settings.cpu_share = 0.1);
    wait_until("the subscriber serves", || serves(&subscriber, "/read/"));
    link.set_cut(true);
    wait_until("the subscriber watches the store", || store.watching_vms() == 2);
    store.set_withheld("vm-reader", StoreObject::Targets, true);
    store.set_unavailable(true);
    store.unlist("t0");
    std::thread::sleep(Duration::from_secs(1));
    store.set_unavailable(false);
    std::thread::sleep(STORE_RECOVERY_TIME);
    store.set_withheld("vm-holder", StoreObject::Targets, true);
    store.list(entry("t9", "other", targets[2].address));
    store.set_withheld("vm-reader", StoreObject::Targets, false);
    wait_until("the subscriber knows the new target", || serves(&subscriber, "/other/"));
    link.set_cut(false);
    let restored_at = Instant::now();
    while restored_at.elapsed() < OBSERVATION_TIME {
        let response = subscriber.send("GET", "/other/", "");
        assert!(
            response.contains(" 200 "),
            "{:?} after the link was restored: {response}",
            restored_at.elapsed()
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Guards against requests to targets that have left: a VM that subscribes to another VM after the
/// store's return must still drop expired entries at the end of their grace period.
#[test]
fn expired_entries_are_dropped_while_subscribed_to_another_vm() {
    /// Until the subscriber has read the store after its return.
    const STORE_READ_TIME: Duration = Duration::from_millis(1_200);
    /// Until expired entries are dropped after the return, with a margin for scheduling.
    const EXPIRY_TIME: Duration = Duration::from_millis(3_200);
    let targets = ["t0", "t1"].map(|id| TestTarget::start(id, Behavior::Serve));
    let store = MemoryStore::default();
    store.list(entry("t0", "plain", targets[0].address));
    store.list(entry("t1", "keyed", targets[1].address));
    store.declare(declarations(1));
    let (holder, link) = TestGateway::start_linked("vm-holder", &store, 1e9);
    holder.wait_ready();
    let subscriber =
        TestGateway::start_as("vm-reader", &store, |settings| settings.cpu_share = 0.1);
    wait_until("the subscriber serves", || serves(&subscriber, "/read/"));
    link.set_cut(true);
    wait_until("the subscriber watches the store", || store.watching_vms() == 2);
    // The mandate holder keeps its older list.
    store.set_withheld("vm-holder", StoreObject::Targets, true);
    store.set_unavailable(true);
    store.unlist("t0");
    std::thread::sleep(Duration::from_secs(1));
    store.set_unavailable(false);
    let returned_at = Instant::now();
    std::thread::sleep(STORE_READ_TIME);
    link.set_cut(false);
    wait_until("the subscriber subscribes to the mandate holder", || store.watching_vms() == 1);
    std::thread::sleep(EXPIRY_TIME.saturating_sub(returned_at.elapsed()));
    targets[0].clear_requests();
    let response = subscriber.send("GET", "/read/", "");
    assert!(
        !response.contains(" 200 "),
        "{:?} after the return: {response}",
        returned_at.elapsed()
    );
    assert_eq!(targets[0].requests().len(), 0, "requests to a target that has left");
}
