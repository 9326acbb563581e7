//! Retries of one VM and of a fleet under load where requests fail.

use nickellead_limit::{RetryBudget, RetryLimits};

/// Retries of a VM while all of `requests` fail, and after its burst is spent.
fn retries_of(requests: usize, limits: RetryLimits) -> usize {
    let mut budget = RetryBudget::new(limits);
    budget.record_request("service");
    while budget.try_take("service") {}
    let retries = (0..requests).filter(|_| {
        budget.record_request("service");
        budget.try_take("service")
    });
    retries.count()
}

/// Retries that one of `vms` VMs sends at once after a quiet time.
fn burst_of(vms: usize, limits: RetryLimits) -> usize {
    let mut budget = RetryBudget::new(limits);
    budget.set_fleet_size(vms);
    budget.record_request("service");
    std::iter::from_fn(|| budget.try_take("service").then_some(())).count()
}

/// Load: every request fails, so each of them wants a retry.
#[test]
fn half_the_ratio_halves_the_retries() {
    let limits = |ratio| RetryLimits { ratio, burst: 2.4, extra: None };
    assert_eq!(retries_of(1_000, limits(0.2)), 120);
    assert_eq!(retries_of(1_000, limits(0.1)), 60);
}

/// Load: all VMs of a fleet retry at the same moment.
#[test]
fn the_bursts_of_all_vms_together_stay_within_the_allowance_of_the_fleet() {
    let limits = RetryLimits { ratio: 0.2, burst: 5.0, extra: Some(200.0) };
    assert_eq!(burst_of(0, limits), 5, "the size of the fleet is unknown");
    assert_eq!(burst_of(40, limits), 5, "the allowance covers all bursts");
    assert_eq!(burst_of(100, limits), 2);
    assert_eq!(burst_of(300, limits), 0);
}

/// Load: a fleet so large that no VM may retry at the start; its requests earn retries all the same.
#[test]
fn retries_that_requests_earn_can_be_used_in_any_fleet() {
    let limits = RetryLimits { ratio: 0.2, burst: 5.0, extra: Some(200.0) };
    let mut budget = RetryBudget::new(limits);
    budget.set_fleet_size(1_000);
    let earned = (0..100).filter(|_| {
        budget.record_request("s");
        budget.try_take("s")
    });
    assert!((10..=12).contains(&earned.count()));
}
