//! What a VM takes over from a source that is itself behind, slow, or has just started.
//!
//! Seen: by reading the code of news between VMs, not in a play. How and cause: at each test. Proof: the
//! tests below, through whole gateways that share a store in memory.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod common;

use std::time::{Duration, Instant};

use common::store::{MemoryStore, StoreObject};
use common::target::{Behavior, TestTarget};
use common::{TestGateway, declarations, entry, gateway_with_targets, route, wait_until};
use nickellead_gateway::{Declarations, RepeatClass, RouteRule};

/// How long a VM is watched that must keep what it knows.
const WATCH: Duration = Duration::from_secs(3);
/// Between two looks.
const LOOK: Duration = Duration::from_millis(20);

fn serves(gateway: &TestGateway, path: &str) -> bool {
    gateway.send("GET", path, "").contains(" 200 ")
}

/// A VM that takes the mandate before it has read the targets tells an empty list. It is taken over,
/// because a list without a revision of the store is taken for newer than any.
#[test]
fn a_holder_that_has_just_started_leaves_its_readers_their_targets() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (mut first, store) = gateway_with_targets("vm-first", &[&target]);
    let reader = TestGateway::start_as("vm-reader", &store, |settings| settings.cpu_share = 0.1);
    reader.wait_ready();
    wait_until("the reader serves", || serves(&reader, "/read/"));
    store.set_withheld("vm-new", StoreObject::Targets, true);
    let handle = first.handle.take().unwrap();
    let stopping = std::thread::spawn(move || handle.stop());
    wait_until("the mandate is given back", || store.mandate_is_vacant());
    let _new = TestGateway::start("vm-new", &store);
    wait_until("the new VM leads", || store.mandate_holder().as_deref() == Some("vm-new"));
    let taken = Instant::now();
    while taken.elapsed() < WATCH {
        let response = reader.send("GET", "/read/", "");
        assert!(
            response.contains(" 200 "),
            "{:?} after the new VM led: {response}",
            taken.elapsed()
        );
        std::thread::sleep(LOOK);
    }
    assert!(stopping.join().unwrap());
}

/// Of two routes with one host and prefix the first one counts. A change tells the routes in another
/// order than the store, and the digest does not tell the two apart.
#[test]
fn routes_with_one_prefix_count_in_the_same_order_on_all_vms() {
    let (one, other) =
        (TestTarget::start("t1", Behavior::Serve), TestTarget::start("t2", Behavior::Serve));
    let store = MemoryStore::default();
    store.list(entry("t1", "plain", one.address));
    store.list(entry("t2", "other", other.address));
    let mut first = declarations(1);
    let rule = first.services["plain"].clone();
    first.services.insert("other".to_owned(), rule);
    store.declare(first.clone());
    let holder = TestGateway::start("vm-holder", &store);
    holder.wait_ready();
    let reader = TestGateway::start("vm-reader", &store);
    reader.wait_ready();
    wait_until("both serve", || serves(&holder, "/read/") && serves(&reader, "/read/"));
    std::thread::sleep(Duration::from_secs(2));
    let shadow =
        RouteRule { name: "shadow".to_owned(), ..route("read", "other", RepeatClass::Safe) };
    let mut routes = vec![shadow.into()];
    routes.extend(first.routes.clone());
    routes.push(route("mark", "plain", RepeatClass::Safe).into());
    store.declare(Declarations { version: 2, routes, ..first });
    for gateway in [&holder, &reader] {
        wait_until("version 2 is in force", || serves(gateway, "/mark/"));
    }
    let responses = [&holder, &reader].map(|gateway| {
        let response = gateway.send("GET", "/read/", "");
        response.lines().last().unwrap_or_default().to_owned()
    });
    assert_eq!(responses[0], responses[1], "holder and reader");
}

