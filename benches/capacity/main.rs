//! Growth of state, messages, processor time and memory with size, for docs/CAPACITY.md.
//!
//! `cargo bench --bench capacity` rewrites `bench/results/capacity.json`. With the names of groups
//! (routes, news, configs, zones, fleets) it measures only these and replaces their points. Each
//! slope has at least three sizes. Results are printed without checking them.
#![allow(clippy::unwrap_used, clippy::print_stdout, missing_docs)]

#[path = "../../tests/common/mod.rs"]
mod common;
mod configs;
mod driver;
mod fleets;
#[path = "../../crates/nickellead_gateway/tests/common/many_routes.rs"]
mod many_routes;
mod routes;
mod updates;
mod zones;

use std::alloc::System;
use std::borrow::Cow;

use serde::{Deserialize, Serialize};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// File with the points, relative to the workspace root.
const RESULTS: &str = "bench/results/capacity.json";

/// One measurement of a quantity at one size.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Point {
    /// Name of the quantity.
    pub slope: Cow<'static, str>,
    /// Unit of the size.
    pub size_of: Cow<'static, str>,
    /// Size at which the quantity was measured.
    pub size: u64,
    /// Unit of the value.
    pub unit: Cow<'static, str>,
    /// Measured value.
    pub value: f64,
}

impl Point {
    pub fn new(
        slope: &'static str,
        size_of: &'static str,
        size: u64,
        unit: &'static str,
        value: f64,
    ) -> Self {
        println!("slope={slope} {size_of}={size} {unit}={value:.3}");
        Self { slope: slope.into(), size_of: size_of.into(), size, unit: unit.into(), value }
    }
}

/// Measures one group of slopes.
type MeasureFn = fn(&mut Vec<Point>);

fn main() {
    let mut points = Vec::new();
    let selected: Vec<String> =
        std::env::args().skip(1).filter(|argument| !argument.starts_with('-')).collect();
    let groups: [(&str, MeasureFn); 5] = [
        ("routes", routes::measure),
        ("news", updates::measure),
        ("configs", configs::measure),
        ("zones", zones::measure),
        ("fleets", fleets::measure),
    ];
    for (name, measure) in groups {
        if selected.is_empty() || selected.iter().any(|argument| argument == name) {
            measure(&mut points);
        }
    }
    let mut stored = if selected.is_empty() { Vec::new() } else { stored_points(&points) };
    stored.append(&mut points);
    let text = serde_json::to_string_pretty(&stored).unwrap();
    std::fs::write(RESULTS, text + "\n").unwrap();
}

/// Reads the stored points of slopes that this run has not measured.
fn stored_points(measured: &[Point]) -> Vec<Point> {
    let text = std::fs::read_to_string(RESULTS).unwrap();
    let mut points: Vec<Point> = serde_json::from_str(&text).unwrap();
    points.retain(|point| measured.iter().all(|new| point.slope != new.slope));
    points
}

/// Returns the number of heap bytes that this process has allocated and not freed.
pub fn allocated_bytes() -> u64 {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated) as u64
}

/// Returns the resident memory of a process in bytes.
pub fn resident_bytes(process: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}
