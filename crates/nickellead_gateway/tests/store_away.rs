//! Pattern: the store is away for all VMs of a large fleet, and returns.
//!
//! Seen on 295 VMs: 6,520 calls of the store in a minute, most of them three a second from each VM while it
//! was away, and all VMs learned of its return each for itself.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod common;

use std::time::{Duration, Instant};

use common::store::MemoryStore;
use common::{TestGateway, declarations, route, wait_until};
use nickellead_gateway::RepeatClass;

const ZONES: usize = 2;
/// VMs beside the one that holds the mandate, too weak to take it at once.
const READERS: usize = 24;
/// Until the VMs have found their places.
const SETTLED: Duration = Duration::from_millis(2_500);
const AWAY: Duration = Duration::from_millis(5_000);
/// Calls of a VM for each second of the outage, the holder's quicker ones included.
const CALLS_A_SECOND: f64 = 1.5;
/// When declarations made at the return must be in force.
const IN_FORCE: Duration = Duration::from_millis(2_000);

#[test]
fn an_outage_of_the_store_is_watched_by_a_few_and_its_return_told_to_all() {
    let store = MemoryStore::default();
    store.declare(declarations(1));
    let holder = TestGateway::start("vm-0", &store);
    wait_until("the first VM leads", || store.mandate_holder().as_deref() == Some("vm-0"));
    wait_until("it knows the declarations", || holder.is_version_active(1));
    let start = |index: usize| {
        TestGateway::start_as(&format!("vm-{index}"), &store, |settings| {
            settings.zone = format!("zone-{}", index % ZONES);
            settings.cpu_share = 0.1;
        })
    };
    let readers: Vec<TestGateway> = (1..=READERS).map(start).collect();
    wait_until("all know the declarations", || {
        readers.iter().all(|reader| reader.is_version_active(1))
    });
    std::thread::sleep(SETTLED);

    let before = store.call_count();
    store.set_unavailable(true);
    std::thread::sleep(AWAY);
    let calls = store.call_count() - before;
    store.set_unavailable(false);
    let mut newer = declarations(2);
    newer.routes.push(route("added", "keyed", RepeatClass::Safe).into());
    store.declare(newer);
    let returned = Instant::now();
    wait_until("all know the new declarations", || {
        readers.iter().all(|reader| reader.is_version_active(2))
    });
    let took = returned.elapsed();
    println!("{calls} calls in the outage, new declarations at all VMs after {took:.2?}");
    let most = (READERS + 1) as f64 * AWAY.as_secs_f64() * CALLS_A_SECOND;
    assert!(calls as f64 <= most, "{calls} calls");
    assert!(took <= IN_FORCE, "in force after {took:?}");
}

/// A VM that follows the store asks for nothing but the mandate while the store is away: refused calls are
/// paid for as well, and those for targets, ranges and declarations tell no more than the mandate's.
#[test]
fn parts_of_a_store_that_is_away_are_not_asked_for() {
    let store = MemoryStore::default();
    store.declare(declarations(1));
    let gateway = TestGateway::start("vm-alone", &store);
    wait_until("it knows the declarations", || gateway.is_version_active(1));
    std::thread::sleep(SETTLED);
    store.set_unavailable(true);
    // What is under way then ends first.
    std::thread::sleep(Duration::from_millis(1_000));
    let before = store.non_mandate_read_count();
    std::thread::sleep(AWAY);
    let calls = store.non_mandate_read_count() - before;
    store.set_unavailable(false);
    assert_eq!(calls, 0, "calls for parts in the outage");
    store.declare(declarations(2));
    let returned = Instant::now();
    wait_until("it knows the new declarations", || gateway.is_version_active(2));
    assert!(returned.elapsed() <= IN_FORCE, "in force after {:?}", returned.elapsed());
}
