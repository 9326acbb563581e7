//! Guards against overloading a cold target by many VMs, each of which knows only its own requests.

use nickellead_core::Timestamp;
use nickellead_limit::{ColdBounds, ColdLimiter, ColdQuota, is_cold_sender};

const VMS: usize = 88;
/// Requests per second for the target's service at one VM.
const REQUESTS_PER_VM: f64 = 13.0;
const COLD_MS: u64 = 3_000;
const BOUND: ColdBounds = ColdBounds { rate: 5.8, max_in_one_second: 5.8 * 1.5 + 8.0 };

/// Simulates VMs with one limiter each; returns the times of sent requests in milliseconds.
fn simulate(limiters: &[ColdLimiter], demand: f64, rng: &mut fastrand::Rng) -> Vec<u64> {
    let mut sent = Vec::new();
    for now in 0..COLD_MS {
        for limiter in limiters {
            let has_request = rng.f64() < demand / 1_000.0;
            if has_request && limiter.may_send(Timestamp(now)) {
                limiter.record_sent(Timestamp(now));
                sent.push(now);
            }
        }
    }
    sent
}

/// Maximum number of requests in any one second.
fn max_in_one_second(sent: &[u64]) -> usize {
    let within =
        |first: &u64| sent.iter().filter(|at| (*first..first + 1_000).contains(*at)).count();
    sent.iter().map(within).max().unwrap_or_default()
}

fn limiter(quota: ColdQuota, phase: f64) -> ColdLimiter {
    let limiter = ColdLimiter::new(Timestamp(COLD_MS), phase, Timestamp(0));
    limiter.set_quota(quota, Timestamp(0));
    limiter
}

/// Limiters of VMs each of which knows only some of the others.
fn limiters_of(ranks: &[u64], knows: impl Fn(usize, usize) -> bool) -> Vec<ColdLimiter> {
    let quota = |vm: usize| {
        let others = (0..ranks.len()).filter(|other| *other != vm && knows(vm, *other));
        match is_cold_sender(ranks[vm], others.map(|other| ranks[other])) {
            true => ColdQuota::for_sender(BOUND),
            false => ColdQuota::Zero,
        }
    };
    (0..ranks.len()).map(|vm| limiter(quota(vm), 0.0)).collect()
}

#[test]
fn a_fleet_with_one_view_stays_within_the_rate_of_a_cold_target() {
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let ranks: Vec<u64> = (0..VMS).map(|_| rng.u64(..)).collect();
        let sent = simulate(&limiters_of(&ranks, |_, _| true), REQUESTS_PER_VM, &mut rng);
        assert!(max_in_one_second(&sent) <= 8, "seed {seed}: {sent:?}");
        assert!(sent.len() >= 12, "seed {seed}: too few requests to warm up: {sent:?}");
        assert!(sent[0] < 500, "seed {seed}: first request too late: {sent:?}");
    }
}

#[test]
fn two_views_of_the_fleet_stay_within_the_bound() {
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let ranks: Vec<u64> = (0..VMS).map(|_| rng.u64(..)).collect();
        // Every other VM does not know the half of the fleet that has just started.
        let knows = |vm: usize, other: usize| vm.is_multiple_of(2) || other < VMS / 2;
        let sent = simulate(&limiters_of(&ranks, knows), REQUESTS_PER_VM, &mut rng);
        assert!(
            max_in_one_second(&sent) as f64 <= BOUND.max_in_one_second,
            "seed {seed}: {sent:?}"
        );
    }
}

#[test]
fn a_cold_owner_of_a_hot_key_gets_its_rate_from_all_vms_together() {
    const SEEDS: u64 = 200;
    let mut all = 0;
    for seed in 0..SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let quota = ColdQuota::equal_share(BOUND, VMS);
        let limiters: Vec<ColdLimiter> = (0..VMS).map(|_| limiter(quota, rng.f64())).collect();
        let sent = simulate(&limiters, 240.0 / VMS as f64, &mut rng);
        assert!(
            max_in_one_second(&sent) as f64 <= BOUND.max_in_one_second,
            "seed {seed}: {sent:?}"
        );
        all += sent.len() as u64;
    }
    let (capacity, sent) = (BOUND.rate * COLD_MS as f64 / 1_000.0, all as f64 / SEEDS as f64);
    assert!((0.8 * capacity..=capacity).contains(&sent), "{sent} sent of {capacity}");
}

#[test]
fn a_vm_that_knows_no_fleet_sends_a_cold_target_nothing() {
    assert_eq!(ColdQuota::equal_share(BOUND, 0), ColdQuota::Zero);
    let limiter = limiter(ColdQuota::Zero, 1.0);
    assert!(!limiter.may_send(Timestamp(COLD_MS - 1)));
    assert!(limiter.may_send(Timestamp(COLD_MS)), "a warm target has no limit");
}

#[test]
fn a_small_bound_leaves_room_for_the_first_requests() {
    let bounds = ColdBounds { rate: 5.8, max_in_one_second: 5.8 };
    let ColdQuota::Sender(rate) = ColdQuota::for_sender(bounds) else { panic!("a sender") };
    let (senders, views) = (2.0, 2.0);
    assert!(views * senders * (1.0 + rate) <= bounds.max_in_one_second, "{rate}");
}

#[test]
fn a_target_that_turns_cold_again_starts_with_a_new_bucket() {
    let limiter = limiter(ColdQuota::for_sender(BOUND), 0.0);
    limiter.record_sent(Timestamp(0));
    assert!(!limiter.may_send(Timestamp(1)));
    limiter.set_cold_until(Timestamp(9_000), Timestamp(6_000));
    assert!(limiter.may_send(Timestamp(6_000)));
    limiter.record_sent(Timestamp(6_000));
    // Extending the cold phase does not refill the bucket.
    limiter.set_cold_until(Timestamp(9_500), Timestamp(6_001));
    assert!(!limiter.may_send(Timestamp(6_002)));
}

#[test]
fn a_refunded_request_can_be_sent_by_the_next_one() {
    let now = Timestamp(1_000);
    let limiter = ColdLimiter::new(Timestamp(10_000), 0.0, now);
    limiter.set_quota(ColdQuota::Sender(0.1), now);
    limiter.record_sent(now);
    assert!(!limiter.may_send(now));
    limiter.refund(now);
    assert!(limiter.may_send(now));
}