/// Small news go on arriving while large declarations crawl, so nothing tells the reader to look
/// elsewhere; neither do its own readers learn that there are newer declarations.
#[test]
fn declarations_that_crawl_are_in_force_in_time() {
    /// Bytes a second.
    const CRAWL: f64 = 26_000.0;
    const IN_FORCE: Duration = Duration::from_millis(2_500);
    let target = TestTarget::start("t1", Behavior::Serve);
    let store = MemoryStore::default();
    store.list(entry("t1", "plain", target.address));
    store.declare(declarations(1));
    let (holder, _link) = TestGateway::start_linked("vm-holder", &store, CRAWL);
    holder.wait_ready();
    let reader = TestGateway::start("vm-reader", &store);
    wait_until("the reader serves", || serves(&reader, "/read/"));
    std::thread::sleep(Duration::from_secs(3));
    let mut newer = declarations(2);
    let mut rng = fastrand::Rng::with_seed(3);
    let mut letters = || -> String { (0..12).map(|_| rng.lowercase()).collect() };
    newer.routes.extend((0..4_000).map(|_| {
        let route = route(&letters(), "plain", RepeatClass::Safe);
        RouteRule { host: letters(), ..route }.into()
    }));
    newer.routes.push(route("mark", "plain", RepeatClass::Safe).into());
    let calls = store.declaration_calls("vm-reader");
    let declared = Instant::now();
    store.declare(newer);
    wait_until("version 2 is in force", || serves(&reader, "/mark/"));
    let took = declared.elapsed();
    let calls = store.declaration_calls("vm-reader") - calls;
    println!("in force after {took:.2?}; the reader asked the store {calls} times");
    assert!(took <= IN_FORCE, "in force after {took:?}");
}

/// A source with entries that may only have lapsed tells no revision of the store. Its first answer
/// rightly tells a reader with newer targets nothing of them, but makes the reader forget its own
/// revision; with the next answer the reader takes over the older list.
#[test]
fn a_source_with_lapsed_entries_that_is_behind_leaves_its_reader_the_newer_targets() {
    /// More than the holder's probe of the store needs to notice its return.
    const RETURN: Duration = Duration::from_millis(450);
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
    let reader = TestGateway::start_as("vm-reader", &store, |settings| settings.cpu_share = 0.1);
    wait_until("the reader serves", || serves(&reader, "/read/"));
    link.set_cut(true);
    wait_until("the reader follows the store", || store.watching_vms() == 2);
    store.set_withheld("vm-reader", StoreObject::Targets, true);
    store.set_unavailable(true);
    store.unlist("t0");
    std::thread::sleep(Duration::from_secs(1));
    store.set_unavailable(false);
    std::thread::sleep(RETURN);
    store.set_withheld("vm-holder", StoreObject::Targets, true);
    store.list(entry("t9", "other", targets[2].address));
    store.set_withheld("vm-reader", StoreObject::Targets, false);
    wait_until("the reader knows the new target", || serves(&reader, "/other/"));
    link.set_cut(false);
    let joined = Instant::now();
    while joined.elapsed() < WATCH {
        let response = reader.send("GET", "/other/", "");
        assert!(response.contains(" 200 "), "{:?} after the link: {response}", joined.elapsed());
        std::thread::sleep(LOOK);
    }
}

/// Entries that may only have lapsed are kept for 2.2 s after the store's return, and were dropped by a VM
/// only while it followed the store. A holder of the mandate that was cut off from the store came back,
/// read the list, and followed another VM 1.1 s later, which knew no newer list than that for 1.7 s more:
/// it sent requests to targets that had left twelve seconds before.
#[test]
fn lapsed_entries_are_dropped_though_another_vm_is_followed_meanwhile() {
    /// Until the reader has read the store after its return.
    const RETURN: Duration = Duration::from_millis(1_200);
    /// Until lapsed entries count as gone after the return, and a little for the machine.
    const LAPSED: Duration = Duration::from_millis(3_200);
    let targets = ["t0", "t1"].map(|id| TestTarget::start(id, Behavior::Serve));
    let store = MemoryStore::default();
    store.list(entry("t0", "plain", targets[0].address));
    store.list(entry("t1", "keyed", targets[1].address));
    store.declare(declarations(1));
    let (holder, link) = TestGateway::start_linked("vm-holder", &store, 1e9);
    holder.wait_ready();
    let reader = TestGateway::start_as("vm-reader", &store, |settings| settings.cpu_share = 0.1);
    wait_until("the reader serves", || serves(&reader, "/read/"));
    link.set_cut(true);
    wait_until("the reader follows the store", || store.watching_vms() == 2);
    // The holder stays behind.
    store.set_withheld("vm-holder", StoreObject::Targets, true);
    store.set_unavailable(true);
    store.unlist("t0");
    std::thread::sleep(Duration::from_secs(1));
    store.set_unavailable(false);
    let returned = Instant::now();
    std::thread::sleep(RETURN);
    link.set_cut(false);
    wait_until("the reader follows the holder", || store.watching_vms() == 1);
    std::thread::sleep(LAPSED.saturating_sub(returned.elapsed()));
    targets[0].clear_requests();
    let response = reader.send("GET", "/read/", "");
    assert!(!response.contains(" 200 "), "{:?} after the return: {response}", returned.elapsed());
    assert_eq!(targets[0].requests().len(), 0, "requests to a target that has left");
}
