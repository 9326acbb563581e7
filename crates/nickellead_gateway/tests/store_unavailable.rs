//! Calls of the store by a fleet while the store is unavailable, and propagation after its return.
//!
//! Guards against a fleet in which every VM polls the unavailable store by itself.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod common;

use std::time::{Duration, Instant};

use common::store::MemoryStore;
use common::{TestGateway, declarations, route, wait_until};
use nickellead_gateway::RepeatClass;

const ZONES: usize = 2;
/// VMs besides the mandate holder, with too little CPU to take the mandate (leader lease) at once.
const SUBSCRIBERS: usize = 24;
/// Until the VMs have found their upstreams.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);
const OUTAGE: Duration = Duration::from_millis(5_000);
/// Maximum calls per VM and second of the outage, averaged over the fleet.
const MAX_CALLS_PER_VM_SECOND: f64 = 1.5;
/// Maximum delay until declarations written at the return are active on all VMs.
const MAX_ACTIVATION_DELAY: Duration = Duration::from_millis(2_000);

#[test]
fn few_vms_poll_an_unavailable_store_and_all_learn_of_its_return() {
    let store = MemoryStore::default();
    store.declare(declarations(1));
    let holder = TestGateway::start("vm-0", &store);
    wait_until("the first VM holds the mandate", || {
        store.mandate_holder().as_deref() == Some("vm-0")
    });
    wait_until("the VM knows the declarations", || holder.is_version_active(1));
    let start = |index: usize| {
        TestGateway::start_as(&format!("vm-{index}"), &store, |settings| {
            settings.zone = format!("zone-{}", index % ZONES);
            settings.cpu_share = 0.1;
        })
    };
    let subscribers: Vec<TestGateway> = (1..=SUBSCRIBERS).map(start).collect();
    wait_until("all VMs know the declarations", || {
        subscribers.iter().all(|subscriber| subscriber.is_version_active(1))
    });
    std::thread::sleep(SETTLE_TIME);

    let before = store.call_count();
    store.set_unavailable(true);
    std::thread::sleep(OUTAGE);
    let calls = store.call_count() - before;
    store.set_unavailable(false);
    let mut newer = declarations(2);
    newer.routes.push(route("added", "keyed", RepeatClass::Safe).into());
    store.declare(newer);
    let returned_at = Instant::now();
    wait_until("all VMs know the new declarations", || {
        subscribers.iter().all(|subscriber| subscriber.is_version_active(2))
    });
    let delay = returned_at.elapsed();
    println!(
        "{calls} calls during the outage; new declarations active on all VMs after {delay:.2?}"
    );
    let max_calls = (SUBSCRIBERS + 1) as f64 * OUTAGE.as_secs_f64() * MAX_CALLS_PER_VM_SECOND;
    assert!(calls as f64 <= max_calls, "{calls} calls during the outage");
    assert!(delay <= MAX_ACTIVATION_DELAY, "new declarations active after {delay:?}");
}

/// Guards against calls for targets, ranges and declarations of an unavailable store: calls for the
/// mandate already detect its return, and failed calls cost as much as others.
#[test]
fn an_unavailable_store_is_polled_for_the_mandate_only() {
    let store = MemoryStore::default();
    store.declare(declarations(1));
    let gateway = TestGateway::start("vm-alone", &store);
    wait_until("the VM knows the declarations", || gateway.is_version_active(1));
    std::thread::sleep(SETTLE_TIME);
    store.set_unavailable(true);
    // Until the calls in flight have ended.
    std::thread::sleep(Duration::from_millis(1_000));
    let before = store.non_mandate_read_count();
    std::thread::sleep(OUTAGE);
    let calls = store.non_mandate_read_count() - before;
    store.set_unavailable(false);
    assert_eq!(calls, 0, "reads other than the mandate's during the outage");
    store.declare(declarations(2));
    let returned_at = Instant::now();
    wait_until("the VM knows the new declarations", || gateway.is_version_active(2));
    assert!(
        returned_at.elapsed() <= MAX_ACTIVATION_DELAY,
        "new declarations active after {:?}",
        returned_at.elapsed()
    );
}
