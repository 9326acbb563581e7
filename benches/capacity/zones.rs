//! Processor time, memory and messages of the coordinator of one zone.

use std::time::Duration;

use crate::driver::ZoneDriver;
use crate::{Point, allocated_bytes};

/// Numbers of shards of a zone with 250 targets.
const SHARD_COUNTS: [u32; 3] = [4_096, 16_384, 65_536];
/// Numbers of targets of a zone with 16,384 shards.
const TARGET_COUNTS: [u32; 3] = [60, 250, 1_000];

pub fn measure(points: &mut Vec<Point>) {
    for shards in SHARD_COUNTS {
        measure_shards(shards, points);
    }
    for targets in TARGET_COUNTS {
        measure_targets(targets, points);
    }
}

fn measure_shards(shards: u32, points: &mut Vec<Point>) {
    let before = allocated_bytes();
    let mut driver = ZoneDriver::new(shards, 250);
    driver.run(8_000);
    let memory = allocated_bytes().saturating_sub(before);
    let size = u64::from(shards);
    let delta = driver.coordinator.delta(None);
    assert_eq!(delta.changes.len(), shards as usize);
    points.push(Point::new("coordinator-memory", "shards", size, "bytes", memory as f64));
    let bytes = driver.max_placement_bytes as f64;
    points.push(Point::new("placement-object", "shards", size, "bytes", bytes));
    // A target is lost: its session expires and its shards move to other targets.
    driver.lost = Some(driver.first_target());
    let cpu_time = driver.cpu_time;
    let writes = driver.writes;
    driver.run(4_000);
    let cpu_ms = (driver.cpu_time - cpu_time).as_secs_f64() * 1_000.0;
    points.push(Point::new("target-lost-4s", "shards", size, "cpu_ms", cpu_ms));
    let writes = (driver.writes - writes) as f64;
    points.push(Point::new("target-lost-writes", "shards", size, "writes", writes));
}

fn measure_targets(targets: u32, points: &mut Vec<Point>) {
    let mut driver = ZoneDriver::new(16_384, targets);
    driver.run(8_000);
    let size = u64::from(targets);
    driver.cpu_time = Duration::ZERO;
    let (orders, bytes) = (driver.orders, driver.order_bytes);
    driver.run(10_000);
    let seconds = 10.0;
    let core_percent = driver.cpu_time.as_secs_f64() / seconds * 100.0;
    points.push(Point::new("coordinator-steady", "targets", size, "percent_of_core", core_percent));
    let rate = (driver.orders - orders) as f64 / seconds;
    points.push(Point::new("heartbeats", "targets", size, "a_second", rate));
    let bytes = (driver.order_bytes - bytes) as f64 / seconds;
    points.push(Point::new("heartbeat-bodies", "targets", size, "bytes_a_second", bytes));
}
