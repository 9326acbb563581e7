//! Requests from callers through a gateway to targets.
#![allow(clippy::unwrap_used)]

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::store::MemoryStore;
use common::target::{Behavior, TestTarget, header};
use common::{
    TestGateway, declarations, entry, exchange, free_address, full_listener, gateway_with_targets,
    route, wait_until,
};
use nickellead_gateway::{DispatchScope, GatewaySettings, RepeatClass, WeightedService};

#[test]
fn a_request_reaches_a_target_unchanged_and_its_response_is_returned() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (gateway, _store) = gateway_with_targets("vm-plain", &[&target]);
    let more_headers = "content-length: 4\r\nx-other: o\r\nx-target: forged\r\n";
    let response = exchange(
        gateway.callers,
        &format!(
            "PUT /write/a/b?c=d%20e HTTP/1.1\r\nhost: board.example\r\nx-request-id: r7\r\n\
             x-deadline-ms: 900\r\n{more_headers}\r\nbody"
        ),
    );
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(
        response.contains("x-proof: p\r\n") && response.contains("x-more: kept\r\n"),
        "{response}"
    );
    assert!(response.ends_with("\r\n\r\nt1"), "{response}");
    let received = target.requests().pop().unwrap();
    assert!(received.starts_with("PUT /write/a/b?c=d%20e HTTP/1.1\r\n"), "{received}");
    assert!(received.ends_with("\r\n\r\nbody"), "{received}");
    assert_eq!(header(&received, "x-request-id").as_deref(), Some("r7"));
    assert_eq!(header(&received, "x-other").as_deref(), Some("o"));
    assert_eq!(
        header(&received, "x-target").as_deref(),
        Some("t1"),
        "the request names the selected target"
    );
    let remaining_ms: u64 = header(&received, "x-deadline-ms").unwrap().parse().unwrap();
    assert!(remaining_ms <= 900, "deadline longer than the caller's: {remaining_ms}");
}

#[test]
fn bad_requests_get_their_status_and_reach_no_target() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (gateway, _store) = gateway_with_targets("vm-bad", &[&target]);
    let status = |response: String| response.split(' ').nth(1).unwrap_or_default().to_owned();
    assert_eq!(status(gateway.send("GET", "/nowhere/", "")), "404");
    assert_eq!(status(gateway.send("GET", "/readable", "")), "404", "a prefix includes its slash");
    let long = format!("x-long: {}\r\n", "a".repeat(20_000));
    assert_eq!(status(gateway.send("GET", "/read/", &long)), "431");
    let huge = "content-length: 100000000\r\n";
    assert_eq!(status(gateway.send("POST", "/write/", huge)), "413");
    let conflicting = "content-length: 3\r\ntransfer-encoding: chunked\r\n";
    let smuggled = gateway.send("POST", "/write/", conflicting);
    assert!(smuggled.is_empty() || status(smuggled) == "400");
    let without_request_id = "GET /read/ HTTP/1.1\r\nhost: board.example\r\n\r\n";
    assert_eq!(status(exchange(gateway.callers, without_request_id)), "400");
    assert_eq!(status(exchange(gateway.callers, "nonsense\r\n\r\n")), "400");
    assert_eq!(target.requests().len(), 0, "{:?}", target.requests());
}

#[test]
fn an_unsafe_request_that_may_have_run_is_not_repeated() {
    let (first, second) =
        (TestTarget::start("t1", Behavior::Close), TestTarget::start("t2", Behavior::Close));
    let (gateway, _store) = gateway_with_targets("vm-once", &[&first, &second]);
    let response = gateway.send("POST", "/write/", "");
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert_eq!(first.requests().len() + second.requests().len(), 1);
}

#[test]
fn a_safe_request_is_repeated_at_another_target() {
    let (bad, good) =
        (TestTarget::start("t1", Behavior::Close), TestTarget::start("t2", Behavior::Serve));
    let (gateway, _store) = gateway_with_targets("vm-safe", &[&bad, &good]);
    for _ in 0..10 {
        let response = gateway.send("GET", "/read/", "");
        assert!(response.ends_with("t2"), "{response}");
    }
}

