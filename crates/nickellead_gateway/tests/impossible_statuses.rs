//! Responses of targets whose status no response can have, such as 000.
#![allow(clippy::unwrap_used)]

mod common;

use common::cut_fleet::REQUESTS;
use common::dispatch_fleet::{DispatchFleet, FORWARDED, GRANTED, store_with};
use common::store::MemoryStore;
use common::target::{Behavior, TestTarget, header};
use common::{TestGateway, declarations, entry, wait_until};

/// Status lines that are malformed, and informational ones that nothing follows.
const IMPOSSIBLE: [&str; 15] = [
    "000 Odd",
    "000",
    "099 Odd",
    "0 Odd",
    "20 Odd",
    "0200 OK",
    "2000 OK",
    "-200 OK",
    "+200 OK",
    "20x OK",
    "100 Continue",
    "101 Switching Protocols",
    "102 Processing",
    "103 Early Hints",
    "199 Odd",
];
/// Status lines that no registry names, but that HTTP allows a recipient to hand on.
const UNREGISTERED: [&str; 3] = ["600 Odd", "700 Odd", "999 Odd"];

/// Asserts that a caller got an error of the VM, by which the request may have run.
fn assert_unknown(response: &str, case: &str) {
    let is_error = ["HTTP/1.1 502 ", "HTTP/1.1 504 "].iter().any(|one| response.starts_with(one));
    assert!(is_error, "{case}: {response}");
    let outcome = header(response, "nickellead-outcome");
    assert_eq!(outcome.as_deref(), Some("unknown"), "{case}: {response}");
    assert!(header(response, "retry-after").is_none(), "{case}: {response}");
}

/// One VM, and a target of each service.
fn start_vm(name: &str) -> (TestGateway, Vec<TestTarget>, MemoryStore) {
    let store = MemoryStore::default();
    let start = |service: &str| {
        let target = TestTarget::start(&format!("{service}-1"), Behavior::Serve);
        store.list(entry(&target.id, service, target.address));
        target
    };
    let targets = ["plain", "keyed"].map(start).into_iter().collect();
    store.declare(declarations(1));
    let gateway = TestGateway::start(name, &store);
    gateway.wait_ready();
    for (method, path) in REQUESTS {
        wait_until("requests are served", || {
            gateway.send(method, path, "x-key: 7\r\n").contains(" 200 ")
        });
    }
    (gateway, targets, store)
}

/// Guards against a caller that gets such a status as an answer, on all kinds of routes, and against a
/// request that runs again because of it.
#[test]
fn an_impossible_status_is_no_answer() {
    for (number, status) in IMPOSSIBLE.into_iter().enumerate() {
        let (gateway, targets, _store) = start_vm(&format!("vm-status-{number}"));
        for (method, path) in REQUESTS {
            targets.iter().for_each(|target| {
                target.set_behavior(Behavior::Respond(status));
                target.clear_requests();
            });
            let response = gateway.send(method, path, "x-key: 7\r\n");
            assert_unknown(&response, &format!("{status}, {path}"));
            let arrivals: usize = targets.iter().map(|target| target.requests().len()).sum();
            let most = if path.starts_with("/write") { 1 } else { 2 };
            assert!((1..=most).contains(&arrivals), "{status}, {path}: {arrivals} arrivals");
        }
    }
}

/// Guards against a status that is changed on the way although HTTP allows it.
#[test]
fn an_unregistered_status_is_handed_on() {
    let (gateway, targets, _store) = start_vm("vm-unregistered");
    for status in UNREGISTERED {
        targets.iter().for_each(|target| target.set_behavior(Behavior::Respond(status)));
        let response = gateway.send("POST", "/write/a", "");
        assert!(response.starts_with(&format!("HTTP/1.1 {}", &status[..3])), "{response}");
    }
}

/// Guards the same on the way over a dispatcher.
#[test]
fn an_impossible_status_is_no_answer_over_a_dispatcher() {
    for (service, path, metric) in [("plain", "/read/a", GRANTED), ("keyed", "/key/a", FORWARDED)] {
        let target = TestTarget::start("t1", Behavior::Serve);
        let store = store_with(service, &target);
        let fleet = DispatchFleet::start(&format!("vm-status-{service}"), &store, path, metric);
        for status in IMPOSSIBLE {
            for gateway in &fleet.gateways {
                target.set_behavior(Behavior::Serve);
                wait_until("requests are served", || {
                    gateway.send("GET", path, "x-key: 7\r\n").contains(" 200 ")
                });
                target.set_behavior(Behavior::Respond(status));
                let response = gateway.send("GET", path, "x-key: 7\r\n");
                assert_unknown(&response, &format!("{status}, {path}, dispatched"));
            }
        }
    }
}
