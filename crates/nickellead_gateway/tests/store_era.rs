//! Eras that the store reports on its responses, including invalid ones.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use nickellead_gateway::{EraMonitor, StoreEra};

const RECENT: Duration = Duration::from_secs(60);

/// Observes a response to a call that was sent in the current era.
fn observe(monitor: &EraMonitor, value: &str) -> StoreEra {
    monitor.observe(Some(value.as_bytes()), monitor.era())
}

#[test]
fn a_store_that_reports_no_era_has_era_zero() {
    let monitor = EraMonitor::default();
    assert_eq!(monitor.observe(None, monitor.era()), StoreEra(0));
    assert_eq!((monitor.era(), monitor.invalid_count()), (StoreEra(0), 0));
}

#[test]
fn an_era_that_increases_is_adopted() {
    let monitor = EraMonitor::default();
    assert_eq!(observe(&monitor, "4"), StoreEra(4));
    assert!(!monitor.increased_within(RECENT), "the first era is not a restore");
    assert_eq!(observe(&monitor, " 5 "), StoreEra(5));
    assert!(monitor.increased_within(RECENT));
    assert_eq!(monitor.invalid_count(), 0);
}

/// Guards against attributing a response from before a restore to the new era.
#[test]
fn a_delayed_response_keeps_its_own_era() {
    let monitor = EraMonitor::default();
    observe(&monitor, "4");
    let sent_in = monitor.era();
    observe(&monitor, "5");
    assert_eq!(monitor.observe(Some(b"4"), sent_in), StoreEra(4));
    assert_eq!((monitor.era(), monitor.invalid_count()), (StoreEra(5), 0));
}

/// Guards against an invalid era that makes all later responses count as older.
#[test]
fn invalid_eras_are_counted_and_do_not_change_the_era() {
    let monitor = EraMonitor::default();
    observe(&monitor, "4");
    let invalid = ["", "five", "-1", "4.5", "3", "99999999999999999999999", "18446744073709551615"];
    for (index, value) in invalid.iter().enumerate() {
        assert_eq!(observe(&monitor, value), StoreEra(4), "{value:?}");
        assert_eq!(monitor.invalid_count(), index as u64 + 1, "{value:?}");
    }
    assert_eq!(monitor.observe(None, monitor.era()), StoreEra(4));
    assert_eq!(
        monitor.invalid_count(),
        invalid.len() as u64 + 1,
        "a missing era after a known one is invalid"
    );
    assert_eq!(observe(&monitor, "7"), StoreEra(7), "an era that skips two is adopted");
    assert_eq!(monitor.invalid_count(), invalid.len() as u64 + 2);
}
