//! VMs without a path to any target, beside VMs that reach all of them.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use common::cut_fleet::{CutFleet, REQUESTS, send_as};
use common::store::MemoryStore;
use common::target::{Behavior, TestTarget, header};
use common::target_link::{CutManner, TargetLink};
use common::{TestGateway, declarations, exchange, wait_until};
use nickellead_gateway::{
    Declarations, KeyDigest, OwnershipSettings, QuotaSettings, WorkspaceQuota, WorkspaceRule,
};
use nickellead_range::OrderKind;

/// Time from the beginning of a cut after which callers must be served.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// How long callers are watched after that.
const WATCHED_TIME: Duration = Duration::from_secs(3);
/// Time in which a request that can't be served is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(150);

/// Above the time within which another VM has to acknowledge a request that may be repeated.
const LATE: Duration = Duration::from_millis(300);
/// Time after which the quota of [`SLOW_QUOTA`] allows one more request.
const TOKEN_TIME: Duration = Duration::from_millis(1_100);
const SLOW_QUOTA: WorkspaceQuota = WorkspaceQuota { rate: 1.0, burst: 1.0 };
/// Requests of a test that are lost at the other VM.
const LOST_REQUESTS: usize = 5;

/// A workspace with this key.
fn workspace(key: &str, quota: Option<WorkspaceQuota>) -> Arc<WorkspaceRule> {
    let keys = [KeyDigest::of(key.as_bytes())].into();
    Arc::new(WorkspaceRule { keys, priority: None, quota, regions: None })
}

/// Whether a response promises that its request did not run.
fn is_promise(response: &str) -> bool {
    matches!(response.split(' ').nth(1), Some("408" | "421" | "429" | "503"))
}

/// Sends requests of all kinds to the first VM, one each `interval`, for this time. Returns those that
/// were not served.
fn send_for(fleet: &CutFleet, name: &str, interval: Duration, time: Duration) -> Vec<String> {
    let end = Instant::now() + time;
    let mut failures = Vec::new();
    for number in 0.. {
        let sent = Instant::now();
        if sent >= end {
            return failures;
        }
        let (method, path) = REQUESTS[number % REQUESTS.len()];
        let response = send_as(&fleet.cut_off.gateway, method, path, &format!("{name}-{number}"));
        if !response.starts_with("HTTP/1.1 200") {
            failures.push(format!("{method} {path} {:?}: {response}", sent.elapsed()));
        }
        std::thread::sleep(interval.saturating_sub(sent.elapsed()));
    }
    failures
}

/// Ids of requests that may run once and reached targets more often.
fn repeated_writes(fleet: &CutFleet) -> Vec<String> {
    let requests = fleet.targets.iter().flat_map(TestTarget::requests);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for request in requests.filter(|request| request.starts_with("POST")) {
        *counts.entry(header(&request, "x-request-id").unwrap_or_default()).or_default() += 1;
    }
    counts.into_iter().filter(|(_, count)| *count > 1).map(|(id, _)| id).collect()
}

/// Cuts the first VM off, expects that its callers are served once `CONTACT_TIME` has passed, and that
/// it serves by itself soon after the end of the cut.
fn expect_service(fleet: &CutFleet, manner: CutManner, interval: Duration) {
    fleet.cut(manner);
    send_for(fleet, "early", interval, CONTACT_TIME);
    let failures = send_for(fleet, "late", interval, WATCHED_TIME);
    assert!(failures.is_empty(), "{manner:?}: {} failed: {:?}", failures.len(), failures.last());
    fleet.heal();
    let opened = || fleet.links.iter().map(TargetLink::opened).sum::<usize>();
    let opened_before = opened();
    let failures = send_for(fleet, "healed", interval, CONTACT_TIME);
    assert!(failures.is_empty(), "{manner:?}, healed: {:?}", failures.last());
    assert!(manner == CutManner::RefuseNew || opened() > opened_before, "{manner:?}");
    assert_eq!(repeated_writes(fleet), Vec::<String>::new(), "{manner:?}");
}

/// Longest time between two grants to targets from `since` on.
fn longest_pause_of_grants(store: &MemoryStore, since: Instant) -> Duration {
    let orders = store.timed_orders().into_iter();
    let grants = orders.filter(|(_, order)| matches!(order.kind, OrderKind::Grant(_)));
    let mut times: Vec<Instant> = grants.map(|(at, _)| at).filter(|at| *at >= since).collect();
    times.insert(0, since);
    times.push(Instant::now());
    times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap()
}

