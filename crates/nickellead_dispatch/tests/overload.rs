//! Loads above what the targets can do: who is served, and who is told at once that it won't be.
#![allow(clippy::unwrap_used)]

mod common;

use common::{Call, Play, PlayTarget};
use nickellead_dispatch::TargetKey;

const OWNER: Option<TargetKey> = Some(TargetKey(0));
const HOT_KEY: Option<u16> = Some(7);

/// Calls at random times at a mean rate, each made from `template`.
fn arrivals(
    rng: &mut fastrand::Rng,
    per_second: f64,
    times: std::ops::Range<u64>,
    template: impl Fn(&mut fastrand::Rng) -> Call,
) -> Vec<Call> {
    let count = (per_second * (times.end - times.start) as f64 / 1_000.0) as usize;
    let calls = (0..count).map(|_| {
        let at = rng.u64(times.clone());
        Call { at, arrived_at: at, ..template(rng) }
    });
    calls.collect()
}

/// Work of 500 ms with a small spread, so that an owner of four slots does 8 requests a second.
fn owned_call(rng: &mut fastrand::Rng, key: Option<u16>) -> Call {
    let work_ms = 400.0 + 200.0 * rng.f64();
    Call { aim_ms: 1_200, stay_ms: 3_000, work_ms, owner: OWNER, key, ..Call::default() }
}

fn count<'a>(calls: impl Iterator<Item = &'a Call>, is_counted: impl Fn(&Call) -> bool) -> usize {
    calls.filter(|call| is_counted(call)).count()
}

/// Refusals after a wait must be fewer than those that were displaced by a request that went before.
fn refused_after_wait(calls: &[Call]) -> usize {
    calls.iter().flat_map(|call| &call.refusals).filter(|refusal| refusal.waited_ms > 0).count()
}

/// Load: 137 requests a second for one key at an owner that does 8, beside 3 for other keys.
#[test]
fn a_hot_key_does_not_displace_the_other_keys_of_its_owner() {
    for seed in 0..5 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut calls = arrivals(&mut rng, 137.0, 0..20_000, |rng| owned_call(rng, HOT_KEY));
        calls.extend(arrivals(&mut rng, 3.0, 0..20_000, |rng| {
            let key = 100 + rng.u16(0..1_000);
            owned_call(rng, Some(key))
        }));
        let play = Play::run(vec![PlayTarget::new(4, 1.0)], calls, true);
        let others = || play.calls.iter().filter(|call| call.key != HOT_KEY);
        let others_in_time = count(others(), Call::in_time);
        assert!(
            others_in_time * 100 >= others().count() * 95,
            "seed {seed}: {others_in_time} of {}",
            others().count()
        );
        let in_time = count(play.calls.iter(), Call::in_time);
        assert!(in_time >= 7 * 20, "seed {seed}: {in_time} in 20 s");
        let displaced = refused_after_wait(&play.calls);
        assert!(displaced <= others().count(), "seed {seed}: {displaced} refused after a wait");
    }
}

/// Load: 200 keys of one owner are hot at once, 40 requests a second together at an owner that does 8.
#[test]
fn many_hot_keys_leave_no_slot_idle_and_nobody_waiting_in_vain() {
    for seed in 0..5 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let calls = arrivals(&mut rng, 40.0, 0..20_000, |rng| {
            let key = Some(rng.u16(0..200));
            owned_call(rng, key)
        });
        let play = Play::run(vec![PlayTarget::new(4, 1.0)], calls, true);
        let in_time = count(play.calls.iter(), Call::in_time);
        assert!(in_time >= 7 * 20, "seed {seed}: {in_time} in 20 s");
        let late = count(play.calls.iter(), |call| call.responded_at.is_some() && !call.in_time());
        assert!(late * 20 <= in_time, "seed {seed}: {late} late, {in_time} in time");
        let displaced = refused_after_wait(&play.calls);
        assert!(
            displaced * 20 <= play.calls.len(),
            "seed {seed}: {displaced} refused after a wait"
        );
    }
}

/// Time in which work of 190 ms with its spread ends: a caller with less left has no use for a place.
const USABLE_MS: u64 = 300;

/// Work of 190 ms on eight targets of four slots: 168 requests a second.
fn plain_call(rng: &mut fastrand::Rng, rank: u8) -> Call {
    let work_ms = 150.0 + 80.0 * rng.f64();
    Call { aim_ms: 500, stay_ms: 1_500, work_ms, rank, ..Call::default() }
}

fn eight_targets() -> Vec<PlayTarget> {
    vec![PlayTarget::new(4, 1.0); 8]
}

/// Load: a burst of 2.6 times the capacity of the lowest rank, beside a quarter of it of the highest.
#[test]
fn a_burst_of_the_lowest_rank_does_not_delay_the_highest() {
    for seed in 0..5 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut calls = arrivals(&mut rng, 42.0, 0..12_000, |rng| plain_call(rng, 0));
        calls.extend(arrivals(&mut rng, 437.0, 2_000..10_000, |rng| plain_call(rng, 3)));
        let play = Play::run(eight_targets(), calls, true);
        let urgent = || play.calls.iter().filter(|call| call.rank == 0);
        let late = count(urgent(), |call| !call.in_time());
        assert!(late * 100 <= urgent().count(), "seed {seed}: {late} of {}", urgent().count());
        let others = play.calls.iter().filter(|call| call.rank == 3);
        let in_time = count(others, Call::in_time);
        // The burst has three quarters of 168 requests a second for 8 s.
        assert!(in_time >= 1_000 * 9 / 10, "seed {seed}: {in_time} of the lowest rank in time");
    }
}

/// Load: three times the capacity for 3 s, whose callers return as told, beside new ones after it.
#[test]
fn callers_that_return_as_told_are_served_before_new_ones() {
    for seed in 0..5 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let returning =
            |rng: &mut fastrand::Rng| Call { returns: 3, stay_ms: 2_500, ..plain_call(rng, 1) };
        let mut calls = arrivals(&mut rng, 505.0, 0..3_000, returning);
        calls.extend(arrivals(&mut rng, 168.0, 3_000..6_000, returning));
        let play = Play::run(eight_targets(), calls, true);
        let (mut kept, mut broken) = (0, 0);
        for call in &play.calls {
            for (index, refusal) in call.refusals.iter().enumerate() {
                let had_place = refusal.told + USABLE_MS <= call.at + call.stay_ms;
                let refused_again = call.refusals.len() > index + 1;
                match (had_place, refused_again) {
                    (false, _) => {}
                    (true, true) => broken += 1,
                    (true, false) => kept += 1,
                }
            }
        }
        let served = count(play.calls.iter(), |call| call.responded_at.is_some());
        assert!(
            kept > 0 && broken * 20 <= kept,
            "seed {seed}: {kept} promises kept, {broken} broken"
        );
        // 168 requests a second for 6 s.
        assert!(served >= 1_008 * 9 / 10, "seed {seed}: {served} served");
    }
}
