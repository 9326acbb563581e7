//! Random signals, entries, store outages and callers against three VMs: no VM violates the signals
//! of a target, and all keys are served after the faults end.
//!
//! `NICKELLEAD_SIGN_SEEDS=50 cargo test -p nickellead_gateway --test signals_soak` runs more seeds;
//! `NICKELLEAD_FIRST_SIGN_SEED` sets the first one.
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
/// Targets per service.
const TARGETS: usize = 4;
/// Callers per VM; each sends one request at a time.
const CALLERS: usize = 3;
const FAULT_DURATION: Duration = Duration::from_secs(9);
/// Maximum time until all keys are served after the faults: a pause, a lease with its margin, and a
/// takeover of the mandate (leader lease).
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(20);
/// Time after a response with the leaving signal after which the VM sends no more requests to the
/// target.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Time after a pause signal during which requests in flight may still arrive.
const PAUSE_PROPAGATION_TIME: Duration = Duration::from_millis(500);
/// Maximum number of requests of one VM between then and the end of the pause.
const MAX_REQUESTS_IN_PAUSE: usize = 2;

/// Time after the first signal of a limit after which VMs must respect it.
const LIMIT_PROPAGATION_TIME: Duration = Duration::from_millis(500);
/// Limits apply to windows of this length.
const LIMIT_WINDOW_S: f64 = 4.0;
/// Limits that targets signal, in requests a second.
const LIMITS_PER_SECOND: [f64; 3] = [0.0, 1.5, 4.0];

/// One request of a caller.
struct CallerRequest {
    id: String,
    sent_at: Instant,
    responded_at: Instant,
    /// The instance that responded, if it signaled that it leaves.
    leaving_instance: Option<String>,
}

/// The simulation of one seed.
struct Simulation {
    seed: u64,
    store: MemoryStore,
    gateways: Vec<TestGateway>,
    /// Targets by service, `plain` first.
    targets: Vec<(&'static str, Vec<TestTarget>)>,
    sent_requests: Mutex<Vec<CallerRequest>>,
    ended: AtomicBool,
}

impl Simulation {
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
        let (sent_requests, ended) = Default::default();
        Self { seed, store, gateways, targets, sent_requests, ended }
    }

    fn entry(target: &TestTarget, service: &str, instance: u64, state: TargetState) -> TargetEntry {
        TargetEntry { born: Some(instance), state, ..entry(&target.id, service, target.address) }
    }