/// A VM that reached no target refused each request at once, though others could serve it.
#[test]
fn a_vm_whose_connections_hang_has_its_requests_served_elsewhere() {
    let fleet = CutFleet::start("hang");
    expect_service(&fleet, CutManner::Silent, Duration::from_millis(30));
}

/// A VM that reached no target refused each request at once, though others could serve it.
#[test]
fn a_vm_whose_connections_are_reset_has_its_requests_served_elsewhere() {
    let fleet = CutFleet::start("reset");
    expect_service(&fleet, CutManner::Reset, Duration::from_millis(30));
}

/// Guards the case in which some requests still succeed over old connections while no new one can be
/// opened: these must not hide the cut.
#[test]
fn a_vm_with_old_connections_only_has_its_requests_served() {
    let fleet = CutFleet::start("old");
    expect_service(&fleet, CutManner::RefuseNew, Duration::from_millis(30));
}

/// With little traffic, a VM that reached no target went on to fail one request after the other.
#[test]
fn a_cut_off_vm_with_few_requests_has_them_served_elsewhere() {
    let fleet = CutFleet::start("few");
    expect_service(&fleet, CutManner::Reset, Duration::from_millis(700));
}

/// The mandate holder renewed its mandate but no lease, and no key had an owner after a lease.
#[test]
fn a_mandate_holder_that_reaches_no_target_hands_over_before_leases_end() {
    let fleet = CutFleet::start("holder");
    let cut_at = Instant::now();
    fleet.store.set_orders_cut("holder-cut-off", true);
    fleet.cut(CutManner::Reset);
    send_for(&fleet, "cut", Duration::from_millis(100), OwnershipSettings::default().lease() * 2);
    assert_eq!(fleet.store.mandate_holder().as_deref(), Some("holder-connected"));
    let pause = longest_pause_of_grants(&fleet.store, cut_at);
    assert!(pause < OwnershipSettings::default().lease(), "no lease was renewed for {pause:?}");
}

/// A mandate holder without callers noticed by no request that it reached no target.
#[test]
fn a_mandate_holder_without_requests_hands_over_before_leases_end() {
    let fleet = CutFleet::start("idle-holder");
    let cut_at = Instant::now();
    fleet.store.set_orders_cut("idle-holder-cut-off", true);
    fleet.cut(CutManner::Reset);
    std::thread::sleep(OwnershipSettings::default().lease() * 2);
    assert_eq!(fleet.store.mandate_holder().as_deref(), Some("idle-holder-connected"));
    let pause = longest_pause_of_grants(&fleet.store, cut_at);
    assert!(pause < OwnershipSettings::default().lease(), "no lease was renewed for {pause:?}");
}

/// Whether the readiness endpoint responds with 200.
fn is_ready(gateway: &TestGateway) -> bool {
    exchange(gateway.readiness, "GET /ready HTTP/1.1\r\nhost: a\r\n\r\n")
        .starts_with("HTTP/1.1 200")
}

/// Waits until a VM knows that it reaches no target, by sending it requests.
fn wait_until_cut_off(gateway: &TestGateway) {
    wait_until("the VM knows that it is cut off", || {
        send_as(gateway, "GET", "/key/a", "probe");
        gateway.metric("nickellead_vm_cut_off") == 1.0
    });
}

/// A VM that reached neither a target nor another VM stayed ready, and callers kept coming.
#[test]
fn a_vm_without_targets_and_other_vms_is_not_ready_until_it_reaches_targets() {
    let fleet = CutFleet::start("isolated");
    fleet.connected.link.set_cut(true);
    fleet.cut(CutManner::Reset);
    wait_until_cut_off(&fleet.cut_off.gateway);
    wait_until("the VM is not ready", || !is_ready(&fleet.cut_off.gateway));
    let started = Instant::now();
    let response = send_as(&fleet.cut_off.gateway, "GET", "/key/a", "isolated");
    assert!(response.contains("target-unreachable"), "{response}");
    assert!(started.elapsed() < REFUSAL_TIME, "{:?}", started.elapsed());
    fleet.connected.link.set_cut(false);
    fleet.heal();
    wait_until("the VM is ready", || is_ready(&fleet.cut_off.gateway));
}

