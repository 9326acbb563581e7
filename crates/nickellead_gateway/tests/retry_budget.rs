//! What targets receive beyond the first arrival of each request stays within the retry budget.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::HashMap;
use std::time::Duration;

use common::dispatch_fleet::{DispatchFleet, FORWARDED, store_with};
use common::target::{Behavior, TestTarget};
use nickellead_gateway::GatewaySettings;

/// Above the time within which a dispatcher has to acknowledge a request.
const LATE: Duration = Duration::from_millis(300);
const UNACKNOWLEDGED: &str = "nickellead_dispatch_unacknowledged_total";
const CALLERS: usize = 60;
const REQUESTS: usize = 3;

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
    let repeats: usize = arrivals.values().map(|count| count - 1).sum();
    let unacknowledged = fleet.count(UNACKNOWLEDGED);
    let arrived = arrivals.len();
    assert_eq!(repeats, 0, "{arrived} arrived, {unacknowledged} unacknowledged: {answers:?}");
}
