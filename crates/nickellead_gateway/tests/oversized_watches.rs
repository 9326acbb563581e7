//! Watches whose responses are too large to be read.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod common;

use std::time::{Duration, Instant};

use common::store::MemoryStore;
use common::target::{Behavior, TestTarget};
use common::{declarations, entry, start_pair, wait_until};

/// Time within which every VM uses new declarations, and sends no request to a target that has gone.
const MAX_DELAY: Duration = Duration::from_millis(2_000);
/// Until a VM has found its upstream.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);
/// Time over which calls are counted.
const COUNTED_TIME: Duration = Duration::from_millis(3_000);
/// Most calls per second of a VM whose watches all fail.
const MAX_CALLS_PER_SECOND: f64 = 20.0;

/// Guards against VMs that use old declarations and targets until the store forgets its history: a watch
/// whose response was too large was repeated from the same revision, and counted as up to date.
#[test]
fn what_a_watch_can_not_tell_is_read_as_a_whole() {
    let store = MemoryStore::default();
    let targets = ["t-0", "t-1"].map(|id| TestTarget::start(id, Behavior::Serve));
    targets.iter().for_each(|target| store.list(entry(&target.id, "plain", target.address)));
    store.declare(declarations(1));
    let gateways = start_pair(&store);
    std::thread::sleep(SETTLE_TIME);
    store.set_oversized_watches(true);
    for version in 2..5 {
        store.declare(declarations(version));
        let declared_at = Instant::now();
        wait_until("all VMs use the new declarations", || {
            gateways.iter().all(|gateway| gateway.is_version_active(version))
        });
        let delay = declared_at.elapsed();
        println!("version {version} is active after {delay:.2?}");
        assert!(delay < MAX_DELAY, "version {version} is active after {delay:?}");
    }
    store.unlist("t-0");
    std::thread::sleep(MAX_DELAY);
    targets.iter().for_each(TestTarget::clear_requests);
    for gateway in &gateways {
        (0..20).for_each(|_| drop(gateway.send("GET", "/read/a", "")));
    }
    assert_eq!(targets[0].requests().len(), 0, "requests to a target that has gone");
    assert!(!targets[1].requests().is_empty());
    let calls = store.call_count();
    std::thread::sleep(COUNTED_TIME);
    let rate = (store.call_count() - calls) as f64 / COUNTED_TIME.as_secs_f64();
    assert!(rate < MAX_CALLS_PER_SECOND, "{rate:.1} calls a second");
}