/// Guards against VMs that hand requests to each other, or all say that they are not ready, while
/// none reaches a target.
#[test]
fn vms_that_all_reach_no_target_refuse_at_once_and_stay_ready() {
    let fleet = CutFleet::start("all-cut");
    fleet.cut_both(CutManner::Silent);
    for gateway in fleet.gateways() {
        wait_until_cut_off(gateway);
    }
    for number in 0..40 {
        for gateway in fleet.gateways() {
            let (method, path) = REQUESTS[number % REQUESTS.len()];
            let started = Instant::now();
            let response = send_as(gateway, method, path, &format!("all-{number}"));
            assert!(response.contains("target-unreachable"), "{method} {path}: {response}");
            assert!(response.contains("retry-after"), "{response}");
            assert!(started.elapsed() < REFUSAL_TIME, "{:?}", started.elapsed());
            assert!(is_ready(gateway));
        }
    }
    fleet.heal();
    fleet.gateways().into_iter().for_each(|gateway| fleet.wait_until_served(gateway));
}

/// Guards the promise of a refusal: a request that another VM may have sent must not be called not
/// run, and must not be sent again unless it may run more than once.
#[test]
fn a_request_lost_at_the_other_vm_is_not_called_refused() {
    let fleet = CutFleet::start("lost");
    fleet.cut(CutManner::Reset);
    wait_until_cut_off(&fleet.cut_off.gateway);
    fleet.targets[0].set_behavior(Behavior::NeverRespond);
    fleet.targets[0].clear_requests();
    let sending = fleet.cut_off.gateway.send_in_background("POST", "/write/lost");
    wait_until("the target runs the request", || fleet.targets[0].requests().len() == 1);
    fleet.connected.link.set_cut(true);
    let response = sending.join().unwrap();
    assert!(response.contains("nickellead-outcome: unknown"), "{response}");
    let status = response.split(' ').nth(1);
    assert!(matches!(status, Some("502" | "504")), "{response}");
    assert_eq!(fleet.targets[0].requests().len(), 1);
}

/// Cuts the first VM off, with requests that targets run and never answer. Returns the sender of a request
/// that may run once, once a target runs it.
fn send_elsewhere(fleet: &CutFleet) -> JoinHandle<String> {
    fleet.cut(CutManner::Reset);
    wait_until_cut_off(&fleet.cut_off.gateway);
    fleet.targets[0].set_behavior(Behavior::NeverRespond);
    fleet.targets[0].clear_requests();
    let sending = fleet.cut_off.gateway.send_in_background("POST", "/write/lost");
    wait_until("the target runs the request", || fleet.targets[0].requests().len() == 1);
    sending
}

/// Expects that a request that ran once is neither called refused nor sent again.
fn expect_unknown(fleet: &CutFleet, sending: JoinHandle<String>) {
    let response = sending.join().unwrap();
    assert!(response.contains("nickellead-outcome: unknown"), "{response}");
    assert!(!is_promise(&response), "{response}");
    assert_eq!(fleet.targets[0].requests().len(), 1);
}

/// Guards the promise of a refusal: the VM that serves a request in place of another is told to stop while
/// a target runs it.
#[test]
fn a_request_at_another_vm_that_stops_is_not_called_refused() {
    let mut fleet = CutFleet::start_with("stops", |settings| settings.grace_s = 0.5);
    let sending = send_elsewhere(&fleet);
    fleet.connected.gateway.handle.take().unwrap().stop();
    expect_unknown(&fleet, sending);
}

/// Guards the promise of a refusal: nothing is heard of the VM that serves a request in place of another
/// until the deadline has passed.
#[test]
fn a_request_at_another_vm_that_falls_silent_is_not_called_refused() {
    let fleet = CutFleet::start("silent");
    let sending = send_elsewhere(&fleet);
    fleet.connected.link.set_delay(Duration::from_secs(3));
    expect_unknown(&fleet, sending);
}

/// Guards the promise of a refusal: the VM that serves a request in place of another acknowledges nothing,
/// but sends it.
#[test]
fn a_request_that_another_vm_does_not_acknowledge_is_not_called_refused() {
    let fleet = CutFleet::start("unacknowledged");
    fleet.cut(CutManner::Reset);
    wait_until_cut_off(&fleet.cut_off.gateway);
    wait_until("requests are served elsewhere", || {
        send_as(&fleet.cut_off.gateway, "POST", "/write/a", "ready").contains(" 200 ")
    });
    fleet.targets[0].clear_requests();
    fleet.connected.link.set_delay(Duration::from_secs(3));
    let sending = fleet.cut_off.gateway.send_in_background("POST", "/write/lost");
    wait_until("the target runs the request", || fleet.targets[0].requests().len() == 1);
    expect_unknown(&fleet, sending);
}