#[test]
fn shed_requests_go_to_a_second_target_and_no_further() {
    let sheds = || TestTarget::start("t1", Behavior::Shed);
    let targets =
        [sheds(), TestTarget::start("t2", Behavior::Shed), TestTarget::start("t3", Behavior::Shed)];
    let (gateway, _store) =
        gateway_with_targets("vm-shed", &[&targets[0], &targets[1], &targets[2]]);
    let response = gateway.send("POST", "/write/", "");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("retry-after: 0."), "no retry-after: {response}");
    let arrivals: usize = targets.iter().map(|target| target.requests().len()).sum();
    assert_eq!(arrivals, 2, "the route allows two attempts");
}

#[test]
fn responses_to_other_requests_are_never_forwarded() {
    let target = TestTarget::start("t1", Behavior::RespondWithOtherId);
    let (gateway, _store) = gateway_with_targets("vm-foreign", &[&target]);
    let response = gateway.send("POST", "/write/", "");
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert!(!response.contains("alien"));
}

/// Guards against requests that run twice, or are refused as not run though they ran: a late copy of an
/// earlier request's refusal was taken for the refusal of the request that was running.
#[test]
fn refusals_of_other_requests_are_not_taken_for_this_one() {
    for status in ["503 Service Unavailable", "421 Misdirected Request"] {
        let behavior = Behavior::RefuseWithOtherId(status);
        let targets = ["t1", "t2"].map(|name| TestTarget::start(name, Behavior::Serve));
        let (gateway, _store) =
            gateway_with_targets("vm-late-refusal", &[&targets[0], &targets[1]]);
        targets.iter().for_each(|target| target.set_behavior(behavior.clone()));
        let response = gateway.send("POST", "/write/", "");
        assert!(response.starts_with("HTTP/1.1 502"), "{status}: {response}");
        let arrivals: usize = targets.iter().map(|target| target.requests().len()).sum();
        assert_eq!(arrivals, 1, "{status}: the request may have run at the first target");
        assert_eq!(gateway.metric("nickellead_targets_leaving"), 0.0, "{status}");
    }
}

/// Guards against telling a caller that its request did not run although it did: a target that does not say
/// so itself responded with a status that promises it to callers.
#[test]
fn a_status_by_which_a_target_does_not_refuse_is_no_promise_to_the_caller() {
    for status in ["503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"] {
        let targets = ["t1", "t2"].map(|name| TestTarget::start(name, Behavior::Respond(status)));
        let (gateway, _store) = gateway_with_targets("vm-no-promise", &[&targets[0], &targets[1]]);
        let response = gateway.send("POST", "/write/", "");
        assert!(response.starts_with("HTTP/1.1 502"), "{status}: {response}");
        assert!(!response.contains("x-proof"), "{status}: {response}");
        let arrivals: usize = targets.iter().map(|target| target.requests().len()).sum();
        assert_eq!(arrivals, 1, "{status}: the request may have run at the first target");
    }
}

#[test]
fn an_error_response_of_a_target_is_forwarded_unchanged() {
    let target = TestTarget::start("t1", Behavior::Respond("500 Internal Server Error"));
    let (gateway, _store) = gateway_with_targets("vm-failure", &[&target]);
    let response = gateway.send("POST", "/write/", "");
    assert!(response.starts_with("HTTP/1.1 500") && response.contains("x-proof: p"), "{response}");
}

#[test]
fn a_caller_that_disconnects_cancels_the_request_at_the_target() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (gateway, _store) = gateway_with_targets("vm-leaves", &[&target]);
    target.set_behavior(Behavior::NeverRespond);
    let mut stream = TcpStream::connect(gateway.callers).unwrap();
    let request = "GET /read/ HTTP/1.1\r\nhost: board.example\r\nx-request-id: r1\r\n\
                   x-deadline-ms: 1900\r\n\r\n";
    stream.write_all(request.as_bytes()).unwrap();
    wait_until("the target has the request", || !target.requests().is_empty());
    drop(stream);
    wait_until("the target's connection is closed", || target.abandoned_requests() == 1);
}

