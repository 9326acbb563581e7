//! Entries that can't be read, and targets that start again under their identities.
#![allow(clippy::unwrap_used)]

mod common;

use common::store::MemoryStore;
use common::target::{Behavior, TestTarget};
use common::{TestGateway, declarations, entry, wait_until};
use nickellead_gateway::TargetEntry;

#[test]
fn an_entry_that_becomes_unreadable_names_no_target() {
    let (spoilt, sound) =
        (TestTarget::start("spoilt", Behavior::Serve), TestTarget::start("sound", Behavior::Serve));
    let store = MemoryStore::default();
    store.list(entry("spoilt", "plain", spoilt.address));
    store.list(entry("sound", "plain", sound.address));
    store.declare(declarations(1));
    let gateway = TestGateway::start("vm-spoilt", &store);
    gateway.wait_ready();
    let serves = || gateway.send("GET", "/read/", "").contains(" 200 ");
    wait_until("both serve", || {
        serves() && !spoilt.requests().is_empty() && !sound.requests().is_empty()
    });
    store.corrupt_entry("spoilt");
    std::thread::sleep(std::time::Duration::from_millis(800));
    spoilt.clear_requests();
    assert!((0..30).all(|_| serves()));
    assert!(spoilt.requests().is_empty(), "{:?}", spoilt.requests());
    store.list(entry("spoilt", "plain", spoilt.address));
    wait_until("it is used again", || serves() && !spoilt.requests().is_empty());
}

#[test]
fn another_life_under_the_same_identity_gets_its_keys_anew_under_a_higher_fence() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let store = MemoryStore::default();
    let instance = |born| TargetEntry { born: Some(born), ..entry("t1", "keyed", target.address) };
    store.list(instance(1));
    store.declare(declarations(1));
    let gateway = TestGateway::start("vm-life", &store);
    gateway.wait_ready();
    let send = || gateway.send("GET", "/key/", "x-key: 7\r\n");
    wait_until("the key has its owner", || send().contains(" 200 "));
    let fence = store.range_map().unwrap().fence;
    store.list(instance(2));
    wait_until("the next life owns the keys", || {
        let map = store.range_map().unwrap();
        let range = map.find("keyed", 7).unwrap();
        range.settled && range.owner.as_ref().is_some_and(|owner| owner.born == Some(2))
    });
    assert!(store.range_map().unwrap().find("keyed", 7).unwrap().fence > fence);
    assert!(send().contains(" 200 "));
}
