//! Retries of one VM and of a fleet under load where requests fail.
#![allow(clippy::unwrap_used)]

use fastrand::Rng;
use nickellead_limit::{RetryBudget, RetryLimits};

const SERVICE: &str = "service";
/// Requests without a retry after which a VM has saved up all that it may.
const QUIET_REQUESTS: usize = 100;

/// Retries of a VM while all of `requests` fail, and after its burst is spent.
fn retries_of(requests: usize, limits: RetryLimits) -> usize {
    let mut budget = RetryBudget::new(limits, 0.0);
    budget.record_request(SERVICE);
    while budget.try_take(SERVICE) {}
    let retries = (0..requests).filter(|_| {
        budget.record_request(SERVICE);
        budget.try_take(SERVICE)
    });
    retries.count()
}

/// A VM of a fleet, and the requests and retries that it has sent.
struct TestVm {
    budget: RetryBudget,
    requests: usize,
    retries: usize,
}

impl TestVm {
    fn start(limits: RetryLimits, vms: usize, rng: &mut Rng) -> Self {
        let mut budget = RetryBudget::new(limits, rng.f64());
        budget.set_fleet_size(vms);
        Self { budget, requests: 0, retries: 0 }
    }

    /// A request that fails and is sent again as long as the budget allows.
    fn fail(&mut self) {
        self.requests += 1;
        self.budget.record_request(SERVICE);
        while self.budget.try_take(SERVICE) {
            self.retries += 1;
        }
    }

    /// Requests that do not fail, before the time that is judged.
    fn save_up(&mut self) {
        (0..QUIET_REQUESTS).for_each(|_| self.budget.record_request(SERVICE));
    }
}

/// Retries that a fleet sends at once after a quiet time.
fn burst_of_fleet(vms: usize, limits: RetryLimits) -> usize {
    let mut rng = Rng::with_seed(vms as u64);
    let burst = |_| {
        let mut vm = TestVm::start(limits, vms, &mut rng);
        vm.save_up();
        std::iter::from_fn(|| vm.budget.try_take(SERVICE).then_some(())).count()
    };
    (0..vms).map(burst).sum()
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
    assert_eq!(burst_of_fleet(40, limits), 200, "the allowance covers all bursts");
    assert_eq!(burst_of_fleet(100, limits), 200);
    assert_eq!(burst_of_fleet(200, limits), 200);
    for vms in [300, 1_000] {
        // Each VM has less than one token and draws: four standard deviations of their sum.
        let share = 200.0 / vms as f64;
        let deviation = 4.0 * (vms as f64 * share * (1.0 - share)).sqrt();
        let burst = burst_of_fleet(vms, limits) as f64;
        assert!((burst - 200.0).abs() <= deviation, "{vms} VMs: {burst}");
    }
}

/// Guards the allowance of the fleet against VMs that start: none has retries that it did not earn.
#[test]
fn a_vm_that_starts_has_no_retries_beyond_what_its_requests_earn() {
    let limits = RetryLimits { ratio: 0.2, burst: 5.0, extra: Some(200.0) };
    let mut rng = Rng::with_seed(1);
    for vms in [0, 3, 40, 300] {
        let mut retries = 0;
        for _ in 0..1_000 {
            let mut vm = TestVm::start(limits, vms, &mut rng);
            vm.fail();
            retries += vm.retries;
        }
        // Each request earns 0.12 of a retry.
        assert!(retries <= 160, "{vms} VMs: {retries} retries of 1000 requests");
    }
}

/// Load: a fleet so large that no VM may retry at the start; its requests earn retries all the same.
#[test]
fn retries_that_requests_earn_can_be_used_in_any_fleet() {
    let limits = RetryLimits { ratio: 0.2, burst: 5.0, extra: Some(200.0) };
    for vms in [0, 1_000] {
        let mut budget = RetryBudget::new(limits, 0.0);
        budget.set_fleet_size(vms);
        let earned = (0..100).filter(|_| {
            budget.record_request(SERVICE);
            budget.try_take(SERVICE)
        });
        assert!((10..=12).contains(&earned.count()));
    }
}

/// Retries and requests within a window in which all requests fail and VMs are restarted at random.
fn play_window(seed: u64) -> (String, f64, usize) {
    let mut rng = Rng::with_seed(seed);
    let vms = rng.usize(2..400);
    let limits = RetryLimits { ratio: 0.2, burst: 2.4, extra: Some(rng.f64() * 400.0) };
    let mut fleet: Vec<_> = (0..vms).map(|_| TestVm::start(limits, vms, &mut rng)).collect();
    fleet.iter_mut().for_each(TestVm::save_up);
    let (mut requests, mut retries) = (0, 0);
    let mut end = |vm: TestVm| {
        requests += vm.requests;
        retries += vm.retries;
    };
    for _ in 0..rng.usize(1..20 * vms) {
        let index = rng.usize(0..vms);
        if rng.u8(0..4) == 0 {
            // A VM that starts learns the size of the fleet later.
            let started = TestVm::start(limits, 0, &mut rng);
            end(std::mem::replace(&mut fleet[index], started));
        } else {
            fleet[index].budget.set_fleet_size(vms);
            fleet[index].fail();
        }
    }
    fleet.into_iter().for_each(end);
    let allowed = limits.ratio * requests as f64 + limits.extra.unwrap();
    (format!("{vms} VMs, {requests} requests, {limits:?}"), allowed, retries)
}

/// Guards the allowance of the fleet over any number of VMs and of restarts within one window.
#[test]
fn retries_of_all_vms_and_their_restarts_stay_within_the_allowance_of_the_fleet() {
    for seed in 0..300 {
        let (setting, allowed, retries) = play_window(seed);
        assert!(retries as f64 <= allowed, "seed {seed}, {setting}: {retries} > {allowed}");
    }
}