#[test]
fn an_older_version_never_replaces_a_newer_one() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (gateway, store) = gateway_with_targets("vm-version", &[&target]);
    let mut newer = declarations(9);
    newer.routes.push(route("added", "plain", RepeatClass::Safe).into());
    store.declare(newer);
    wait_until("the new route is served", || gateway.send("GET", "/added/", "").contains(" 200 "));
    store.declare(declarations(5));
    std::thread::sleep(Duration::from_millis(600));
    assert!(gateway.send("GET", "/added/", "").contains(" 200 "));
}

#[test]
fn a_split_keeps_its_weights() {
    let (first, second) =
        (TestTarget::start("t1", Behavior::Serve), TestTarget::start("t2", Behavior::Serve));
    let (gateway, store) = gateway_with_targets("vm-split", &[&first]);
    let mut split = declarations(3);
    let weighted = |service: &str, weight| WeightedService { service: service.to_owned(), weight };
    split.services.insert("second".to_owned(), split.services["plain"].clone());
    split.routes[0].split = vec![weighted("plain", 90.0), weighted("second", 10.0)];
    store.list(entry("t2", "second", second.address));
    store.declare(split);
    wait_until("the split is active", || gateway.send("GET", "/read/", "").ends_with("t2"));
    first.clear_requests();
    second.clear_requests();
    for _ in 0..100 {
        assert!(gateway.send("GET", "/read/", "").contains(" 200 "));
    }
    assert_eq!((first.requests().len(), second.requests().len()), (90, 10));
}

/// Guards against refusing requests after a start because the list of targets arrives after the
/// declarations.
#[test]
fn a_request_waits_for_the_first_list_of_targets() {
    let target = TestTarget::start("t-1", Behavior::Serve);
    let store = MemoryStore::default();
    let mut declared = declarations(1);
    // Longer than the gateway's interval between reads of the list.
    declared.routes.iter_mut().for_each(|route| route.latency_target = Duration::from_secs(4));
    store.declare(declared);
    let gateway = TestGateway::start("early", &store);
    wait_until("the declarations are known", || {
        gateway.send("GET", "/nowhere/", "").starts_with("HTTP/1.1 404")
    });
    assert!(
        exchange(gateway.readiness, "GET /ready HTTP/1.1\r\nhost: a\r\n\r\n").contains(" 503 ")
    );
    let response = std::thread::scope(|scope| {
        let sending = scope.spawn(|| gateway.send("GET", "/read/a", ""));
        std::thread::sleep(Duration::from_millis(60));
        store.list(entry(&target.id, "plain", target.address));
        sending.join().unwrap()
    });
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    gateway.wait_ready();
}

/// Guards against refusing requests shortly before the declarations arrive on a slow start.
#[test]
fn a_request_waits_for_declarations_that_come_late() {
    let target = TestTarget::start("t-1", Behavior::Serve);
    let store = MemoryStore::default();
    store.list(entry("t-1", "plain", target.address));
    let gateway = TestGateway::start("vm-slow-start", &store);
    // The declarations arrive before the deadline of the request.
    let sending = gateway.send_in_background("GET", "/read/early");
    std::thread::sleep(Duration::from_millis(320));
    store.declare(declarations(1));
    let response = sending.join().unwrap();
    assert!(response.contains("not-configured") || response.contains(" 200 "), "{response}");
    assert!(response.contains(" 200 "), "{response}");
}

/// Guards against holding each request for a key whose owner is unreachable.
#[test]
fn requests_to_an_unreachable_target_are_refused_at_once() {
    check_unreachable_target("unreachable", |_| {});
}

