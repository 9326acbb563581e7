//! Whether this VM reaches any target.

use std::time::Duration;

use nickellead_balance::{ReachCheck, VmReachability};
use nickellead_core::Timestamp;

const REFUSED: ReachCheck = ReachCheck { reached: false, refused: 3, silent: 1 };
const SILENT: ReachCheck = ReachCheck { reached: false, refused: 0, silent: 4 };
const REACHED: ReachCheck = ReachCheck { reached: true, refused: 3, silent: 0 };

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(millis)
}

#[test]
fn a_failure_is_checked_unless_a_target_was_reached_since() {
    let mut reach = VmReachability::default();
    reach.record_reached(at(100));
    assert!(!reach.record_failure(at(90), at(110)), "a target was reached after it began");
    assert!(reach.record_failure(at(120), at(130)));
}

#[test]
fn failures_of_one_target_cause_few_checks() {
    let mut reach = VmReachability::default();
    let checks = (0..2_000).filter(|&millis| {
        let due = reach.record_failure(at(millis), at(millis));
        if due {
            assert!(!reach.apply_check(REACHED, at(millis)));
        }
        due
    });
    assert_eq!(checks.count(), 4);
    assert!(!reach.is_cut_off());
}

#[test]
fn a_vm_is_cut_off_when_no_checked_target_accepts() {
    let mut reach = VmReachability::default();
    assert!(reach.apply_check(REFUSED, at(0)));
    assert!(reach.is_cut_off() && !reach.is_silent() && !reach.is_confirmed());
    assert!(!reach.record_failure(at(600), at(600)), "checks go on without failures");
    assert!(!reach.apply_check(SILENT, at(600)), "it was cut off before");
    assert!(reach.is_cut_off() && reach.is_silent() && reach.is_confirmed());
}

/// A VM without open connections that takes all requests back at once rushes the targets.
#[test]
fn a_vm_returns_gradually() {
    let mut reach = VmReachability::default();
    assert!(reach.own_fraction(at(0)) >= 1.0);
    reach.apply_check(REFUSED, at(0));
    assert!(reach.own_fraction(at(10_000)) <= 0.0);
    assert!(reach.apply_check(REACHED, at(10_000)));
    let fractions = [0, 250, 500, 1_000, 5_000].map(|after| reach.own_fraction(at(10_000 + after)));
    assert!(fractions.is_sorted(), "{fractions:?}");
    assert!(fractions[0] <= 0.0 && fractions[1] > 0.0 && fractions[1] < 0.5, "{fractions:?}");
    assert!(fractions[3] >= 1.0, "{fractions:?}");
}

#[test]
fn a_cut_that_opens_and_closes_is_found_again() {
    let mut reach = VmReachability::default();
    reach.apply_check(REFUSED, at(0));
    reach.apply_check(REACHED, at(300));
    assert!(reach.record_failure(at(850), at(850)));
    assert!(reach.apply_check(REFUSED, at(900)));
    assert!(reach.is_cut_off() && !reach.is_confirmed());
}
