//! Targets that fell while they had requests are told apart from those that only break connections.
#![allow(clippy::unwrap_used)]

mod common;

use common::crashing_target::{CrashLog, start_targets};
use common::target::{Behavior, TestTarget};
use common::{TestGateway, gateway_with_targets, wait_until};

const FALLS: &str = "nickellead_target_falls_total{evidence=\"refused\"}";
const REQUESTS_AT_FALLS: &str = "nickellead_requests_at_falls_total";

/// Guards on-call against falls that no log or metric shows.
#[test]
fn metrics_tell_that_a_target_fell_with_a_request() {
    let log = CrashLog::default();
    let (_targets, store) = start_targets("told", &log);
    let gateway = TestGateway::start("crash-told", &store);
    gateway.wait_ready();
    wait_until("the VM serves", || gateway.send("GET", "/read/a", "").contains(" 200 "));
    gateway.send("GET", "/read/crash", "");
    let falls = log.falls().len();
    assert_eq!(falls, 2, "the request was repeated once");
    wait_until("the falls are known", || {
        gateway.send("GET", "/read/a", "");
        gateway.metric(FALLS) as usize == falls
    });
    assert_eq!(gateway.metric(REQUESTS_AT_FALLS) as usize, falls);
}

/// Guards against taking a target for fallen that closes connections under requests, and goes on.
#[test]
fn a_target_that_breaks_connections_and_answers_has_not_fallen() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (gateway, _store) = gateway_with_targets("crash-breaks", &[&target]);
    for _ in 0..5 {
        target.set_behavior(Behavior::Close);
        gateway.send("GET", "/read/a", "");
        target.set_behavior(Behavior::Serve);
        wait_until("the target serves", || gateway.send("GET", "/read/a", "").contains(" 200 "));
    }
    assert_eq!(gateway.find_metric(FALLS), None);
    assert_eq!(gateway.metric(REQUESTS_AT_FALLS), 0.0);
}
