//! Random cuts between VMs and targets and between VMs, late links between VMs, and targets that fail:
//! what callers are told matches what targets ran, targets receive no more repeats than the retry budget
//! allows, and all requests are served after the faults end.
//!
//! `NICKELLEAD_CUT_SEEDS=50 cargo test -p nickellead_gateway --test cut_soak` runs more seeds;
//! `NICKELLEAD_FIRST_CUT_SEED` sets the first one.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::cut_fleet::{CutFleet, REQUESTS, WARM_UP_ID, send_as};
use common::seeds::run_seeds;
use common::target::{Behavior, TestTarget};
use common::target_link::CutManner;
use nickellead_gateway::DispatchScope;

const FAULT_DURATION: Duration = Duration::from_secs(10);
/// Callers per VM; each sends one request at a time.
const CALLERS: usize = 3;
/// Time between two faults, in milliseconds.
const FAULT_INTERVALS_MS: std::ops::Range<u64> = 100..1_200;
/// Time between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
/// Delays of what a VM sends to the other one: below and above the time for an acknowledgement.
const LINK_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(60), Duration::from_millis(300)];
/// Repeats that all VMs together may send, as a fraction of the requests and in addition to it.
const RETRY_RATIO: f64 = 0.2;
const RETRY_EXTRA: f64 = 4.0;
/// Maximum time until a request has a response: its deadline, and time for sending it.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(1_500);

/// One request of a caller and what the caller was told.
struct CallerRequest {
    id: String,
    method: &'static str,
    /// Whether it was for the owner of a key.
    is_keyed: bool,
    response: String,
    took: Duration,
}

/// Changes one thing at random.
fn inject_fault(fleet: &CutFleet, rng: &mut fastrand::Rng) {
    let manners = [CutManner::Silent, CutManner::Reset, CutManner::RefuseNew];
    match rng.u8(0..12) {
        0..3 => fleet.cut(manners[rng.usize(0..manners.len())]),
        3 => fleet.cut_both(manners[rng.usize(0..manners.len())]),
        4..7 => fleet.heal(),
        7 => fleet.connected.link.set_cut(rng.bool()),
        8 => fleet.cut_off.link.set_cut(rng.bool()),
        9 => fleet.connected.link.set_delay(LINK_DELAYS[rng.usize(0..LINK_DELAYS.len())]),
        10 => fleet.cut_off.link.set_delay(LINK_DELAYS[rng.usize(0..LINK_DELAYS.len())]),
        _ => {
            let behaviors = [Behavior::Serve, Behavior::Shed, Behavior::Close];
            let target = &fleet.targets[rng.usize(0..fleet.targets.len())];
            target.set_behavior(behaviors[rng.usize(0..behaviors.len())].clone());
        }
    }
}

/// Sends requests of random kinds to one VM until the faults end.
fn call(
    fleet: &CutFleet,
    caller: usize,
    seed: u64,
    ended: &AtomicBool,
    requests: &Mutex<Vec<CallerRequest>>,
) {
    let gateway = fleet.gateways()[caller % 2];
    let mut rng = fastrand::Rng::with_seed(seed * 1_000 + caller as u64);
    for number in 0.. {
        if ended.load(Ordering::Relaxed) {
            return;
        }
        let (method, path) = REQUESTS[rng.usize(0..REQUESTS.len())];
        let id = format!("{caller}-{number}");
        let sent = Instant::now();
        let response = send_as(gateway, method, path, &id);
        let took = sent.elapsed();
        let is_keyed = path.starts_with("/key/");
        let request = CallerRequest { id, method, is_keyed, response, took };
        requests.lock().unwrap().push(request);
        std::thread::sleep(REQUEST_INTERVAL);
    }
}

/// Number of times that targets received each request without shedding it.
fn count_runs(targets: &[TestTarget]) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    let arrivals = targets.iter().flat_map(TestTarget::arrivals);
    for arrival in arrivals.filter(|arrival| !arrival.shed) {
        *runs.entry(arrival.request_id).or_default() += 1;
    }
    runs
}

