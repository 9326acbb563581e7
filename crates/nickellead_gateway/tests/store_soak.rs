//! Random entries, declarations, store outages and restores against three VMs: no key has two
//! owners, no VM returns to older declarations, no target gets requests after it left, and all keys
//! are served in the end.
//!
//! `NICKELLEAD_STORE_SEEDS=50 cargo test -p nickellead_gateway --test store_soak` runs more seeds;
//! `NICKELLEAD_FIRST_STORE_SEED` sets the first one.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use common::ownership::ownership_violations;
use common::seeds::run_seeds;
use common::store::{MemoryStore, StoreBackup};
use common::target::{Behavior, TestTarget};
use common::{TestGateway, declarations, entry, exchange};
use nickellead_gateway::{TargetEntry, TargetState};

const VMS: usize = 3;
/// Targets per service; the first one never leaves.
const TARGETS: usize = 4;
const SERVICES: [&str; 2] = ["plain", "keyed"];
const FAULT_DURATION: Duration = Duration::from_secs(14);
/// Maximum time until all keys are served after the faults; longer than unconfirmed keys wait.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(40);
/// Time after the store received the draining entry of a target during which requests may still
/// reach it.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Minimum time between a draining entry and an outage for the drain time to be checked.
const STABILITY_MARGIN: Duration = Duration::from_millis(3_000);
const BACKUP_INTERVAL: Duration = Duration::from_millis(250);
/// Age of the restored backup, in backups.
const BACKUP_AGES: std::ops::Range<usize> = 4..24;
const OUTAGE_MS: std::ops::Range<u64> = 100..3_000;
/// Time within which targets and operators write again after a restore.
const REWRITE_DELAY_MS: std::ops::Range<u64> = 100..1_500;

/// A target with the state that it writes to the store.
struct SoakTarget {
    target: TestTarget,
    service: &'static str,
    instance: u64,
    state: TargetState,
    is_listed: bool,
}

impl SoakTarget {
    fn entry(&self) -> TargetEntry {
        let entry = entry(&self.target.id, self.service, self.target.address);
        TargetEntry { born: Some(self.instance), state: self.state, ..entry }
    }

    /// Lists or unlists the target according to its state.
    fn write(&self, store: &MemoryStore) {
        match self.is_listed {
            true => store.list(self.entry()),
            false => store.unlist(&self.target.id),
        }
    }

    fn restart(&mut self, store: &MemoryStore) {
        self.instance += 1;
        (self.state, self.is_listed) = (TargetState::Ready, true);
        self.target.set_signals(&format!("x-life: {}/{}\r\n", self.target.id, self.instance));
        self.write(store);
    }
}

/// When an instance of a target wrote that it leaves.
struct LeavingRecord {
    instance: String,
    at: Instant,
}

/// The simulation of one seed.
struct Simulation {
    seed: u64,
    store: MemoryStore,
    gateways: Vec<TestGateway>,
    ended: AtomicBool,
    version: AtomicUsize,
    violations: Mutex<Vec<String>>,
}

impl Simulation {
    /// Sends requests of one caller until the simulation ends.
    fn run_caller(&self, vm: usize) {
        let mut random = fastrand::Rng::with_seed(self.seed * 100 + vm as u64);
        while !self.ended.load(Ordering::Relaxed) {
            self.send(vm, random.u16(..));
            std::thread::sleep(Duration::from_millis(random.u64(5..30)));
        }
    }

    /// Sends one request, for odd keys to the service `plain`; returns whether it was served.
    fn send(&self, vm: usize, key: u16) -> bool {
        let path = if key % 2 == 1 { "/read/" } else { "/key/" };
        let request = format!(
            "GET {path} HTTP/1.1\r\nhost: board.example\r\nx-request-id: {vm}-{key}\r\nx-key: {key}\r\n\
             x-deadline-ms: 1000\r\nconnection: close\r\n\r\n"
        );
        exchange(self.gateways[vm].callers, &request).contains(" 200 ")
    }