    /// Sends requests of one caller until the simulation ends.
    fn run_caller(&self, vm: usize, caller: usize) {
        let mut random = fastrand::Rng::with_seed(self.seed * 1_000 + (vm * 10 + caller) as u64);
        let mut number = 0;
        while !self.ended.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("{vm}-{caller}-{number}");
            self.send(vm, &id, random.u16(..));
            std::thread::sleep(Duration::from_millis(random.u64(5..40)));
        }
    }

    /// Sends one request, for odd keys to the service `plain`; returns the response.
    fn send(&self, vm: usize, id: &str, key: u16) -> String {
        let path = if key % 2 == 1 { "/read/" } else { "/key/" };
        let request = format!(
            "GET {path} HTTP/1.1\r\nhost: board.example\r\nx-request-id: {id}\r\nx-key: {key}\r\n\
             x-deadline-ms: 1000\r\nconnection: close\r\n\r\n"
        );
        let sent_at = Instant::now();
        let response = exchange(self.gateways[vm].callers, &request);
        let leaving_instance = response.contains("x-leaving").then(|| {
            let line = response.lines().find_map(|line| line.strip_prefix("x-life: "));
            line.unwrap().to_owned()
        });
        let responded_at = Instant::now();
        self.sent_requests.lock().unwrap().push(CallerRequest {
            id: id.to_owned(),
            sent_at,
            responded_at,
            leaving_instance,
        });
        response
    }

    /// Injects random faults for `FAULT_DURATION`, then ends all faults and restarts all targets.
    fn inject_faults(&self) {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let mut limits = fastrand::Rng::with_seed(self.seed);
        let mut instances = vec![[1_u64; TARGETS]; self.targets.len()];
        let end = Instant::now() + FAULT_DURATION;
        while Instant::now() < end {
            let (service, number) = (random.usize(..self.targets.len()), random.usize(..TARGETS));
            let limit =
                limits.bool().then(|| LIMITS_PER_SECOND[limits.usize(..LIMITS_PER_SECOND.len())]);
            self.inject_fault(&mut random, service, number, limit, &mut instances[service][number]);
            std::thread::sleep(Duration::from_millis(random.u64(50..500)));
        }
        self.store.set_unavailable(false);
        for (service, instances) in instances.iter_mut().enumerate() {
            for (number, instance) in instances.iter_mut().enumerate() {
                self.restart(service, number, instance);
            }
        }
    }

    /// Injects one random fault; signals of the target include this limit.
    fn inject_fault(
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
        let signals = format!("x-life: {}/{instance}\r\n{limit}", target.id);
        match random.u8(..12) {
            0..=2 => {
                target.set_behavior(Behavior::Shed);
                let pause = random.f64() * 3.0;
                target.set_signals(&format!("{signals}retry-after: {pause:.2}\r\n"));
            }
            3 | 4 => {
                target.set_behavior(Behavior::Serve);
                target.set_signals(&format!("{signals}x-leaving: 1\r\n"));
                if random.bool() {
                    self.store.list(Self::entry(target, name, *instance, TargetState::Draining));
                }
            }
            5 => self.store.unlist(&target.id),
            6 => {
                self.store.list(Self::entry(target, name, *instance, TargetState::Ready));
                if !limit.is_empty() {
                    target.set_behavior(Behavior::Serve);
                    target.set_signals(&signals);
                }
            }
            7 => self.store.set_unavailable(true),
            8 | 9 => self.store.set_unavailable(false),
            _ => self.restart(service, number, instance),
        }
    }

    /// Starts a new instance of a target, without signals.
    fn restart(&self, service: usize, number: usize, instance: &mut u64) {
        let (name, targets) = &self.targets[service];
        let target = &targets[number];
        *instance += 1;
        target.set_behavior(Behavior::Serve);
        target.set_signals(&format!("x-life: {}/{instance}\r\n", target.id));
        self.store.list(Self::entry(target, name, *instance, TargetState::Ready));
    }

    /// Whether every VM serves a sample of keys.
    fn is_recovered(&self) -> bool {
        let keys = (0..=u16::MAX).step_by(8_191);
        let served = |vm: usize, key: u16| self.send(vm, &format!("{vm}-well-{key}"), key);
        (0..VMS).all(|vm| keys.clone().all(|key| served(vm, key).contains(" 200 ")))
    }

    fn violations(&self) -> Vec<String> {
        let sent_requests = self.sent_requests.lock().unwrap();
        let mut violations = Vec::new();
        for target in self.targets.iter().flat_map(|(_, targets)| targets) {
            let arrivals = target.arrivals();
            violations.extend(limit_violations(&arrivals));
            for vm in 0..VMS {
                let prefix = format!("{vm}-");
                let vm_arrivals: Vec<&TargetArrival> =
                    arrivals.iter().filter(|one| one.request_id.starts_with(&prefix)).collect();
                violations.extend(late_arrivals(&sent_requests, &vm_arrivals, &prefix));
                violations.extend(pause_violations(&vm_arrivals));
            }
        }
        violations
    }
}

/// The instance that sent the response.
fn instance_of(arrival: &TargetArrival) -> &str {
    arrival.signals.lines().find_map(|line| line.strip_prefix("x-life: ")).unwrap_or_default()
}

