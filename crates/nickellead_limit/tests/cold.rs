//! Pattern: targets come back cold into a fleet of many VMs, each of which knows only its own requests.
//!
//! The figures are those of a service whose cold targets bear 5.8 requests a second and fall over well
//! above it: 88 VMs in three zones, and a second in which more than 5.8 x 1.5 + 8 requests arrive counts as
//! an overload.

use nickellead_core::Timestamp;
use nickellead_limit::{ColdBounds, ColdLimiter, ColdQuota, is_cold_sender};

const VMS: usize = 88;
/// Requests a second that one VM has for the target's service.
const REQUESTS_A_VM: f64 = 13.0;
const COLD_MS: u64 = 3_000;
const BOUND: ColdBounds = ColdBounds { rate: 5.8, max_in_one_second: 5.8 * 1.5 + 8.0 };

/// Times at which the VMs send, each with its gate, while the target is cold.
fn play(gates: &[ColdLimiter], demand: f64, rng: &mut fastrand::Rng) -> Vec<u64> {
    let mut sent = Vec::new();
    for now in 0..COLD_MS {
        for gate in gates {
            let asked = rng.f64() < demand / 1_000.0;
            if asked && gate.may_send(Timestamp(now)) {
                gate.record_sent(Timestamp(now));
                sent.push(now);
            }
        }
    }
    sent
}

/// Most requests in any one second.
fn most_in_a_second(sent: &[u64]) -> usize {
    let within =
        |first: &u64| sent.iter().filter(|at| (*first..first + 1_000).contains(*at)).count();
    sent.iter().map(within).max().unwrap_or_default()
}

fn gate(share: ColdQuota, phase: f64) -> ColdLimiter {
    let gate = ColdLimiter::new(Timestamp(COLD_MS), phase, Timestamp(0));
    gate.set_quota(share, Timestamp(0));
    gate
}

/// The gates of VMs that know only some of the fleet each.
fn gates_of(ranks: &[u64], knows: impl Fn(usize, usize) -> bool) -> Vec<ColdLimiter> {
    let share = |vm: usize| {
        let others = (0..ranks.len()).filter(|other| *other != vm && knows(vm, *other));
        match is_cold_sender(ranks[vm], others.map(|other| ranks[other])) {
            true => ColdQuota::for_sender(BOUND),
            false => ColdQuota::Zero,
        }
    };
    (0..ranks.len()).map(|vm| gate(share(vm), 0.0)).collect()
}

#[test]
fn a_cold_target_is_sent_what_it_bears_by_a_fleet_of_one_mind() {
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let ranks: Vec<u64> = (0..VMS).map(|_| rng.u64(..)).collect();
        let sent = play(&gates_of(&ranks, |_, _| true), REQUESTS_A_VM, &mut rng);
        assert!(most_in_a_second(&sent) <= 8, "seed {seed}: {sent:?}");
        assert!(sent.len() >= 12, "seed {seed}: it is warmed: {sent:?}");
        assert!(sent[0] < 500, "seed {seed}: it is used at once: {sent:?}");
    }
}

#[test]
fn two_minds_about_the_fleet_stay_within_the_bound() {
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let ranks: Vec<u64> = (0..VMS).map(|_| rng.u64(..)).collect();
        // Half of the VMs have not heard yet of those that have just started.
        let knows = |vm: usize, other: usize| vm.is_multiple_of(2) || other < VMS / 2;
        let sent = play(&gates_of(&ranks, knows), REQUESTS_A_VM, &mut rng);
        assert!(most_in_a_second(&sent) as f64 <= BOUND.max_in_one_second, "seed {seed}: {sent:?}");
    }
}

#[test]
fn a_cold_owner_of_a_hot_key_is_sent_what_it_bears_by_all_vms() {
    const SEEDS: u64 = 200;
    let mut all = 0;
    for seed in 0..SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let share = ColdQuota::equal_share(BOUND, VMS);
        let gates: Vec<ColdLimiter> = (0..VMS).map(|_| gate(share, rng.f64())).collect();
        let sent = play(&gates, 240.0 / VMS as f64, &mut rng);
        assert!(most_in_a_second(&sent) as f64 <= BOUND.max_in_one_second, "seed {seed}: {sent:?}");
        all += sent.len() as u64;
    }
    let (borne, sent) = (BOUND.rate * COLD_MS as f64 / 1_000.0, all as f64 / SEEDS as f64);
    assert!((0.8 * borne..=borne).contains(&sent), "{sent} of {borne} that it bears");
}

#[test]
fn a_vm_that_knows_no_fleet_sends_a_cold_target_nothing() {
    assert_eq!(ColdQuota::equal_share(BOUND, 0), ColdQuota::Zero);
    let gate = gate(ColdQuota::Zero, 1.0);
    assert!(!gate.may_send(Timestamp(COLD_MS - 1)));
    assert!(gate.may_send(Timestamp(COLD_MS)), "a warm one takes what comes");
}

#[test]
fn a_small_bound_leaves_room_for_the_first_requests() {
    let tight = ColdBounds { rate: 5.8, max_in_one_second: 5.8 };
    let ColdQuota::Sender(rate) = ColdQuota::for_sender(tight) else { panic!("a sender") };
    let (senders, minds) = (2.0, 2.0);
    assert!(minds * senders * (1.0 + rate) <= tight.max_in_one_second, "{rate}");
}

#[test]
fn a_target_that_turns_cold_again_begins_anew() {
    let gate = gate(ColdQuota::for_sender(BOUND), 0.0);
    gate.record_sent(Timestamp(0));
    assert!(!gate.may_send(Timestamp(1)));
    gate.set_cold_until(Timestamp(9_000), Timestamp(6_000));
    assert!(gate.may_send(Timestamp(6_000)));
    gate.record_sent(Timestamp(6_000));
    // A word that only puts the end off fills no bucket.
    gate.set_cold_until(Timestamp(9_500), Timestamp(6_001));
    assert!(!gate.may_send(Timestamp(6_002)));
}

#[test]
fn a_request_that_was_not_sent_after_all_leaves_its_place_to_the_next_one() {
    let now = Timestamp(1_000);
    let gate = ColdLimiter::new(Timestamp(10_000), 0.0, now);
    gate.set_quota(ColdQuota::Sender(0.1), now);
    gate.record_sent(now);
    assert!(!gate.may_send(now));
    gate.refund(now);
    assert!(gate.may_send(now));
}
