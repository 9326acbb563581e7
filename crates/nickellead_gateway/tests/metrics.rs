//! Figures add up with what callers saw.
#![allow(clippy::unwrap_used)]

mod common;

use common::target::{Behavior, TestTarget};
use common::{exchange, gateway_with_targets, wait_until};

/// The value of a figure, by the beginning of its line.
fn figure(text: &str, start: &str) -> f64 {
    let line = text.lines().find(|line| line.starts_with(start));
    line.map_or(0.0, |line| line.rsplit(' ').next().unwrap().parse().unwrap())
}

#[test]
fn outcomes_errors_and_requests_add_up_with_what_callers_saw() {
    let target = TestTarget::start("t-1", Behavior::Serve);
    let (gateway, _store) = gateway_with_targets("metrics", &[&target]);
    let scrape = || exchange(gateway.metrics, "GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n");
    let before = scrape();
    let answered =
        (0..20).filter(|_| gateway.send("GET", "/read/a", "").starts_with("HTTP/1.1 200"));
    let answered = answered.count() as f64;
    let unknown =
        (0..5).filter(|_| gateway.send("GET", "/nowhere/", "").starts_with("HTTP/1.1 404"));
    let unknown = unknown.count() as f64;
    let after = scrape();
    let grown = |start: &str| figure(&after, start) - figure(&before, start);
    assert_eq!((answered, unknown), (20.0, 5.0));
    assert_eq!(grown("nickellead_requests_total"), 25.0);
    assert_eq!(grown("nickellead_answer_seconds_count"), answered);
    assert_eq!(grown("nickellead_errors_total{error=\"unknown-route\"}"), unknown);
    assert_eq!(
        grown("nickellead_outcomes_total{service=\"plain\",outcome=\"answered\"}"),
        answered
    );
    assert_eq!(grown("nickellead_outcomes_total{service=\"-\",outcome=\"not-run\"}"), unknown);
    assert_eq!(figure(&after, "nickellead_config_version"), 1.0);
    wait_until("the VM decides", || figure(&scrape(), "nickellead_mandate_held") == 1.0);
    assert!(figure(&after, "nickellead_store_calls_total{answer=\"done\"}") > 0.0, "{after}");
    assert!(after.trim_end().ends_with("# EOF"), "the text ends as the format asks");
}
