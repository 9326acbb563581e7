//! How fast each route spends what its objective allows to fail.
//!
//! A burn of 1 spends exactly the allowance; 10 spends it ten times as fast. A
//! long and a short window together tell a fault that goes on from one that is over.

use std::collections::BTreeMap;
use std::fmt;

use nickellead_event::{EventName, REQUEST_ANSWERED_SAMPLE_INTERVAL};
use serde::Serialize;

use crate::LogLine;

/// What is counted against.
#[derive(Clone, Debug, PartialEq)]
pub struct BurnSettings {
    /// Part of the requests that must be answered, above 0 and below 1.
    pub objective: f64,
    /// Lengths of the windows, in seconds; all end with the newest line.
    pub windows_s: Vec<f64>,
}

/// One window of one route.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnWindow {
    /// Its length in seconds.
    pub window_s: f64,
    /// Requests answered; estimated from the sampled lines.
    pub answered: u64,
    /// Requests refused or failed; every one is logged.
    pub failed: u64,
    /// How many times as fast as allowed the objective is spent.
    pub burn: f64,
}

/// All windows of one route.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RouteBurn {
    /// The route.
    pub route: String,
    /// Its windows, in the order of the settings.
    pub windows: Vec<BurnWindow>,
}

/// The burn of all routes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnReport {
    /// Part of the requests that must be answered.
    pub objective: f64,
    /// Every route that the lines name.
    pub routes: Vec<RouteBurn>,
    /// Lines that were dropped; failures may be missing then.
    pub lines_dropped: u64,
}

/// Counts the lines of request outcomes by route and window.
#[must_use]
pub fn report_burn(lines: &[LogLine], settings: &BurnSettings) -> BurnReport {
    let end = lines.iter().map(|line| line.at).fold(0.0, f64::max);
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
            .map(|window| count_window(&lines, end, *window, settings.objective))
            .collect(),
    });
    let dropped = |line: &LogLine| match line.event {
        EventName::LinesDropped => line.field("count")?.parse::<u64>().ok(),
        _ => None,
    };
    BurnReport {
        objective: settings.objective,
        routes: routes.collect(),
        lines_dropped: lines.iter().filter_map(dropped).sum(),
    }
}

fn count_window(lines: &[&LogLine], end: f64, window_s: f64, objective: f64) -> BurnWindow {
    let (mut answered, mut failed) = (0, 0);
    for line in lines.iter().filter(|line| line.at > end - window_s) {
        let server_error = line.field("status").is_some_and(|status| status.starts_with('5'));
        match (line.event, server_error) {
            (EventName::RequestAnswered, false) => answered += REQUEST_ANSWERED_SAMPLE_INTERVAL,
            (EventName::RequestAnswered, true) => failed += REQUEST_ANSWERED_SAMPLE_INTERVAL,
            _ => failed += 1,
        }
    }
    let all = answered + failed;
    let part = if all == 0 { 0.0 } else { failed as f64 / all as f64 };
    BurnWindow { window_s, answered, failed, burn: part / (1.0 - objective) }
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