/// What a caller was told that is wrong; `None` if it was right.
fn violation(request: &CallerRequest, runs: usize) -> Option<String> {
    let CallerRequest { id, method, response, took, .. } = request;
    let text = || format!("{id} {method}, run {runs} times, {took:?}: {response}");
    let is_refused = response.contains("nickellead-outcome: not-run")
        || response.starts_with("HTTP/1.1 503")
        || response.starts_with("HTTP/1.1 429");
    if is_refused && runs > 0 {
        return Some(format!("called not run: {}", text()));
    }
    if response.starts_with("HTTP/1.1 200") && runs == 0 {
        return Some(format!("served by no target: {}", text()));
    }
    if *method == "POST" && runs > 1 {
        return Some(format!("run more than once: {}", text()));
    }
    if response.is_empty() || *took > MAX_RESPONSE_TIME {
        return Some(format!("no response in time: {}", text()));
    }
    None
}

/// Arrivals at the target of a service beyond the first one of each request, and how many may be.
fn repeats_and_allowed(target: &TestTarget, asked: usize) -> (usize, f64) {
    let mut counts: HashMap<String, usize> = HashMap::new();
    for arrival in target.arrivals().into_iter().filter(|one| one.request_id != WARM_UP_ID) {
        *counts.entry(arrival.request_id).or_default() += 1;
    }
    let repeats = counts.values().map(|count| count - 1).sum();
    (repeats, RETRY_RATIO * asked as f64 + RETRY_EXTRA)
}

/// Services whose target received more repeats than the retry budget allows.
fn budget_violations(fleet: &CutFleet, requests: &[CallerRequest]) -> Vec<String> {
    let mut violations = Vec::new();
    for (target, is_keyed) in fleet.targets.iter().zip([false, true]) {
        let asked = requests.iter().filter(|one| one.is_keyed == is_keyed).count();
        let (repeats, allowed) = repeats_and_allowed(target, asked);
        if repeats as f64 > allowed {
            violations.push(format!("{}: {repeats} repeats, allowed {allowed}", target.id));
        }
    }
    violations
}

fn run_seed(seed: u64) -> Vec<String> {
    let fleet = CutFleet::start_with(&format!("cut-soak-{seed}"), |settings| {
        settings.retry_ratio = RETRY_RATIO;
        settings.retry_extra = Some(RETRY_EXTRA);
        // Requests are dispatched in every second run.
        if seed.is_multiple_of(2) {
            settings.dispatch_scope = DispatchScope::Always;
        }
    });
    let (ended, requests) = (AtomicBool::new(false), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for caller in 0..CALLERS * 2 {
            let (fleet, ended, requests) = (&fleet, &ended, &requests);
            scope.spawn(move || call(fleet, caller, seed, ended, requests));
        }
        let mut rng = fastrand::Rng::with_seed(seed);
        let end = Instant::now() + FAULT_DURATION;
        while Instant::now() < end {
            std::thread::sleep(Duration::from_millis(rng.u64(FAULT_INTERVALS_MS)));
            inject_fault(&fleet, &mut rng);
        }
        ended.store(true, Ordering::Relaxed);
    });
    fleet.heal();
    fleet.cut_off.link.set_cut(false);
    fleet.connected.link.set_cut(false);
    [&fleet.cut_off, &fleet.connected].iter().for_each(|vm| vm.link.set_delay(Duration::ZERO));
    fleet.targets.iter().for_each(|target| target.set_behavior(Behavior::Serve));
    fleet.gateways().into_iter().for_each(|gateway| fleet.wait_until_served(gateway));
    let runs = count_runs(&fleet.targets);
    let requests = requests.into_inner().unwrap();
    let over_budget = budget_violations(&fleet, &requests);
    let violations = requests.iter().filter_map(|request| {
        violation(request, runs.get(&request.id).copied().unwrap_or_default())
    });
    violations.take(5).chain(over_budget).collect()
}

/// Guards what callers conclude from a response when requests go through two VMs and paths to targets
/// and between VMs are cut at random.
#[test]
fn callers_are_told_what_targets_ran_while_paths_are_cut() {
    run_seeds("NICKELLEAD_FIRST_CUT_SEED", "NICKELLEAD_CUT_SEEDS", run_seed);
}
