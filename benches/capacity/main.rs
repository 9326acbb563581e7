//! Slopes of state, messages, processor time and memory, for docs/CAPACITY.md.
//!
//! `cargo bench --bench capacity` rewrites `bench/results/capacity.json`; with the
//! names of parts (routes, news, configs, zones, fleets) it measures these and replaces their
//! points there. Each slope has at least three sizes. Times are of this machine; they
//! are printed, not judged.
#![allow(clippy::unwrap_used, clippy::print_stdout, missing_docs)]

#[path = "../../tests/common/mod.rs"]
mod common;
mod configs;
mod driver;
mod fleets;
#[path = "../../crates/nickellead_gateway/tests/common/many_routes.rs"]
mod many_routes;
mod news;
mod routes;
mod zones;

use std::alloc::System;
use std::borrow::Cow;

use serde::{Deserialize, Serialize};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Where the points are kept.
const RESULTS: &str = "bench/results/capacity.json";

/// One measured point of a slope.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Point {
    /// What was measured.
    pub slope: Cow<'static, str>,
    /// What the size counts.
    pub size_of: Cow<'static, str>,
    /// The size.
    pub size: u64,
    /// What the value counts.
    pub unit: Cow<'static, str>,
    /// The value.
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

/// One part of the measurement.
type Measure = fn(&mut Vec<Point>);

fn main() {
    let mut points = Vec::new();
    let wanted: Vec<String> =
        std::env::args().skip(1).filter(|word| !word.starts_with('-')).collect();
    let parts: [(&str, Measure); 5] = [
        ("routes", routes::measure),
        ("news", news::measure),
        ("configs", configs::measure),
        ("zones", zones::measure),
        ("fleets", fleets::measure),
    ];
    for (name, measure) in parts {
        if wanted.is_empty() || wanted.iter().any(|word| word == name) {
            measure(&mut points);
        }
    }
    let mut kept = if wanted.is_empty() { Vec::new() } else { other_points(&points) };
    kept.append(&mut points);
    let text = serde_json::to_string_pretty(&kept).unwrap();
    std::fs::write(RESULTS, text + "\n").unwrap();
}

/// The points of earlier runs whose slopes were not measured now.
fn other_points(measured: &[Point]) -> Vec<Point> {
    let text = std::fs::read_to_string(RESULTS).unwrap();
    let mut points: Vec<Point> = serde_json::from_str(&text).unwrap();
    points.retain(|point| measured.iter().all(|new| point.slope != new.slope));
    points
}

/// Bytes that this process has allocated and not given back.
pub fn allocated_bytes() -> u64 {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated) as u64
}

/// Resident memory of a process in bytes.
pub fn resident_bytes(process: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}
