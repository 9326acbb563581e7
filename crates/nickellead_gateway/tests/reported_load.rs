//! Load that a target reports on its responses: a report that can't be read changes nothing.
#![allow(clippy::unwrap_used)]

mod common;

use common::target::{Behavior, TestTarget};
use common::{TestGateway, gateway_with_targets};

/// The counters of signals on responses.
fn signal_counters(gateway: &TestGateway) -> Vec<String> {
    let text = gateway.metrics_text();
    let counters = text.lines().filter(|line| line.starts_with("nickellead_target_signs_total"));
    counters.map(str::to_owned).collect()
}

/// A response without the lines that differ between equal responses, in an order of their own: headers
/// of different names may come in any order.
fn comparable(response: &str, signals: &str) -> Vec<String> {
    let differs = |line: &str| line.starts_with("date:") || line.starts_with("x-request-id:");
    let lines = response.split("\r\n").filter(|line| !differs(line));
    let lines = lines.filter(|line| signals.split("\r\n").all(|signal| signal != *line));
    let mut lines: Vec<_> = lines.map(str::to_owned).collect();
    lines.sort();
    lines
}

#[test]
fn an_unreadable_load_is_counted_and_changes_nothing_else() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (gateway, _store) = gateway_with_targets("vm-load-unread", &[&target]);
    let send = || gateway.send("GET", "/read/", "");
    let usual = comparable(&send(), "");
    target.set_signals("x-load: 1,2,4\r\n");
    assert!(send().contains("x-load: 1,2,4\r\n"));
    assert!(signal_counters(&gateway).is_empty(), "{:?}", signal_counters(&gateway));
    let long = format!("x-load: {}\r\n", "1".repeat(5_000));
    let unreadable = [
        "x-load: \r\n",
        "x-load: few\r\n",
        "x-load: 1,2\r\n",
        "x-load: 1,2,4,100,7\r\n",
        "x-load: -1,2,4\r\n",
        "x-load: 1,2,4\u{fc}\r\n",
        "x-load: 1,2,4\r\nx-load: 2,2,4\r\n",
        &long,
    ];
    for (number, lines) in unreadable.into_iter().enumerate() {
        target.set_signals(lines);
        let response = send();
        for line in lines.split_inclusive("\r\n") {
            assert!(response.contains(line), "{lines:?}: {response}");
        }
        assert_eq!(comparable(&response, lines), usual, "{lines:?}");
        let counter = "nickellead_target_signs_total{sign=\"unreadable-load\"}";
        assert_eq!(signal_counters(&gateway), [format!("{counter} {}", number + 1)], "{lines:?}");
    }
}
