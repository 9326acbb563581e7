//! Random cuts between VMs and targets and between VMs, and targets that fail: what callers are told
//! matches what targets ran, and all requests are served after the faults end.
//!
//! `NICKELLEAD_CUT_SEEDS=50 cargo test -p nickellead_gateway --test cut_soak` runs more seeds;
//! `NICKELLEAD_FIRST_CUT_SEED` sets the first one.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::cut_fleet::{CutFleet, REQUESTS, send_as};
use common::seeds::run_seeds;
use common::target::{Behavior, TestTarget};
use common::target_link::CutManner;

const FAULT_DURATION: Duration = Duration::from_secs(10);
/// Callers per VM; each sends one request at a time.
const CALLERS: usize = 3;
/// Time between two faults, in milliseconds.
const FAULT_INTERVALS_MS: std::ops::Range<u64> = 100..1_200;
/// Time between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
/// Maximum time until a request has a response: its deadline, and time for sending it.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(1_500);

/// One request of a caller and what the caller was told.
struct CallerRequest {
    id: String,
    method: &'static str,
    response: String,
    took: Duration,
}

/// Changes one thing at random.
fn inject_fault(fleet: &CutFleet, rng: &mut fastrand::Rng) {
    let manners = [CutManner::Silent, CutManner::Reset, CutManner::RefuseNew];
    match rng.u8(0..10) {
        0..3 => fleet.cut(manners[rng.usize(0..manners.len())]),
        3 => fleet.cut_both(manners[rng.usize(0..manners.len())]),
        4..7 => fleet.heal(),
        7 => fleet.connected.link.set_cut(rng.bool()),
        8 => fleet.cut_off.link.set_cut(rng.bool()),
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
        requests.lock().unwrap().push(CallerRequest { id, method, response, took });
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
    let CallerRequest { id, method, response, took } = request;
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

fn run_seed(seed: u64) -> Vec<String> {
    let fleet = CutFleet::start(&format!("cut-soak-{seed}"));
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
    fleet.targets.iter().for_each(|target| target.set_behavior(Behavior::Serve));
    fleet.gateways().into_iter().for_each(|gateway| fleet.wait_until_served(gateway));
    let runs = count_runs(&fleet.targets);
    let requests = requests.into_inner().unwrap();
    let violations = requests.iter().filter_map(|request| {
        violation(request, runs.get(&request.id).copied().unwrap_or_default())
    });
    violations.take(5).collect()
}

/// Guards what callers conclude from a response when requests go through two VMs and paths to targets
/// and between VMs are cut at random.
#[test]
fn callers_are_told_what_targets_ran_while_paths_are_cut() {
    run_seeds("NICKELLEAD_FIRST_CUT_SEED", "NICKELLEAD_CUT_SEEDS", run_seed);
}
