//! Watches that the store cuts while they wait, which is no outage of the store.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::store::MemoryStore;
use common::target::{Behavior, TestTarget};
use common::{declarations, entry, start_pair, wait_until};

/// How long a watch waits until the store cuts it.
const WATCH_LIMIT: Duration = Duration::from_millis(1_000);
/// Time after its entry went for which a target serves requests.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Targets that leave, one right after each cut of their watch.
const LEAVING_TARGETS: usize = 6;
/// Targets that stay.
const STAYING_TARGETS: usize = 4;
/// Callers at each VM.
const CALLERS: usize = 4;
/// Until VMs have found their upstreams and first watches have been cut.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);
const OBSERVED_TIME: Duration = Duration::from_millis(6_000);
/// Fewer watches of targets than are cut within either test.
const MIN_CUT_WATCHES: u64 = 3;

/// Guards against requests to targets whose entries went long ago: a cut watch counted as an outage of
/// the store, after which entries that go are kept as if they had only expired.
#[test]
fn no_request_reaches_a_target_late_after_its_entry_went_while_watches_are_cut() {
    let store = MemoryStore::default();
    let targets: Vec<TestTarget> = (0..LEAVING_TARGETS + STAYING_TARGETS)
        .map(|number| TestTarget::start(&format!("t-{number}"), Behavior::Serve))
        .collect();
    targets.iter().for_each(|target| store.list(entry(&target.id, "plain", target.address)));
    store.declare(declarations(1));
    store.set_watch_limit(Some(WATCH_LIMIT));
    let gateways = start_pair(&store);
    std::thread::sleep(SETTLE_TIME);
    let ended = AtomicBool::new(false);
    let unlisted_at: Vec<Instant> = std::thread::scope(|scope| {
        for gateway in &gateways {
            for _ in 0..CALLERS {
                scope.spawn(|| {
                    while !ended.load(Ordering::Relaxed) {
                        gateway.send("GET", "/read/a", "");
                        std::thread::sleep(Duration::from_millis(1));
                    }
                });
            }
        }
        let leave = |target: &TestTarget| {
            let cut = store.cut_target_watch_count();
            wait_until("a watch is cut", || store.cut_target_watch_count() > cut);
            store.unlist(&target.id);
            Instant::now()
        };
        let unlisted_at = targets[..LEAVING_TARGETS].iter().map(leave).collect();
        std::thread::sleep(DRAIN_TIME + WATCH_LIMIT);
        ended.store(true, Ordering::Relaxed);
        unlisted_at
    });
    let cut = store.cut_target_watch_count();
    assert!(cut >= MIN_CUT_WATCHES, "{cut} watches were cut");
    let served = targets.iter().filter(|target| !target.arrivals().is_empty()).count();
    assert!(served > targets.len() / 2, "{served} targets got requests");
    let delays = targets.iter().zip(&unlisted_at).map(|(target, unlisted_at)| {
        let last = target.arrivals().last().map(|arrival| arrival.at);
        last.map_or(Duration::ZERO, |last| last.saturating_duration_since(*unlisted_at))
    });
    let delays: Vec<Duration> = delays.collect();
    println!("last requests after the entries went: {delays:.2?}");
    let late = delays.iter().filter(|delay| **delay > DRAIN_TIME).count();
    assert_eq!(late, 0, "targets with requests later than {DRAIN_TIME:?}: {delays:.2?}");
}

/// Guards against effects of outages that are none: VMs that subscribe leave their upstream, and
/// everything that the store tells is read again.
#[test]
fn a_cut_watch_is_no_outage() {
    let store = MemoryStore::default();
    let target = TestTarget::start("t-0", Behavior::Serve);
    store.list(entry(&target.id, "plain", target.address));
    store.declare(declarations(1));
    store.set_watch_limit(Some(WATCH_LIMIT));
    let [holder, subscriber] = start_pair(&store);
    std::thread::sleep(SETTLE_TIME);
    let (calls, cut) = (store.call_count(), store.cut_target_watch_count());
    std::thread::sleep(OBSERVED_TIME);
    let (calls, cut) = (store.call_count() - calls, store.cut_target_watch_count() - cut);
    println!("{calls} calls, {cut} cut watches in {OBSERVED_TIME:?}");
    assert!(cut >= MIN_CUT_WATCHES, "{cut} watches were cut");
    for gateway in [&holder, &subscriber] {
        assert_eq!(gateway.metric("nickellead_store_outages_total"), 0.0);
    }
    store.set_unavailable(true);
    wait_until("the outage is known", || holder.metric("nickellead_store_outages_total") == 1.0);
}
