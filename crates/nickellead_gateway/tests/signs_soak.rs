//! Random words of targets, entries, outages and callers, against three VMs: whatever the order, no VM sends
//! a target what it was told not to send, and all is served once everybody is well again.
//!
//! `NICKELLEAD_SIGN_SEEDS=50 cargo test -p nickellead_gateway --test signs_soak` plays more seeds, and
//! `NICKELLEAD_FIRST_SIGN_SEED` says from which one.
#![allow(clippy::unwrap_used)]

mod common;

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::seeds::run_seeds;
use common::store::MemoryStore;
use common::target::{Behavior, TargetArrival, TestTarget};
use common::{TestGateway, declarations, entry, exchange};
use nickellead_gateway::{TargetEntry, TargetState};

const VMS: usize = 3;
/// Targets of each of the two services.
const TARGETS: usize = 4;
/// Callers of each VM, one after another request each.
const CALLERS: usize = 3;
/// Length of the trouble of one seed.
const TROUBLE: Duration = Duration::from_secs(9);
/// Everybody is served within this time after it: a pause, a hold and its margin, and the return of a mandate.
const RECOVERY: Duration = Duration::from_secs(20);
/// A request that was sent later than this after its VM had passed on a sign of leaving may not arrive.
const DRAIN: Duration = Duration::from_millis(2_000);
/// A target that asked for a pause may still get what was under way, for so long.
const PAUSE_SLACK: Duration = Duration::from_millis(500);
/// Requests of one VM that may reach it between then and the end of the pause.
const PAUSE_REQUESTS: usize = 2;

/// A limit that was named for longer than this must be kept.
const LIMIT_SLACK: Duration = Duration::from_millis(500);
/// Limits count over this time.
const LIMIT_SPAN: f64 = 4.0;
/// Limits that targets name, in requests a second.
const LIMITS: [f64; 3] = [0.0, 1.5, 4.0];

/// One request of a caller.
struct AskedRequest {
    id: String,
    sent: Instant,
    answered: Instant,
    /// The life of a target that answered and said that it leaves.
    leaver: Option<String>,
}

/// Everything of one seed.
struct SignWorld {
    seed: u64,
    store: MemoryStore,
    gateways: Vec<TestGateway>,
    /// By service, `plain` first.
    targets: Vec<(&'static str, Vec<TestTarget>)>,
    asked: Mutex<Vec<AskedRequest>>,
    ended: AtomicBool,
}

impl SignWorld {
    fn start(seed: u64) -> Self {
        let store = MemoryStore::default();
        let targets: Vec<_> = ["plain", "keyed"]
            .map(|service| {
                let start = |number| {
                    let target = TestTarget::start(&format!("{service}-{number}"), Behavior::Serve);
                    store.list(Self::entry(&target, service, 1, TargetState::Ready));
                    target
                };
                (service, (0..TARGETS).map(start).collect::<Vec<_>>())
            })
            .into();
        store.declare(declarations(1));
        let start = |vm| TestGateway::start(&format!("vm-signs-{seed}-{vm}"), &store);
        let gateways: Vec<_> = (0..VMS).map(start).collect();
        gateways.iter().for_each(TestGateway::wait_ready);
        let (asked, ended) = Default::default();
        Self { seed, store, gateways, targets, asked, ended }
    }

    fn entry(target: &TestTarget, service: &str, instance: u64, state: TargetState) -> TargetEntry {
        TargetEntry { born: Some(instance), state, ..entry(&target.id, service, target.address) }
    }

    /// Requests of one caller until the end of the seed.
    fn call(&self, vm: usize, caller: usize) {
        let mut random = fastrand::Rng::with_seed(self.seed * 1_000 + (vm * 10 + caller) as u64);
        let mut number = 0;
        while !self.ended.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("{vm}-{caller}-{number}");
            self.send(vm, &id, random.u16(..));
            std::thread::sleep(Duration::from_millis(random.u64(5..40)));
        }
    }