/// Requests of one VM that it sent too long after a response with the leaving signal of the same
/// instance.
fn late_arrivals(
    sent_requests: &[CallerRequest],
    vm_arrivals: &[&TargetArrival],
    id_prefix: &str,
) -> Vec<String> {
    let is_late = |arrival: &&&TargetArrival| {
        let instance = instance_of(arrival);
        let leaving = sent_requests.iter().filter(|one| one.id.starts_with(id_prefix));
        let leaving = leaving.filter(|one| one.leaving_instance.as_deref() == Some(instance));
        let Some(leaving_at) = leaving.map(|one| one.responded_at).min() else { return false };
        let sent_at =
            sent_requests.iter().find(|one| one.id == arrival.request_id).map(|one| one.sent_at);
        !instance.is_empty() && sent_at.is_some_and(|sent_at| sent_at > leaving_at + MAX_DRAIN_TIME)
    };
    vm_arrivals
        .iter()
        .filter(is_late)
        .map(|one| format!("request to a leaving target: {one:?}"))
        .collect()
}

/// Pauses that one VM did not respect.
fn pause_violations(vm_arrivals: &[&TargetArrival]) -> Vec<String> {
    let pause = |arrival: &TargetArrival| {
        let line = arrival.signals.lines().find_map(|line| line.strip_prefix("retry-after: "));
        line.filter(|_| arrival.shed).map(|text| Duration::from_secs_f64(text.parse().unwrap()))
    };
    let mut violations = Vec::new();
    for shed_arrival in vm_arrivals {
        let Some(pause) = pause(shed_arrival) else { continue };
        let pause_window = shed_arrival.at + PAUSE_PROPAGATION_TIME..shed_arrival.at + pause;
        let is_same_instance =
            |one: &&&TargetArrival| instance_of(one) == instance_of(shed_arrival);
        let count = vm_arrivals
            .iter()
            .filter(is_same_instance)
            .filter(|one| pause_window.contains(&one.at))
            .count();
        if count > MAX_REQUESTS_IN_PAUSE {
            violations.push(format!("{count} requests in the pause after {shed_arrival:?}"));
        }
    }
    violations
}

/// Limits that all VMs together did not respect, over runs of responses with the same signals.
fn limit_violations(arrivals: &[TargetArrival]) -> Vec<String> {
    let limit = |signals: &str| {
        let line = signals.lines().find_map(|line| line.strip_prefix("x-limit: "));
        line.map(|text| text.parse::<f64>().unwrap())
    };
    let mut violations = Vec::new();
    for run in arrivals.chunk_by(|one, next| one.signals == next.signals) {
        let Some(limit) = limit(&run[0].signals) else { continue };
        let count = run.iter().filter(|one| one.at > run[0].at + LIMIT_PROPAGATION_TIME).count();
        let duration = run[run.len() - 1].at - run[0].at;
        let allowed = 1.5 * limit * duration.as_secs_f64().max(LIMIT_WINDOW_S) + 5.0;
        if count as f64 > allowed {
            violations.push(format!("{count} requests in {duration:?} under {}", run[0].signals));
        }
    }
    violations
}

/// Runs one seed; returns the violations.
fn run_seed(seed: u64) -> Vec<String> {
    let simulation = Simulation::start(seed);
    std::thread::scope(|scope| {
        for (vm, caller) in (0..VMS).flat_map(|vm| (0..CALLERS).map(move |caller| (vm, caller))) {
            let simulation = &simulation;
            scope.spawn(move || simulation.run_caller(vm, caller));
        }
        simulation.inject_faults();
        simulation.ended.store(true, Ordering::Relaxed);
    });
    let faults_ended_at = Instant::now();
    let mut recovered = simulation.is_recovered();
    while !recovered && faults_ended_at.elapsed() < MAX_RECOVERY_TIME {
        recovered = simulation.is_recovered();
    }
    let mut violations = simulation.violations();
    if !recovered {
        violations.push(format!("not served {MAX_RECOVERY_TIME:?} after the faults"));
    }
    violations
}

#[test]
fn no_vm_violates_the_signals_of_a_target() {
    run_seeds("NICKELLEAD_FIRST_SIGN_SEED", "NICKELLEAD_SIGN_SEEDS", run_seed);
}
