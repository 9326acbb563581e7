//! What targets receive beyond the first arrival of each request stays within the retry budget.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use common::cut_fleet::{CutFleet, send_as};
use common::dispatch_fleet::{DispatchFleet, FORWARDED, store_with};
use common::target::{Behavior, TestTarget};
use common::target_link::CutManner;
use common::wait_until;
use nickellead_gateway::GatewaySettings;

/// Above the time within which a dispatcher has to acknowledge a request.
const LATE: Duration = Duration::from_millis(300);
/// Below the time after which a request that may not be repeated is given up.
const SLOW: Duration = Duration::from_millis(160);
/// Above the deadline of requests.
const NEVER: Duration = Duration::from_secs(5);
const UNACKNOWLEDGED: &str = "nickellead_dispatch_unacknowledged_total";
const CALLERS: usize = 60;
const REQUESTS: usize = 3;
/// Callers for all of whom the target has room at once.
const FEW_CALLERS: usize = 3;
const MANY_REQUESTS: usize = 60;

/// No request may be sent to targets a second time.
fn without_retries(settings: &mut GatewaySettings) {
    settings.retry_ratio = 0.0;
    settings.retry_extra = Some(0.0);
}

/// How often a target received each request since it had received `before` requests.
fn count_arrivals(target: &TestTarget, before: usize) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for arrival in target.arrivals().into_iter().skip(before) {
        *counts.entry(arrival.request_id).or_default() += 1;
    }
    counts
}

/// Number of arrivals beyond the first one of each request.
fn count_repeats(arrivals: &HashMap<String, usize>) -> usize {
    arrivals.values().map(|count| count - 1).sum()
}

/// Guards the budget of the fleet against requests that a dispatcher received and acknowledged late:
/// they count as sent.
#[test]
fn requests_whose_dispatcher_acknowledges_late_are_repeated_within_the_budget() {
    let owner = TestTarget::start("o1", Behavior::Serve);
    let store = store_with("keyed", &owner);
    let fleet = DispatchFleet::start_with("late", &store, "/key/", FORWARDED, without_retries);
    let before = owner.arrivals().len();
    fleet.links.iter().for_each(|link| link.set_delay(LATE));
    let answers = fleet.send_all(CALLERS, "/key/", REQUESTS);
    let arrivals = count_arrivals(&owner, before);
    let unacknowledged = fleet.count(UNACKNOWLEDGED);
    let arrived = arrivals.len();
    let twice: Vec<_> = arrivals.iter().filter(|(_, count)| **count > 1).collect();
    let figures =
        format!("{twice:?}, {arrived} arrived, {unacknowledged} unacknowledged: {answers:?}");
    assert_eq!(count_repeats(&arrivals), 0, "{figures}");
    let refused = answers.get("503").copied().unwrap_or_default();
    assert!(arrived + refused <= CALLERS * REQUESTS, "called not run and arrived: {figures}");
}

/// Guards callers of VMs without retries left: their request may be at a dispatcher that is slow, and
/// is served by it.
#[test]
fn requests_that_may_not_be_repeated_are_waited_for() {
    let owner = TestTarget::start("o2", Behavior::Serve);
    let store = store_with("keyed", &owner);
    let fleet = DispatchFleet::start_with("wait", &store, "/key/", FORWARDED, without_retries);
    fleet.links.iter().for_each(|link| link.set_delay(SLOW));
    let answers = fleet.send_all(FEW_CALLERS, "/key/", 1);
    assert_eq!(answers.get("200"), Some(&FEW_CALLERS), "{:?}", fleet.errors());
}

/// Guards callers against waiting until their deadline for a dispatcher that is gone without a sign.
#[test]
fn requests_whose_dispatcher_never_acknowledges_end_before_their_deadline() {
    let owner = TestTarget::start("o3", Behavior::Serve);
    let store = store_with("keyed", &owner);
    let fleet = DispatchFleet::start_with("gone", &store, "/key/", FORWARDED, without_retries);
    let before = owner.arrivals().len();
    fleet.links.iter().for_each(|link| link.set_delay(NEVER));
    let started = Instant::now();
    let answers = fleet.send_all(FEW_CALLERS, "/key/", 1);
    assert!(started.elapsed() < Duration::from_millis(900), "{:?}", started.elapsed());
    assert_eq!(count_repeats(&count_arrivals(&owner, before)), 0, "{answers:?}");
    let known: usize = ["200", "502"].iter().filter_map(|status| answers.get(*status)).sum();
    assert_eq!(known, FEW_CALLERS, "{answers:?}");
}

/// Guards the budget against dispatchers whose connections break after they received requests, and
/// callers against failing with them while the budget allows to send the requests again.
#[test]
fn requests_at_a_dispatcher_that_is_cut_off_are_repeated_within_the_budget() {
    const BURST: f64 = 100.0;
    let owner = TestTarget::start("o4", Behavior::Serve);
    let store = store_with("keyed", &owner);
    let fleet = DispatchFleet::start_with("cut", &store, "/key/", FORWARDED, |settings| {
        settings.retry_burst = BURST;
        settings.retry_ratio = 0.0;
    });
    let (before, dispatcher) = (owner.arrivals().len(), fleet.dispatcher());
    let answers = std::thread::scope(|scope| {
        let sending = scope.spawn(|| fleet.send_all(FEW_CALLERS, "/key/", MANY_REQUESTS));
        fleet.links[dispatcher].set_cut(true);
        sending.join().unwrap()
    });
    let repeats = count_repeats(&count_arrivals(&owner, before));
    let paid = fleet.count("nickellead_repeats_total{cause=\"dispatcher-lost\"}");
    assert!(repeats as u64 <= paid, "{repeats} repeats, {paid} paid: {answers:?}");
    assert_eq!(answers.get("200"), Some(&(FEW_CALLERS * MANY_REQUESTS)), "{:?}", fleet.errors());
}

/// Guards the budget of the fleet against requests that two VMs record, the one that took them from
/// their callers and the one that serves them: they would earn twice what they may.
#[test]
fn a_request_that_another_vm_serves_earns_its_repeats_once() {
    const BATCH: usize = 40;
    const HANDED_OVER: &str = "nickellead_requests_handed_over_total";
    /// What a request earns at the ratio of the settings.
    const EARNED: f64 = 0.12;
    let fleet = CutFleet::start_with("earn", |settings| {
        settings.retry_burst = 1_000.0;
        settings.retry_extra = Some(10_000.0);
    });
    let tokens = || -> f64 {
        let name = "nickellead_retry_tokens{service=\"plain\"}";
        fleet.gateways().into_iter().map(|gateway| gateway.metric(name)).sum()
    };
    let before = tokens();
    fleet.cut(CutManner::Reset);
    let gateway = fleet.gateways()[0];
    let mut sent = 0;
    wait_until("the VM hands requests over", || {
        std::thread::scope(|scope| {
            for number in sent..sent + BATCH {
                scope.spawn(move || send_as(gateway, "GET", "/read/a", &format!("earn-{number}")));
            }
        });
        sent += BATCH;
        gateway.metric(HANDED_OVER) > 0.0
    });
    let earned = tokens() - before;
    assert!(earned <= EARNED * sent as f64 + 0.01, "{sent} requests earned {earned}");
}
