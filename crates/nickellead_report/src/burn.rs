//! Burn rates: how fast each route consumes the error budget of its objective.
//!
//! A burn rate of 1 consumes exactly the budget, a rate of 10 ten times as much. A
//! long and a short window together distinguish an ongoing fault from a past one.

use std::collections::BTreeMap;
use std::fmt;

use nickellead_event::{EventName, REQUEST_ANSWERED_SAMPLE_INTERVAL};
use serde::Serialize;

use crate::LogLine;

/// Objective and windows of a burn report.
#[derive(Clone, Debug, PartialEq)]
pub struct BurnSettings {
    /// Fraction of requests that must be answered, above 0 and below 1.
    pub objective: f64,
    /// Durations of the windows in seconds; every window ends at the newest line.
    pub windows_s: Vec<f64>,
}

/// Counts and burn rate of one route over one window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnWindow {
    /// Duration of the window in seconds.
    pub window_s: f64,
    /// Answered requests, estimated from the sampled lines.
    pub answered: u64,
    /// Refused and failed requests, each of which is logged.
    pub failed: u64,
    /// Burn rate: error fraction divided by the fraction that the objective allows.
    pub burn: f64,
}

/// Burn rates of one route.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RouteBurn {
    /// Name of the route in the log lines.
    pub route: String,
    /// One entry per window, in the order of the settings.
    pub windows: Vec<BurnWindow>,
}

/// Burn rates of all routes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnReport {
    /// Fraction of requests that must be answered.
    pub objective: f64,
    /// Routes that appear in the lines, sorted by name.
    pub routes: Vec<RouteBurn>,
    /// Number of dropped log lines; above 0, failures may be missing.
    pub lines_dropped: u64,
}

/// Computes burn rates per route and window from the lines of request outcomes.
#[must_use]
pub fn report_burn(lines: &[LogLine], settings: &BurnSettings) -> BurnReport {
    let end_s = lines.iter().map(|line| line.at).fold(0.0, f64::max);
    let mut by_route: BTreeMap<&str, Vec<&LogLine>> = BTreeMap::new();
    for line in lines {
        let outcome = matches!(line.event, EventName::RequestAnswered | EventName::RequestFailed);
        if let Some(route) = line.field("route").filter(|_| outcome) {
            by_route.entry(route).or_default().push(line);
        }
    }
    let routes = by_route.into_iter().map(|(route, lines)| RouteBurn {
        route: route.to_owned(),
        windows: settings
            .windows_s
            .iter()
            .map(|window| count_window(&lines, end_s, *window, settings.objective))
            .collect(),
    });
    let dropped_lines = |line: &LogLine| match line.event {
        EventName::LinesDropped => line.field("count")?.parse::<u64>().ok(),
        _ => None,
    };
    BurnReport {
        objective: settings.objective,
        routes: routes.collect(),
        lines_dropped: lines.iter().filter_map(dropped_lines).sum(),
    }
}

fn count_window(lines: &[&LogLine], end_s: f64, window_s: f64, objective: f64) -> BurnWindow {
    let (mut answered, mut failed) = (0, 0);
    for line in lines.iter().filter(|line| line.at > end_s - window_s) {
        let server_error = line.field("status").is_some_and(|status| status.starts_with('5'));
        match (line.event, server_error) {
            (EventName::RequestAnswered, false) => answered += REQUEST_ANSWERED_SAMPLE_INTERVAL,
            (EventName::RequestAnswered, true) => failed += REQUEST_ANSWERED_SAMPLE_INTERVAL,
            _ => failed += 1,
        }
    }
    let total = answered + failed;
    let error_fraction = if total == 0 { 0.0 } else { failed as f64 / total as f64 };
    BurnWindow { window_s, answered, failed, burn: error_fraction / (1.0 - objective) }
}

impl fmt::Display for BurnReport {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "objective={} lines_dropped={}", self.objective, self.lines_dropped)?;
        for route in &self.routes {
            for window in &route.windows {
                writeln!(
                    out,
                    "route={} window_s={} answered={} failed={} burn={:.2}",
                    route.route, window.window_s, window.answered, window.failed, window.burn
                )?;
            }
        }
        Ok(())
    }
}
