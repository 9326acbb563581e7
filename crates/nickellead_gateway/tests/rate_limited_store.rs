//! A store that refuses calls because VMs make too many, which is no outage of the store.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod common;

use std::time::Duration;

use common::store::MemoryStore;
use common::target::{Behavior, TestTarget};
use common::{TestGateway, declarations, entry, wait_until};

/// Until a VM watches the store.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);
const LIMITED_TIME: Duration = Duration::from_millis(3_000);
/// Time after its entry went for which a target serves requests.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Most calls of the VM per second while all that count are refused.
const MAX_CALLS_PER_SECOND: f64 = 15.0;

/// Guards against requests to targets that left: calls beyond the rate counted as an outage of the
/// store, after which entries that go are kept as if they had only expired.
#[test]
fn a_call_beyond_the_rate_is_no_outage() {
    let store = MemoryStore::default();
    let targets = ["t-0", "t-1"].map(|id| TestTarget::start(id, Behavior::Serve));
    targets.iter().for_each(|target| store.list(entry(&target.id, "plain", target.address)));
    store.declare(declarations(1));
    let gateway = TestGateway::start("vm-limited", &store);
    gateway.wait_ready();
    std::thread::sleep(SETTLE_TIME);
    let calls = store.call_count();
    store.set_rate_limited(true);
    std::thread::sleep(LIMITED_TIME);
    let rate = (store.call_count() - calls) as f64 / LIMITED_TIME.as_secs_f64();
    println!("{rate:.1} calls a second");
    store.set_rate_limited(false);
    store.unlist("t-0");
    std::thread::sleep(DRAIN_TIME);
    targets.iter().for_each(TestTarget::clear_requests);
    (0..20).for_each(|_| drop(gateway.send("GET", "/read/a", "")));
    assert_eq!(targets[0].requests().len(), 0, "requests to a target that has gone");
    assert_eq!(gateway.metric("nickellead_store_outages_total"), 0.0);
    assert!(rate < MAX_CALLS_PER_SECOND, "{rate:.1} calls a second");
    store.set_unavailable(true);
    wait_until("an outage is known", || gateway.metric("nickellead_store_outages_total") == 1.0);
}
