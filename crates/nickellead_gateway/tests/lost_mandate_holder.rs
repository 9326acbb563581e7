//! Loss of the VM that holds the mandate (leader lease) and is the upstream of all others.
//!
//! Guards against a fleet in which all VMs watch the store at once: its direct subscribers, a few
//! in each zone, are enough to watch the store for all.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod common;

use std::time::{Duration, Instant};

use common::store::MemoryStore;
use common::{TestGateway, declarations, route, wait_until};
use nickellead_gateway::RepeatClass;

const ZONES: usize = 2;
/// VMs besides the mandate holder; only the last one has enough CPU to take the mandate at once.
const SUBSCRIBERS: usize = 24;
/// Direct subscribers of the mandate holder in each zone.
const SUBSCRIBERS_PER_ZONE: usize = 3;
/// Until the VMs have found their upstreams.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);
/// Time between the cut and new declarations, which must be active on all VMs
/// `MAX_ACTIVATION_DELAY` later.
const DECLARATION_DELAY: Duration = Duration::from_millis(1_000);
const MAX_ACTIVATION_DELAY: Duration = Duration::from_millis(2_000);
/// Until another VM has taken the mandate: its TTL of 2.2 s, a margin and a poll interval.
const MAX_TAKEOVER_TIME: Duration = Duration::from_millis(3_500);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

fn start(index: usize, store: &MemoryStore) -> TestGateway {
    TestGateway::start_as(&format!("vm-{index}"), store, |settings| {
        settings.zone = format!("zone-{}", index % ZONES);
        settings.cpu_share = if index == SUBSCRIBERS { 1.0 } else { 0.1 };
    })
}

#[test]
fn few_subscribers_of_a_lost_mandate_holder_watch_the_store() {
    let store = MemoryStore::default();
    store.declare(declarations(1));
    let (holder, link) = TestGateway::start_linked("vm-0", &store, 1e9);
    wait_until("the first VM holds the mandate", || {
        store.mandate_holder().as_deref() == Some("vm-0")
    });
    wait_until("the first VM knows the declarations", || holder.is_version_active(1));
    let subscribers: Vec<TestGateway> =
        (1..=SUBSCRIBERS).map(|index| start(index, &store)).collect();
    wait_until("all VMs know the declarations", || {
        subscribers.iter().all(|subscriber| subscriber.is_version_active(1))
    });
    std::thread::sleep(SETTLE_TIME);
    assert_eq!(store.watching_vms(), 1, "only the mandate holder may watch the store");

    let cut_at = Instant::now();
    link.set_cut(true);
    store.disconnect("vm-0");
    let mut declared = false;
    let mut max_watching = 0;
    while cut_at.elapsed() < DECLARATION_DELAY + MAX_ACTIVATION_DELAY {
        if !declared && cut_at.elapsed() >= DECLARATION_DELAY {
            let mut newer = declarations(2);
            newer.routes.push(route("added", "keyed", RepeatClass::Safe).into());
            store.declare(newer);
            declared = true;
        }
        max_watching = max_watching.max(store.watching_vms());
        std::thread::sleep(POLL_INTERVAL);
    }
    println!("VMs that watched the store at the same time: {max_watching}");
    let behind = subscribers.iter().filter(|subscriber| !subscriber.is_version_active(2)).count();
    assert_eq!(behind, 0, "VMs on which the new declarations were not active in time");
    // The lost holder, its direct subscribers, and the VM that takes the mandate.
    assert!(
        max_watching <= ZONES * SUBSCRIBERS_PER_ZONE + 2,
        "{max_watching} VMs watched the store at the same time"
    );
    let remaining = MAX_TAKEOVER_TIME.saturating_sub(cut_at.elapsed());
    std::thread::sleep(remaining);
    let expected_holder = format!("vm-{SUBSCRIBERS}");
    let new_holder = store.mandate_holder();
    assert_eq!(
        new_holder.as_deref(),
        Some(expected_holder.as_str()),
        "another VM than the one with enough CPU holds the mandate"
    );
}