    /// One request, plain for odd keys; gives the whole answer.
    fn send(&self, vm: usize, id: &str, key: u16) -> String {
        let path = if key % 2 == 1 { "/read/" } else { "/key/" };
        let request = format!(
            "GET {path} HTTP/1.1\r\nhost: board.example\r\nx-request-id: {id}\r\nx-key: {key}\r\n\
             x-deadline-ms: 1000\r\nconnection: close\r\n\r\n"
        );
        let sent = Instant::now();
        let response = exchange(self.gateways[vm].callers, &request);
        let leaver = response.contains("x-leaving").then(|| {
            let line = response.lines().find_map(|line| line.strip_prefix("x-life: "));
            line.unwrap().to_owned()
        });
        let answered = Instant::now();
        self.asked.lock().unwrap().push(AskedRequest { id: id.to_owned(), sent, answered, leaver });
        response
    }

    /// Random events until the trouble is over; then all targets are well, in a new life each.
    fn trouble(&self) {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let mut limits = fastrand::Rng::with_seed(self.seed);
        let mut lives = vec![[1_u64; TARGETS]; self.targets.len()];
        let end = Instant::now() + TROUBLE;
        while Instant::now() < end {
            let (service, number) = (random.usize(..self.targets.len()), random.usize(..TARGETS));
            let limit = limits.bool().then(|| LIMITS[limits.usize(..LIMITS.len())]);
            self.strike(&mut random, service, number, limit, &mut lives[service][number]);
            std::thread::sleep(Duration::from_millis(random.u64(50..500)));
        }
        self.store.set_unavailable(false);
        for (service, lives) in lives.iter_mut().enumerate() {
            for (number, instance) in lives.iter_mut().enumerate() {
                self.start_again(service, number, instance);
            }
        }
    }

    /// One random event; a target that says something names this limit, too.
    fn strike(
        &self,
        random: &mut fastrand::Rng,
        service: usize,
        number: usize,
        limit: Option<f64>,
        instance: &mut u64,
    ) {
        let (name, targets) = &self.targets[service];
        let target = &targets[number];
        let limit = limit.map(|limit| format!("x-limit: {limit}\r\n")).unwrap_or_default();
        let words = format!("x-life: {}/{instance}\r\n{limit}", target.id);
        match random.u8(..12) {
            0..=2 => {
                target.set_behavior(Behavior::Shed);
                let pause = random.f64() * 3.0;
                target.set_signals(&format!("{words}retry-after: {pause:.2}\r\n"));
            }
            3 | 4 => {
                target.set_behavior(Behavior::Serve);
                target.set_signals(&format!("{words}x-leaving: 1\r\n"));
                if random.bool() {
                    self.store.list(Self::entry(target, name, *instance, TargetState::Draining));
                }
            }
            5 => self.store.unlist(&target.id),
            6 => {
                self.store.list(Self::entry(target, name, *instance, TargetState::Ready));
                if !limit.is_empty() {
                    target.set_behavior(Behavior::Serve);
                    target.set_signals(&words);
                }
            }
            7 => self.store.set_unavailable(true),
            8 | 9 => self.store.set_unavailable(false),
            _ => self.start_again(service, number, instance),
        }
    }

    /// A new life of a target that is well.
    fn start_again(&self, service: usize, number: usize, instance: &mut u64) {
        let (name, targets) = &self.targets[service];
        let target = &targets[number];
        *instance += 1;
        target.set_behavior(Behavior::Serve);
        target.set_signals(&format!("x-life: {}/{instance}\r\n", target.id));
        self.store.list(Self::entry(target, name, *instance, TargetState::Ready));
    }

    /// Whether every VM serves a sample of all keys.
    fn is_well(&self) -> bool {
        let keys = (0..=u16::MAX).step_by(8_191);
        let served = |vm: usize, key: u16| self.send(vm, &format!("{vm}-well-{key}"), key);
        (0..VMS).all(|vm| keys.clone().all(|key| served(vm, key).contains(" 200 ")))
    }

    /// What broke a rule.
    fn judge(&self) -> Vec<String> {
        let asked = self.asked.lock().unwrap();
        let mut broken = Vec::new();
        for target in self.targets.iter().flat_map(|(_, targets)| targets) {
            let arrivals = target.arrivals();
            broken.extend(broken_limits(&arrivals));
            for vm in 0..VMS {
                let prefix = format!("{vm}-");
                let of_vm: Vec<&TargetArrival> =
                    arrivals.iter().filter(|one| one.request_id.starts_with(&prefix)).collect();
                broken.extend(late_arrivals(&asked, &of_vm, &prefix));
                broken.extend(broken_pauses(&of_vm));
            }
        }
        broken
    }
}

