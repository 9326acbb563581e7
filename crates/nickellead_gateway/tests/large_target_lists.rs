//! Processor time that a VM spends on changes of one target while thousands are listed.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use common::store::MemoryStore;
use common::{TestGateway, declarations, entry, wait_until};
use nickellead_gateway::{TargetEntry, TargetState};

/// Number of listed targets.
const TARGETS: u16 = 10_000;
/// Changes of one target each.
const CHANGES: u16 = 40;
/// Time between two changes, so that no VM receives two of them at once.
const CHANGE_INTERVAL: Duration = Duration::from_millis(60);
/// Most processor time that a thread may spend on one change: a VM with a tenth of a core then stands
/// still for 50 ms.
const MAX_TIME_PER_CHANGE: Duration = Duration::from_millis(5);

/// One of many targets, in one of five zones; every third one owns keys.
fn numbered_entry(number: u16) -> TargetEntry {
    let service = if number.is_multiple_of(3) { "keyed" } else { "plain" };
    let address = SocketAddr::from(([127, 0, 0, 1], number + 1));
    TargetEntry {
        zone: format!("zone-{}", ["a", "b", "c", "d", "e"][usize::from(number % 5)]),
        ..entry(&format!("i-{number:08x}"), service, address)
    }
}

/// Processor time of each thread of this process that runs a part of a VM, by its id.
fn thread_times() -> BTreeMap<String, (String, Duration)> {
    let threads = std::fs::read_dir("/proc/self/task").unwrap().filter_map(|thread| {
        let path = thread.unwrap().path();
        let name = std::fs::read_to_string(path.join("comm")).ok()?;
        let times = std::fs::read_to_string(path.join("schedstat")).ok()?;
        let nanos = times.split_whitespace().next()?.parse().ok()?;
        let id = path.file_name()?.to_string_lossy().into_owned();
        Some((id, (name.trim().to_owned(), Duration::from_nanos(nanos))))
    });
    threads.filter(|(_, (name, _))| ["requests", "control"].contains(&name.as_str())).collect()
}

/// Processor time per change that each thread of the VM with these threads spends during `work`.
fn times_per_change(ids: &[String], work: impl FnOnce()) -> BTreeMap<String, Duration> {
    let before = thread_times();
    work();
    let after = thread_times();
    let spent = |id: &String| {
        let (name, total) = &after[id];
        (name.clone(), (*total - before[id].1) / u32::from(CHANGES))
    };
    ids.iter().map(spent).collect()
}

/// Lists a new target or lets a listed one leave, in turn.
fn change_one_target(store: &MemoryStore, number: u16) {
    let new = numbered_entry(TARGETS + number);
    match number.is_multiple_of(2) {
        true => store.list(new),
        false => store.list(TargetEntry { state: TargetState::Draining, ..numbered_entry(number) }),
    }
}

/// Guards against VMs that stand still during a release on a large fleet: each change of one target
/// made them copy and index all targets anew.
#[test]
fn a_change_of_one_target_among_ten_thousand_takes_a_vm_little_processor_time() {
    let store = MemoryStore::default();
    (0..TARGETS).for_each(|number| store.list(numbered_entry(number)));
    store.declare(declarations(1));
    let leader = TestGateway::start("large-list-leader", &store);
    leader.wait_ready();
    wait_until("the first VM holds the mandate", || {
        leader.metric("nickellead_mandate_held") == 1.0
    });
    let others = thread_times();
    let follower = TestGateway::start("large-list-follower", &store);
    follower.wait_ready();
    let ids: Vec<String> =
        thread_times().into_keys().filter(|id| !others.contains_key(id)).collect();
    assert_eq!(ids.len(), 2, "one request thread and one control thread");
    std::thread::sleep(Duration::from_secs(2));
    let idle = times_per_change(&ids, || std::thread::sleep(CHANGE_INTERVAL * CHANGES.into()));
    let busy = times_per_change(&ids, || {
        for number in 0..CHANGES {
            change_one_target(&store, number);
            std::thread::sleep(CHANGE_INTERVAL);
        }
    });
    println!("per change: idle {idle:?}, with changes {busy:?}");
    for (thread, time) in busy {
        let time = time.saturating_sub(idle[&thread]);
        assert!(time <= MAX_TIME_PER_CHANGE, "{thread}: {time:?} a change");
    }
}
