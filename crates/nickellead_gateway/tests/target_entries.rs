//! Unreadable entries of targets, and targets that restart with the same id.
#![allow(clippy::unwrap_used)]

mod common;

use common::store::MemoryStore;
use common::target::{Behavior, TestTarget};
use common::{TestGateway, declarations, entry, wait_until};
use nickellead_gateway::TargetEntry;

#[test]
fn a_target_with_an_unreadable_entry_gets_no_requests() {
    let (corrupted, intact) =
        (TestTarget::start("spoilt", Behavior::Serve), TestTarget::start("sound", Behavior::Serve));
    let store = MemoryStore::default();
    store.list(entry("spoilt", "plain", corrupted.address));
    store.list(entry("sound", "plain", intact.address));
    store.declare(declarations(1));
    let gateway = TestGateway::start("vm-spoilt", &store);
    gateway.wait_ready();
    let serves = || gateway.send("GET", "/read/", "").contains(" 200 ");
    wait_until("both targets serve", || {
        serves() && !corrupted.requests().is_empty() && !intact.requests().is_empty()
    });
    store.corrupt_entry("spoilt");
    std::thread::sleep(std::time::Duration::from_millis(800));
    corrupted.clear_requests();
    assert!((0..30).all(|_| serves()));
    assert!(corrupted.requests().is_empty(), "{:?}", corrupted.requests());
    store.list(entry("spoilt", "plain", corrupted.address));
    wait_until("the target is used again", || serves() && !corrupted.requests().is_empty());
}

#[test]
fn a_restarted_target_gets_its_keys_under_a_higher_fence() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let store = MemoryStore::default();
    let instance = |born| TargetEntry { born: Some(born), ..entry("t1", "keyed", target.address) };
    store.list(instance(1));
    store.declare(declarations(1));
    let gateway = TestGateway::start("vm-life", &store);
    gateway.wait_ready();
    let send = || gateway.send("GET", "/key/", "x-key: 7\r\n");
    wait_until("the key is served", || send().contains(" 200 "));
    let fence = store.range_map().unwrap().fence;
    store.list(instance(2));
    wait_until("the new instance owns the keys", || {
        let map = store.range_map().unwrap();
        let range = map.find("keyed", 7).unwrap();
        range.settled && range.owner.as_ref().is_some_and(|owner| owner.born == Some(2))
    });
    assert!(store.range_map().unwrap().find("keyed", 7).unwrap().fence > fence);
    assert!(send().contains(" 200 "));
}
