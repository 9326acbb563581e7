//! Many VMs send requests for one hot key to its owner, which closes the connections beyond its
//! capacity.
//!
//! The ratio of VMs to the owner's slots and queue corresponds to that of a large fleet.
#![allow(clippy::unwrap_used)]

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::store::MemoryStore;
use common::target::{Behavior, BoundedWork, TestTarget};
use common::{TestGateway, declarations, entry, wait_until};
use nickellead_gateway::{PolicySwitch, SlotCount, TargetEntry};

const VMS: usize = 8;
const CALLERS_PER_VM: usize = 4;
const CALLER_DELAY: Duration = Duration::from_millis(10);
const WORK: BoundedWork = BoundedWork { slots: 1, queue: 3, duration: Duration::from_millis(60) };
/// Until the mandate holder has received the load and sent all VMs their admission.
const WARM_UP: Duration = Duration::from_millis(2_500);
const MEASUREMENT: Duration = Duration::from_millis(3_000);

/// Counts of the measurement.
#[derive(Clone, Copy, Debug, Default)]
struct LoadCounts {
    served: usize,
    refused: usize,
    unknown: usize,
    /// Connections that the owner closed because it was full.
    broken: usize,
}

/// Sends requests for one key until `ended`, and counts the responses while `measuring`.
fn send_until_ended(
    gateway: &TestGateway,
    measuring: &AtomicBool,
    ended: &AtomicBool,
) -> LoadCounts {
    let mut counts = LoadCounts::default();
    while !ended.load(Ordering::Relaxed) {
        let response = gateway.send("GET", "/key/", "x-key: 7\r\n");
        if measuring.load(Ordering::Relaxed) {
            let status = response.split(' ').nth(1).unwrap_or_default();
            match status {
                "200" => counts.served += 1,
                "503" => counts.refused += 1,
                _ => counts.unknown += 1,
            }
            let has_retry_after = response.to_ascii_lowercase().contains("retry-after");
            assert!(status != "503" || has_retry_after, "refused without retry-after: {response}");
        }
        std::thread::sleep(CALLER_DELAY);
    }
    counts
}

/// Measures the load with shared admission on or off.
fn measure_load(name: &str, admission: PolicySwitch) -> LoadCounts {
    let owner = TestTarget::start("hot", Behavior::Bounded(WORK));
    let store = MemoryStore::default();
    store.list(TargetEntry {
        slots: SlotCount::new(WORK.slots as u64).unwrap(),
        ..entry("hot", "keyed", owner.address)
    });
    store.declare(declarations(1));
    let start = |number| {
        TestGateway::start_as(&format!("{name}-{number}"), &store, |settings| {
            settings.policy.shared_admission = admission;
        })
    };
    let gateways: Vec<TestGateway> = (0..VMS).map(start).collect();
    gateways.iter().for_each(TestGateway::wait_ready);
    wait_until("every VM serves the key", || {
        gateways.iter().all(|one| one.send("GET", "/key/", "x-key: 7\r\n").contains(" 200 "))
    });
    let (measuring, ended) = (AtomicBool::new(false), AtomicBool::new(false));
    std::thread::scope(|scope| {
        let callers: Vec<_> = gateways
            .iter()
            .flat_map(|gateway| std::iter::repeat_n(gateway, CALLERS_PER_VM))
            .map(|gateway| scope.spawn(|| send_until_ended(gateway, &measuring, &ended)))
            .collect();
        std::thread::sleep(WARM_UP);
        let before = owner.broken_connections();
        measuring.store(true, Ordering::Relaxed);
        std::thread::sleep(MEASUREMENT);
        measuring.store(false, Ordering::Relaxed);
        let broken = owner.broken_connections() - before;
        ended.store(true, Ordering::Relaxed);
        let counts = callers.into_iter().map(|caller| caller.join().unwrap());
        counts.fold(LoadCounts { broken, ..LoadCounts::default() }, |sum, one| LoadCounts {
            served: sum.served + one.served,
            refused: sum.refused + one.refused,
            unknown: sum.unknown + one.unknown,
            ..sum
        })
    })
}

/// Guards against VMs that detect an overloaded owner only by broken connections.
#[test]
fn shared_admission_reduces_broken_connections_of_an_overloaded_owner() {
    let without = measure_load("alone", PolicySwitch::Off);
    let with = measure_load("shared", PolicySwitch::On);
    assert!(with.broken * 4 < without.broken, "{with:?}, without {without:?}");
    assert!(with.unknown * 4 < without.unknown, "{with:?}, without {without:?}");
    assert!(with.refused > with.unknown * 10, "{with:?}");
    // The owner can serve 50 requests in the measurement: it stays busy.
    assert!(with.served > 30, "{with:?}, without {without:?}");
}
