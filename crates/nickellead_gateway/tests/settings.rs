//! Settings that a deployment may leave out or set.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use nickellead_gateway::{GatewaySettings, SettingsError};
use nickellead_limit::{MemoryBounds, machine_memory};

/// The required settings with `extra` lines, each of which ends with a comma.
fn read(extra: &str) -> Result<GatewaySettings, SettingsError> {
    let text = format!(
        r#"{{"vm": "vm-1", "zone": "zone-a", "callers_address": "127.0.0.1:1",
            "readiness_address": "127.0.0.1:2", "peers_address": "127.0.0.1:3",
            "store_address": "127.0.0.1:4", {extra} "grace_s": 6}}"#
    );
    GatewaySettings::read(text.as_bytes())
}

/// Guards against a VM that nothing bounds because its settings don't tell its memory.
#[test]
fn without_settings_of_the_machine_its_own_memory_bounds_what_is_held() {
    let settings = read("").unwrap();
    assert_eq!(settings.memory_bounds(), MemoryBounds::of_machine(machine_memory()));
    assert!(settings.memory_bounds().total < usize::MAX / 2);
    assert_eq!(settings.max_connections(), 2_000);
}

#[test]
fn bounds_follow_from_the_machine() {
    let bounded = |limits: &str| read(limits).unwrap();
    let small = bounded(r#""memory_mb": 120, "max_fds": 3075,"#);
    assert_eq!((small.memory_bounds().shared, small.max_connections()), (40_000_000, 1_309));
    assert_eq!(small.memory_bounds().total, 96_000_000);
    assert_eq!(small.memory_bounds().connections, 30_000_000);
    let large = bounded(r#""memory_mb": 512, "max_fds": 10250,"#);
    assert_eq!((large.memory_bounds().shared, large.max_connections()), (170_666_666, 2_000));
    assert_eq!(bounded(r#""max_fds": 3075, "connections": 2500,"#).max_connections(), 2_500);
}

#[test]
fn a_lease_is_never_longer_than_targets_accept() {
    let times = |extra: &str| {
        let ownership = read(extra).unwrap().ownership;
        (ownership.lease(), ownership.renewal_interval())
    };
    let usual = (Duration::from_millis(4_500), Duration::from_secs(1));
    assert_eq!(times(""), usual);
    assert_eq!(times(r#""ownership": {"max_hold_s": 10},"#), usual);
    let short = (Duration::from_millis(1_500), Duration::from_millis(750));
    assert_eq!(times(r#""ownership": {"max_hold_s": 1.5},"#), short);
}

#[test]
fn values_out_of_bounds_are_rejected() {
    for wrong in [
        r#""memory_mb": 0,"#,
        r#""max_fds": 0,"#,
        r#""connections": 0,"#,
        r#""retry_ratio": -0.1,"#,
        r#""retry_extra": -1,"#,
        r#""ownership": {"max_hold_s": 0.1},"#,
    ] {
        assert!(matches!(read(wrong), Err(SettingsError::Bound { .. })), "{wrong}");
    }
}