/// A request that the other VM had sent, and acknowledged late, was refused with 429 when this VM had no
/// token to send it again: the promise that it had not run was false.
#[test]
fn a_request_lost_at_the_other_vm_is_not_refused_by_the_quota() {
    let fleet = CutFleet::start_with("spent", |settings| {
        settings.quota = QuotaSettings { window_s: 2.0, overage: 0.0, slack: 0.0 };
        settings.retry_ratio = 1.0;
        settings.retry_burst = 1_000.0;
    });
    let workspaces = Some(
        [
            ("free".to_owned(), workspace("free", None)),
            ("limited".to_owned(), workspace("limited", Some(SLOW_QUOTA))),
        ]
        .into(),
    );
    fleet.store.declare(Declarations { workspaces, ..declarations(2) });
    let gateway = &fleet.cut_off.gateway;
    let send =
        |key: &str| gateway.send("GET", "/read/a", &format!("authorization: Bearer {key}\r\n"));
    wait_until("the keys are in force", || send("free").contains(" 200 "));
    fleet.cut(CutManner::Reset);
    wait_until("requests are served elsewhere", || {
        send("free").contains(" 200 ") && gateway.metric("nickellead_vm_cut_off") == 1.0
    });
    // Each of these requests lets one more be repeated.
    (0..LOST_REQUESTS * 2).for_each(|_| assert!(send("free").contains(" 200 ")));
    let mut ran = 0;
    for _ in 0..LOST_REQUESTS {
        fleet.connected.link.set_delay(Duration::ZERO);
        std::thread::sleep(TOKEN_TIME);
        wait_until("the other VM is asked again", || send("free").contains(" 200 "));
        let before = fleet.targets[0].arrivals().len();
        fleet.connected.link.set_delay(LATE);
        let response = send("limited");
        let arrivals = fleet.targets[0].arrivals().len() - before;
        ran += arrivals;
        assert!(arrivals == 0 || !is_promise(&response), "ran {arrivals} times: {response}");
    }
    assert!(ran > 0, "no request reached the target");
}

/// Guards the keys of workspaces: the VM that serves a request in place of another checks its key, and
/// targets see the workspace instead of the key.
#[test]
fn the_key_of_a_request_is_checked_by_the_vm_that_serves_it() {
    let fleet = CutFleet::start("key");
    let workspaces = Some([("alpha".to_owned(), workspace("key-of-alpha", None))].into());
    fleet.store.declare(Declarations { workspaces, ..declarations(2) });
    fleet.cut(CutManner::Reset);
    let send = |key: &str| {
        let headers = format!("x-key: 7\r\nauthorization: Bearer {key}\r\n");
        fleet.cut_off.gateway.send("GET", "/key/a", &headers)
    };
    wait_until("requests with the key are served elsewhere", || {
        send("key-of-alpha").contains(" 200 ")
            && fleet.cut_off.gateway.metric("nickellead_vm_cut_off") == 1.0
    });
    assert!(send("other-key").starts_with("HTTP/1.1 401"));
    fleet.targets[1].clear_requests();
    assert!(send("key-of-alpha").contains(" 200 "));
    let requests = fleet.targets[1].requests();
    assert_eq!(header(&requests[0], "x-workspace").as_deref(), Some("alpha"));
    assert!(!requests[0].contains("key-of-alpha"), "{}", requests[0]);
}

/// Guards against work that goes on at a target after a caller of another VM has left.
#[test]
fn a_caller_that_leaves_cancels_its_request_at_the_other_vm() {
    let fleet = CutFleet::start("left");
    fleet.cut(CutManner::Reset);
    wait_until_cut_off(&fleet.cut_off.gateway);
    fleet.targets[0].set_behavior(Behavior::NeverRespond);
    fleet.targets[0].clear_requests();
    let mut caller = TcpStream::connect(fleet.cut_off.gateway.callers).unwrap();
    let head = "GET /read/left HTTP/1.1\r\nhost: board.example\r\nx-request-id: left\r\n";
    write!(caller, "{head}x-deadline-ms: 1900\r\n\r\n").unwrap();
    wait_until("the target runs the request", || !fleet.targets[0].requests().is_empty());
    let started = Instant::now();
    drop(caller);
    wait_until("the request is abandoned", || fleet.targets[0].abandoned_requests() > 0);
    assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
}
