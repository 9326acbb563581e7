//! Random words of targets and operators to a store that is away and comes back older, against three VMs:
//! no key has two owners, no VM goes back, nobody is asked after it left, and all is served in the end.
//!
//! `NICKELLEAD_STORE_SEEDS=50 cargo test -p nickellead_gateway --test store_soak` plays more seeds, and
//! `NICKELLEAD_FIRST_STORE_SEED` says from which one.
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
/// Targets of each of the two services, of which the first one never leaves.
const TARGETS: usize = 4;
const SERVICES: [&str; 2] = ["plain", "keyed"];
/// Length of the trouble of one seed.
const TROUBLE: Duration = Duration::from_secs(14);
/// Everybody is served within this time after it: longer than keys wait that are in doubt.
const RECOVERY: Duration = Duration::from_secs(40);
/// Requests may reach a target for this long after the store took its word that it leaves.
const DRAIN: Duration = Duration::from_millis(2_000);
/// The store is stable while it has not been away for this long.
const STABLE: Duration = Duration::from_millis(3_000);
/// Between two copies of the store.
const COPY_PERIOD: Duration = Duration::from_millis(250);
/// How old a copy is, in copies.
const COPY_AGES: std::ops::Range<usize> = 4..24;
/// For how long the store is away, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 100..3_000;
/// Targets and operators write again within this time, in milliseconds.
const AGAIN_MS: std::ops::Range<u64> = 100..1_500;

/// A target, as it would tell the store of itself.
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

    /// Writes its entry as it should stand.
    fn write(&self, store: &MemoryStore) {
        match self.is_listed {
            true => store.list(self.entry()),
            false => store.unlist(&self.target.id),
        }
    }

    fn start_again(&mut self, store: &MemoryStore) {
        self.instance += 1;
        (self.state, self.is_listed) = (TargetState::Ready, true);
        self.target.set_signals(&format!("x-life: {}/{}\r\n", self.target.id, self.instance));
        self.write(store);
    }
}

/// The word of one life of a target that it leaves.
struct LeavingWord {
    instance: String,
    at: Instant,
}

/// Everything of one seed.
struct SoakWorld {
    seed: u64,
    store: MemoryStore,
    gateways: Vec<TestGateway>,
    ended: AtomicBool,
    version: AtomicUsize,
    broken: Mutex<Vec<String>>,
}

impl SoakWorld {
    /// Requests of one caller until the end of the seed.
    fn call(&self, vm: usize) {
        let mut random = fastrand::Rng::with_seed(self.seed * 100 + vm as u64);
        while !self.ended.load(Ordering::Relaxed) {
            self.send(vm, random.u16(..));
            std::thread::sleep(Duration::from_millis(random.u64(5..30)));
        }
    }

    /// One request, plain for odd keys; tells whether it was served.
    fn send(&self, vm: usize, key: u16) -> bool {
        let path = if key % 2 == 1 { "/read/" } else { "/key/" };
        let request = format!(
            "GET {path} HTTP/1.1\r\nhost: board.example\r\nx-request-id: {vm}-{key}\r\nx-key: {key}\r\n\
             x-deadline-ms: 1000\r\nconnection: close\r\n\r\n"
        );
        exchange(self.gateways[vm].callers, &request).contains(" 200 ")
    }