/// The same where failures of all kinds count for the target's zone.
#[test]
fn requests_to_an_unreachable_target_of_a_dispatching_vm_are_refused_at_once() {
    check_unreachable_target("unreachable-dispatch", |settings| {
        settings.dispatch_address = Some(free_address());
        settings.dispatch_scope = DispatchScope::Always;
    });
}

fn check_unreachable_target(name: &str, edit: impl FnOnce(&mut GatewaySettings)) {
    let (_socket, address, _fillers) = full_listener();
    let store = MemoryStore::default();
    store.list(entry("t-1", "keyed", address));
    store.declare(declarations(1));
    let gateway = TestGateway::start_as(name, &store, edit);
    gateway.wait_ready();
    let settled =
        |map: nickellead_range::RangeMap| map.find("keyed", 5).is_some_and(|range| range.settled);
    wait_until("the key has an owner", || store.range_map().is_some_and(settled));
    let send = || gateway.send("GET", "/key/a", "x-key: 5\r\n");
    wait_until("the owner is known", || send().contains("target-unreachable"));
    let started = Instant::now();
    let second_response = send();
    assert!(
        second_response.contains("target-unreachable") && second_response.contains("retry-after"),
        "{second_response}"
    );
    // The gateway sends at most one probe in 300 ms, with a timeout of 400 ms.
    assert!(started.elapsed() < Duration::from_millis(600), "{:?}", started.elapsed());
    let started = Instant::now();
    let third_response = send();
    assert!(third_response.contains("target-unreachable"), "{third_response}");
    assert!(started.elapsed() < Duration::from_millis(600), "{:?}", started.elapsed());
}

/// Guards against queueing requests until their deadline behind a target that never responds.
#[test]
fn requests_to_a_target_that_never_responds_are_refused_at_once() {
    let target = TestTarget::start("t1", Behavior::NeverRespond);
    let (gateway, _store) = gateway_with_targets("vm-swallowed", &[&target]);
    let callers: Vec<_> = (0..2).map(|_| gateway.send_in_background("GET", "/read/")).collect();
    // Longer than the latency target of the route.
    std::thread::sleep(Duration::from_millis(700));
    let started = Instant::now();
    let response = gateway.send("GET", "/read/", "");
    assert!(response.contains("overloaded") && response.contains("retry-after"), "{response}");
    assert!(started.elapsed() < Duration::from_millis(150), "{:?}", started.elapsed());
    callers.into_iter().for_each(|caller| drop(caller.join()));
}

/// Guards against callers that all retry at the same moment and are refused again.
#[test]
fn retry_delays_are_randomized_and_within_the_latency_target() {
    let target = TestTarget::start("t1", Behavior::Shed);
    let (gateway, _store) = gateway_with_targets("vm-back", &[&target]);
    let next_delay = || -> f64 {
        let response = gateway.send("GET", "/read/", "");
        let retry_after = response.lines().find_map(|line| line.strip_prefix("retry-after: "));
        retry_after.unwrap().parse().unwrap()
    };
    let retry_delays: Vec<f64> = (0..5).map(|_| next_delay()).collect();
    // The latency target is half a second, and a response may take half of it.
    assert!(retry_delays.iter().all(|delay| *delay > 0.0 && *delay < 0.25), "{retry_delays:?}");
    assert!(
        retry_delays.iter().any(|delay| (delay - retry_delays[0]).abs() > 0.005),
        "{retry_delays:?}"
    );
}

/// Guards against a status by which a caller never repeats its request, 400, for a proper request whose
/// body had not arrived completely by its deadline.
#[test]
fn a_request_whose_body_is_late_is_not_called_malformed() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (gateway, _store) = gateway_with_targets("vm-late-body", &[&target]);
    let response = gateway.send("POST", "/write/", "transfer-encoding: chunked\r\n");
    assert!(response.starts_with("HTTP/1.1 "), "{response}");
    assert!(!response.starts_with("HTTP/1.1 400"), "{response}");
    assert_eq!(target.requests().len(), 0, "{:?}", target.requests());
}
