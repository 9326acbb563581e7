//! Pattern: one hot key on many VMs, each of which may send its owner a request of its own.
//!
//! Eight VMs and an owner with one slot and three places, which breaks what is beyond: what 295 VMs are to
//! an owner with four slots and sixteen places, at a size that one process bears.
#![allow(clippy::unwrap_used)]

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::store::MemoryStore;
use common::target::{Behavior, BoundedWork, TestTarget};
use common::{TestGateway, declarations, entry, wait_until};
use nickellead_gateway::{PolicySwitch, TargetEntry};

const VMS: usize = 8;
/// Callers of each VM; they ask again 10 ms after each answer.
const CALLERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(10);
const WORK: BoundedWork = BoundedWork { slots: 1, queue: 3, duration: Duration::from_millis(60) };
/// Until the holder has heard of the rush and told all VMs.
const WARM_UP: Duration = Duration::from_millis(2_500);
const MEASURED: Duration = Duration::from_millis(3_000);

/// What callers and the owner saw while it was measured.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    answered: usize,
    refused: usize,
    unknown: usize,
    /// Connections that the owner broke.
    broken: usize,
}

/// Asks for one key until `ended`, and counts what came while `measured`.
fn ask_on(gateway: &TestGateway, measured: &AtomicBool, ended: &AtomicBool) -> Seen {
    let mut seen = Seen::default();
    while !ended.load(Ordering::Relaxed) {
        let response = gateway.send("GET", "/key/", "x-key: 7\r\n");
        if measured.load(Ordering::Relaxed) {
            let status = response.split(' ').nth(1).unwrap_or_default();
            match status {
                "200" => seen.answered += 1,
                "503" => seen.refused += 1,
                _ => seen.unknown += 1,
            }
            let waits = response.to_ascii_lowercase().contains("retry-after");
            assert!(status != "503" || waits, "a refusal says when to come back: {response}");
        }
        std::thread::sleep(PAUSE);
    }
    seen
}

/// Plays the rush with the admission or without.
fn play(name: &str, admission: PolicySwitch) -> Seen {
    let owner = TestTarget::start("hot", Behavior::Bounded(WORK));
    let store = MemoryStore::default();
    store.list(TargetEntry { slots: WORK.slots as u32, ..entry("hot", "keyed", owner.address) });
    store.declare(declarations(1));
    let start = |number| {
        TestGateway::start_as(&format!("{name}-{number}"), &store, |settings| {
            settings.policy.shared_admission = admission;
        })
    };
    let gateways: Vec<TestGateway> = (0..VMS).map(start).collect();
    gateways.iter().for_each(TestGateway::wait_ready);
    wait_until("the key has its owner at every VM", || {
        gateways.iter().all(|one| one.send("GET", "/key/", "x-key: 7\r\n").contains(" 200 "))
    });
    let (measured, ended) = (AtomicBool::new(false), AtomicBool::new(false));
    std::thread::scope(|scope| {
        let callers: Vec<_> = gateways
            .iter()
            .flat_map(|gateway| std::iter::repeat_n(gateway, CALLERS))
            .map(|gateway| scope.spawn(|| ask_on(gateway, &measured, &ended)))
            .collect();
        std::thread::sleep(WARM_UP);
        let before = owner.broken_connections();
        measured.store(true, Ordering::Relaxed);
        std::thread::sleep(MEASURED);
        measured.store(false, Ordering::Relaxed);
        let broken = owner.broken_connections() - before;
        ended.store(true, Ordering::Relaxed);
        let seen = callers.into_iter().map(|caller| caller.join().unwrap());
        seen.fold(Seen { broken, ..Seen::default() }, |sum, one| Seen {
            answered: sum.answered + one.answered,
            refused: sum.refused + one.refused,
            unknown: sum.unknown + one.unknown,
            ..sum
        })
    })
}

/// Each VM alone learned that the owner was full by having a connection broken, again and again.
#[test]
fn a_full_owner_is_not_learned_by_breaking_it() {
    let without = play("alone", PolicySwitch::Off);
    let with = play("shared", PolicySwitch::On);
    assert!(with.broken * 4 < without.broken, "{with:?}, without {without:?}");
    assert!(with.unknown * 4 < without.unknown, "{with:?}, without {without:?}");
    assert!(with.refused > with.unknown * 10, "{with:?}");
    // One slot does 16 a second and so 50 in the time measured: it is kept busy.
    assert!(with.answered > 30, "{with:?}, without {without:?}");
}