    /// Checks that the version of a VM's declarations never decreases.
    fn check_version(&self, vm: usize) {
        let mut newest = 0;
        while !self.ended.load(Ordering::Relaxed) {
            let version = self.gateways[vm].active_version();
            if version < newest {
                let text = format!("VM {vm} returned from version {newest} to {version}");
                self.violations.lock().unwrap().push(text);
            }
            newest = newest.max(version);
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Writes declarations with a version increased by `increment`.
    fn declare(&self, increment: usize) {
        let version = self.version.fetch_add(increment, Ordering::Relaxed) + increment;
        self.store.declare(declarations(version as u64));
    }

    /// Injects random faults for `FAULT_DURATION`; returns the records of leaving targets and the
    /// outages.
    fn inject_faults(
        &self,
        targets: &mut [SoakTarget],
    ) -> (Vec<LeavingRecord>, Vec<(Instant, Instant)>) {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let (mut leaving_records, mut outages) = (Vec::new(), Vec::new());
        let mut backups: VecDeque<(Instant, StoreBackup)> = VecDeque::new();
        let end = Instant::now() + FAULT_DURATION;
        while Instant::now() < end {
            if backups.back().is_none_or(|(at, _)| at.elapsed() > BACKUP_INTERVAL) {
                backups.push_back((Instant::now(), self.store.backup()));
            }
            let number = random.usize(..targets.len());
            let target = &mut targets[number];
            let never_leaves = number.is_multiple_of(TARGETS);
            let may_leave = !never_leaves && target.state == TargetState::Ready;
            match random.u8(..16) {
                0..=2 if may_leave => {
                    target.state = TargetState::Draining;
                    target.write(&self.store);
                    let instance = format!("{}/{}", target.target.id, target.instance);
                    leaving_records.push(LeavingRecord { instance, at: Instant::now() });
                }
                3..=5 if target.state == TargetState::Draining => {
                    target.is_listed = false;
                    target.write(&self.store);
                    std::thread::sleep(Duration::from_millis(100));
                    target.restart(&self.store);
                }
                6 | 7 => self.declare(1),
                8 => {
                    let outage_start = Instant::now();
                    self.restore_older(&mut random, &mut backups, targets);
                    outages.push((outage_start, Instant::now()));
                }
                _ => {}
            }
            std::thread::sleep(Duration::from_millis(random.u64(20..200)));
        }
        (leaving_records, outages)
    }

    /// Makes the store unavailable, restores a backup, and rewrites entries and declarations.
    fn restore_older(
        &self,
        random: &mut fastrand::Rng,
        backups: &mut VecDeque<(Instant, StoreBackup)>,
        targets: &[SoakTarget],
    ) {
        self.store.set_unavailable(true);
        std::thread::sleep(Duration::from_millis(random.u64(OUTAGE_MS)));
        let retained = backups.len().saturating_sub(random.usize(BACKUP_AGES)).max(1);
        backups.truncate(retained);
        if let Some((_, backup)) = backups.back() {
            self.store.restore(backup);
        }
        self.store.set_unavailable(false);
        for target in targets {
            std::thread::sleep(Duration::from_millis(
                random.u64(REWRITE_DELAY_MS) / targets.len() as u64,
            ));
            target.write(&self.store);
        }
        self.declare(0);
    }

    /// Whether every VM has the newest declarations and serves a sample of keys.
    fn is_recovered(&self) -> bool {
        let newest = self.version.load(Ordering::Relaxed) as u64;
        let mut keys = (0..=u16::MAX).step_by(8_191);
        (0..VMS).all(|vm| self.gateways[vm].active_version() == newest)
            && keys.all(|key| (0..VMS).all(|vm| self.send(vm, key)))
    }
}

/// Requests that reached a target too long after its draining entry, without an outage around that
/// time.
fn late_requests(
    targets: &[SoakTarget],
    leaving_records: &[LeavingRecord],
    outages: &[(Instant, Instant)],
) -> Vec<String> {
    let is_stable = |record: &&LeavingRecord| {
        let is_apart = |(from, to): &(Instant, Instant)| {
            *to + STABILITY_MARGIN < record.at
                || *from > record.at + MAX_DRAIN_TIME + STABILITY_MARGIN
        };
        outages.iter().all(is_apart)
    };
    let mut late = Vec::new();
    for record in leaving_records.iter().filter(is_stable) {
        let signals = format!("x-life: {}\r\n", record.instance);
        for arrival in targets.iter().flat_map(|target| target.target.arrivals()) {
            if arrival.signals == signals && arrival.at > record.at + MAX_DRAIN_TIME {
                late.push(format!(
                    "{} got a request {:?} after its draining entry",
                    record.instance,
                    arrival.at - record.at
                ));
            }
        }
    }
    late
}

/// Runs one seed; returns the violations.
fn run_seed(seed: u64) -> Vec<String> {
    let store = MemoryStore::default();
    let start = |service: &'static str, number| SoakTarget {
        target: TestTarget::start(&format!("{service}-{number}"), Behavior::Serve),
        service,
        instance: 0,
        state: TargetState::Ready,
        is_listed: true,
    };
    let mut targets: Vec<SoakTarget> = SERVICES
        .into_iter()
        .flat_map(|service| (0..TARGETS).map(move |number| start(service, number)))
        .collect();
    targets.iter_mut().for_each(|target| target.restart(&store));
    store.declare(declarations(1));
    let name = |vm| format!("vm-store-{seed}-{vm}");
    let gateways: Vec<_> = (0..VMS).map(|vm| TestGateway::start(&name(vm), &store)).collect();
    gateways.iter().for_each(TestGateway::wait_ready);
    let (version, violations, ended) =
        (AtomicUsize::new(1), Mutex::default(), AtomicBool::default());
    let simulation = Simulation { seed, store, gateways, ended, version, violations };
    let (leaving_records, outages) = std::thread::scope(|scope| {
        for vm in 0..VMS {
            let simulation = &simulation;
            scope.spawn(move || simulation.run_caller(vm));
            scope.spawn(move || simulation.check_version(vm));
        }
        let result = simulation.inject_faults(&mut targets);
        let faults_ended_at = Instant::now();
        while !simulation.is_recovered() {
            if faults_ended_at.elapsed() > MAX_RECOVERY_TIME {
                let text = format!("not served {MAX_RECOVERY_TIME:?} after the faults");
                simulation.violations.lock().unwrap().push(text);
                break;
            }
        }
        simulation.ended.store(true, Ordering::Relaxed);
        result
    });
    let mut violations = simulation.violations.lock().unwrap().clone();
    violations.extend(late_requests(&targets, &leaving_records, &outages));
    violations.extend(ownership_violations(&simulation.store.timed_orders()));
    violations
}

#[test]
fn no_vm_returns_to_lost_state_after_a_restore() {
    run_seeds("NICKELLEAD_FIRST_STORE_SEED", "NICKELLEAD_STORE_SEEDS", run_seed);
}