/// The life that a target was in when it answered.
fn instance_of(arrival: &TargetArrival) -> &str {
    arrival.signals.lines().find_map(|line| line.strip_prefix("x-life: ")).unwrap_or_default()
}

/// Requests of one VM that reached a life of a target too long after the VM had passed on that it leaves.
fn late_arrivals(asked: &[AskedRequest], of_vm: &[&TargetArrival], vm: &str) -> Vec<String> {
    let is_late = |arrival: &&&TargetArrival| {
        let instance = instance_of(arrival);
        let told = asked.iter().filter(|one| one.id.starts_with(vm));
        let told = told.filter(|one| one.leaver.as_deref() == Some(instance));
        let Some(told) = told.map(|one| one.answered).min() else { return false };
        let sent = asked.iter().find(|one| one.id == arrival.request_id).map(|one| one.sent);
        !instance.is_empty() && sent.is_some_and(|sent| sent > told + DRAIN)
    };
    of_vm
        .iter()
        .filter(is_late)
        .map(|one| format!("too late at a leaving target: {one:?}"))
        .collect()
}

/// Pauses that one VM did not keep to.
fn broken_pauses(of_vm: &[&TargetArrival]) -> Vec<String> {
    let pause = |arrival: &TargetArrival| {
        let line = arrival.signals.lines().find_map(|line| line.strip_prefix("retry-after: "));
        line.filter(|_| arrival.shed).map(|text| Duration::from_secs_f64(text.parse().unwrap()))
    };
    let mut broken = Vec::new();
    for told in of_vm {
        let Some(pause) = pause(told) else { continue };
        let span = told.at + PAUSE_SLACK..told.at + pause;
        let same_life = |one: &&&TargetArrival| instance_of(one) == instance_of(told);
        let inside = of_vm.iter().filter(same_life).filter(|one| span.contains(&one.at)).count();
        if inside > PAUSE_REQUESTS {
            broken.push(format!("{inside} requests in the pause after {told:?}"));
        }
    }
    broken
}

/// Limits that all VMs together did not keep to: from a moment after a target began to say the same on each
/// of its answers, and until it said something else.
fn broken_limits(arrivals: &[TargetArrival]) -> Vec<String> {
    let limit = |told: &str| {
        let line = told.lines().find_map(|line| line.strip_prefix("x-limit: "));
        line.map(|text| text.parse::<f64>().unwrap())
    };
    let mut broken = Vec::new();
    for run in arrivals.chunk_by(|one, next| one.signals == next.signals) {
        let Some(limit) = limit(&run[0].signals) else { continue };
        let counted = run.iter().filter(|one| one.at > run[0].at + LIMIT_SLACK).count();
        let length = run[run.len() - 1].at - run[0].at;
        let allowed = 1.5 * limit * length.as_secs_f64().max(LIMIT_SPAN) + 5.0;
        if counted as f64 > allowed {
            broken.push(format!("{counted} requests in {length:?} under {}", run[0].signals));
        }
    }
    broken
}

/// Plays one seed; gives what broke.
fn play(seed: u64) -> Vec<String> {
    let world = SignWorld::start(seed);
    std::thread::scope(|scope| {
        for (vm, caller) in (0..VMS).flat_map(|vm| (0..CALLERS).map(move |caller| (vm, caller))) {
            let world = &world;
            scope.spawn(move || world.call(vm, caller));
        }
        world.trouble();
        world.ended.store(true, Ordering::Relaxed);
    });
    let over = Instant::now();
    let mut well = world.is_well();
    while !well && over.elapsed() < RECOVERY {
        well = world.is_well();
    }
    let mut broken = world.judge();
    if !well {
        broken.push(format!("not served {RECOVERY:?} after the trouble"));
    }
    broken
}

#[test]
fn no_vm_sends_what_a_target_told_it_not_to_send() {
    run_seeds("NICKELLEAD_FIRST_SIGN_SEED", "NICKELLEAD_SIGN_SEEDS", play);
}