    /// Watches that a VM's declarations never become older.
    fn watch_version(&self, vm: usize) {
        let mut newest = 0;
        while !self.ended.load(Ordering::Relaxed) {
            let version = self.gateways[vm].active_version();
            if version < newest {
                let text = format!("VM {vm} went back from version {newest} to {version}");
                self.broken.lock().unwrap().push(text);
            }
            newest = newest.max(version);
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Declares the newest version, or one more.
    fn declare(&self, more: usize) {
        let version = self.version.fetch_add(more, Ordering::Relaxed) + more;
        self.store.declare(declarations(version as u64));
    }

    /// Random events until the trouble is over. Gives the words of leavers, and when the store was away.
    fn trouble(&self, targets: &mut [SoakTarget]) -> (Vec<LeavingWord>, Vec<(Instant, Instant)>) {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let (mut words, mut outages) = (Vec::new(), Vec::new());
        let mut copies: VecDeque<(Instant, StoreBackup)> = VecDeque::new();
        let end = Instant::now() + TROUBLE;
        while Instant::now() < end {
            if copies.back().is_none_or(|(at, _)| at.elapsed() > COPY_PERIOD) {
                copies.push_back((Instant::now(), self.store.backup()));
            }
            let number = random.usize(..targets.len());
            let target = &mut targets[number];
            let stays = number.is_multiple_of(TARGETS);
            let may_leave = !stays && target.state == TargetState::Ready;
            match random.u8(..16) {
                0..=2 if may_leave => {
                    target.state = TargetState::Draining;
                    target.write(&self.store);
                    let instance = format!("{}/{}", target.target.id, target.instance);
                    words.push(LeavingWord { instance, at: Instant::now() });
                }
                3..=5 if target.state == TargetState::Draining => {
                    target.is_listed = false;
                    target.write(&self.store);
                    std::thread::sleep(Duration::from_millis(100));
                    target.start_again(&self.store);
                }
                6 | 7 => self.declare(1),
                8 => {
                    let away = Instant::now();
                    self.come_back_older(&mut random, &mut copies, targets);
                    outages.push((away, Instant::now()));
                }
                _ => {}
            }
            std::thread::sleep(Duration::from_millis(random.u64(20..200)));
        }
        (words, outages)
    }

    /// The store is away, comes back from a copy, and is told anew by those who had written to it.
    fn come_back_older(
        &self,
        random: &mut fastrand::Rng,
        copies: &mut VecDeque<(Instant, StoreBackup)>,
        targets: &[SoakTarget],
    ) {
        self.store.set_unavailable(true);
        std::thread::sleep(Duration::from_millis(random.u64(AWAY_MS)));
        let kept = copies.len().saturating_sub(random.usize(COPY_AGES)).max(1);
        copies.truncate(kept);
        if let Some((_, copy)) = copies.back() {
            self.store.restore(copy);
        }
        self.store.set_unavailable(false);
        for target in targets {
            std::thread::sleep(Duration::from_millis(random.u64(AGAIN_MS) / targets.len() as u64));
            target.write(&self.store);
        }
        self.declare(0);
    }

    /// Whether every VM serves a sample of all keys by the newest declarations.
    fn is_well(&self) -> bool {
        let newest = self.version.load(Ordering::Relaxed) as u64;
        let mut keys = (0..=u16::MAX).step_by(8_191);
        (0..VMS).all(|vm| self.gateways[vm].active_version() == newest)
            && keys.all(|key| (0..VMS).all(|vm| self.send(vm, key)))
    }
}

/// Requests that reached a target too long after the stable store had taken its word that it leaves.
fn late_requests(
    targets: &[SoakTarget],
    words: &[LeavingWord],
    outages: &[(Instant, Instant)],
) -> Vec<String> {
    let is_stable = |word: &&LeavingWord| {
        let apart = |(from, to): &(Instant, Instant)| {
            *to + STABLE < word.at || *from > word.at + DRAIN + STABLE
        };
        outages.iter().all(apart)
    };
    let mut late = Vec::new();
    for word in words.iter().filter(is_stable) {
        let head = format!("x-life: {}\r\n", word.instance);
        for arrival in targets.iter().flat_map(|target| target.target.arrivals()) {
            if arrival.signals == head && arrival.at > word.at + DRAIN {
                late.push(format!("{} is asked {:?} later", word.instance, arrival.at - word.at));
            }
        }
    }
    late
}

/// Plays one seed; gives what broke.
fn play(seed: u64) -> Vec<String> {
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
    targets.iter_mut().for_each(|target| target.start_again(&store));
    store.declare(declarations(1));
    let name = |vm| format!("vm-store-{seed}-{vm}");
    let gateways: Vec<_> = (0..VMS).map(|vm| TestGateway::start(&name(vm), &store)).collect();
    gateways.iter().for_each(TestGateway::wait_ready);
    let (version, broken, ended) = (AtomicUsize::new(1), Mutex::default(), AtomicBool::default());
    let world = SoakWorld { seed, store, gateways, ended, version, broken };
    let (words, outages) = std::thread::scope(|scope| {
        for vm in 0..VMS {
            let world = &world;
            scope.spawn(move || world.call(vm));
            scope.spawn(move || world.watch_version(vm));
        }
        let seen = world.trouble(&mut targets);
        let over = Instant::now();
        while !world.is_well() {
            if over.elapsed() > RECOVERY {
                let text = format!("not well {RECOVERY:?} after the trouble");
                world.broken.lock().unwrap().push(text);
                break;
            }
        }
        world.ended.store(true, Ordering::Relaxed);
        seen
    });
    let mut broken = world.broken.lock().unwrap().clone();
    broken.extend(late_requests(&targets, &words, &outages));
    broken.extend(ownership_violations(&world.store.timed_orders()));
    broken
}

#[test]
fn no_vm_goes_by_what_the_store_has_lost() {
    run_seeds("NICKELLEAD_FIRST_STORE_SEED", "NICKELLEAD_STORE_SEEDS", play);
}
