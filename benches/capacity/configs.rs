//! Declarations of `nickellead run`: size and cost of an update when one target changes.

use std::sync::Arc;

use nickellead_api::DeclaredConfig;
use nickellead_core::Version;
use nickellead_peer::{ConfigChange, ConfigHistory, ConfigUpdate, config_state, encode};

use crate::routes::config;
use crate::updates::PointSink;
use crate::{Point, allocated_bytes};

/// Numbers of declared targets.
const TARGET_COUNTS: [u32; 3] = [250, 2_000, 8_000];

pub fn measure(points: &mut Vec<Point>) {
    for targets in TARGET_COUNTS {
        let mut sink = PointSink { points, size_of: "targets", size: u64::from(targets) };
        measure_config(targets, &mut sink);
    }
}

/// Returns declarations with targets sorted by name, as the platform's client returns them.
fn sorted_config(targets: u32) -> DeclaredConfig {
    let mut config = config(1_024, targets);
    config.targets.sort_by(|one, other| one.name.cmp(&other.name));
    config
}

fn measure_config(targets: u32, sink: &mut PointSink) {
    let old = sorted_config(targets);
    let before = allocated_bytes();
    let mut new = old.clone();
    let memory = allocated_bytes().saturating_sub(before);
    sink.add("config-copy-memory", "bytes", memory as f64);
    new.revision = Version(2);
    let target = &mut new.targets[targets as usize / 2];
    target.version = Version(2);
    target.spec.slots += 1;
    let change = sink.time("config-between", || ConfigChange::between(&old, &new).unwrap());
    let applied = sink.time("config-apply", || change.apply(&old).unwrap());
    assert_eq!(applied, new);
    let mut history = ConfigHistory::default();
    history.apply_whole(Arc::new(old.clone()));
    history.apply_whole(Arc::new(new));
    let encoded_bytes = |update: ConfigUpdate| encode(&update).unwrap().len() as f64;
    let change = history.since(Some(config_state(&old))).unwrap();
    sink.add("config-change", "bytes", encoded_bytes(change));
    sink.add("config-whole", "bytes", encoded_bytes(history.since(None).unwrap()));
}
