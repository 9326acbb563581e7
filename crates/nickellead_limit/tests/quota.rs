//! Quotas of workspaces in a model without network: what all VMs send within any window stays
//! within the tolerance, and what is inside a quota is not refused.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_limit::{QuotaLimit, QuotaTolerance, TokenBucket, TokenDemand, TokenGrant};

const TOLERANCE: QuotaTolerance =
    QuotaTolerance { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 };
const LIMITS: [QuotaLimit; 5] = [
    QuotaLimit { rate: 0.5, burst: 0.0 },
    QuotaLimit { rate: 5.0, burst: 5.0 },
    QuotaLimit { rate: 40.0, burst: 10.0 },
    QuotaLimit { rate: 313.0, burst: 313.0 },
    QuotaLimit { rate: 313.0, burst: 0.0 },
];
const PLAYED_MS: u64 = 40_000;
const SEEDS: u64 = 120;
/// Time between two moments at which VMs use the tokens that they kept.
const HOARD_INTERVAL_MS: u64 = 5_700;

/// A message of a VM to the one that grants tokens, or its answer; `sent` is when the VM asked.
enum Message {
    Request { sent: u64, demand: TokenDemand },
    Answer { sent: u64, granted: u32 },
}

/// What a schedule does to VMs and messages.
struct Faults {
    /// Demand relative to the rate.
    demand: f64,
    /// Longest delay of a message in milliseconds.
    max_delay: u64,
    /// Mean time between two takeovers in milliseconds; 0 for none.
    takeover_interval: u64,
    /// Whether VMs keep tokens and then use all of them at the same time.
    hoard: bool,
    /// Whether requests come in bursts seconds apart.
    pauses: bool,
    /// Share of the granted tokens with which no request is run.
    unused: f64,
}

/// Times at which requests were sent, number of requests that were refused, and of all.
struct Outcome {
    sent: Vec<u64>,
    refused: usize,
    asked: usize,
}

/// Plays a workspace. Tokens belong to requests, so it does not matter which VMs ask for them.
fn play(limit: QuotaLimit, faults: &Faults, seed: u64) -> Outcome {
    let mut random = fastrand::Rng::with_seed(seed);
    let validity = limit.token_validity(TOLERANCE).as_millis() as u64;
    let mut bucket = TokenBucket::new(limit, Timestamp(0));
    let mut queue: BTreeMap<(u64, u64), Message> = BTreeMap::new();
    let mut outcome = Outcome { sent: Vec::new(), refused: 0, asked: 0 };
    let (mut number, mut due) = (0, 0.0);
    // Expiry of each token that can be given back.
    let mut unused: Vec<u64> = Vec::new();
    for now in 0..PLAYED_MS {
        if faults.takeover_interval > 0 && random.u64(0..faults.takeover_interval) == 0 {
            // The new holder knows nothing of what its predecessor granted.
            bucket = TokenBucket::new(limit, Timestamp(now));
        }
        // Requests arrive in bunches, at random, and some pause until the bucket is full.
        due += limit.rate * faults.demand / 1_000.0;
        let paused = faults.pauses && now % 4_000 < 2_500;
        if due >= 1.0 && !paused && random.u8(0..8) == 0 {
            let wanted = due as u32;
            due -= f64::from(wanted);
            outcome.asked += wanted as usize;
            number += 1;
            let at = now + random.u64(0..=faults.max_delay);
            let valid = unused.drain(..).filter(|expiry| now <= *expiry).count() as u32;
            let demand = TokenDemand { wanted, unused: valid };
            queue.insert((at, number), Message::Request { sent: now, demand });
        }
        while let Some(entry) = queue.first_entry().filter(|entry| entry.key().0 <= now) {
            match entry.remove() {
                Message::Request { sent, demand } => {
                    let granted = bucket.grant(demand, Timestamp(now)).granted;
                    outcome.refused += (demand.wanted - granted) as usize;
                    number += 1;
                    let at = now + random.u64(0..=faults.max_delay);
                    queue.insert((at, number), Message::Answer { sent, granted });
                }
                Message::Answer { sent, granted } => {
                    let expiry = sent + validity;
                    for _ in 0..granted {
                        let usable = now <= expiry && random.f64() >= faults.unused;
                        unused.extend((!usable).then_some(expiry));
                        // The next of some moments at which all VMs use what they have.
                        let moment = now.next_multiple_of(HOARD_INTERVAL_MS);
                        let at = if faults.hoard && moment <= expiry { moment } else { now };
                        outcome.sent.extend(usable.then_some(at));
                    }
                }
            }
        }
    }
    outcome.sent.sort_unstable();
    outcome
}

/// The most requests in any window, and the most that are allowed.
fn busiest_window(limit: QuotaLimit, sent: &[u64]) -> (usize, f64) {
    let window = TOLERANCE.window.as_millis() as u64;
    let in_window = |first: usize| sent[first..].partition_point(|at| *at < sent[first] + window);
    let most = (0..sent.len()).map(in_window).max().unwrap_or_default();
    let quota = limit.rate * TOLERANCE.window.as_secs_f64() + limit.burst;
    (most, quota * (1.0 + TOLERANCE.overage) + TOLERANCE.slack)
}

/// Heavy load: one workspace sends many times its quota over some VMs, while the VM that grants
/// tokens is replaced and messages are late.
#[test]
fn the_sum_over_any_window_stays_within_the_quota() {
    for seed in 0..SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let limit = LIMITS[random.usize(0..LIMITS.len())];
        let faults = Faults {
            demand: [0.8, 1.5, 7.5, 20.0][random.usize(0..4)],
            max_delay: [0, 5, 100, 2_000][random.usize(0..4)],
            takeover_interval: [0, 2_000, 8_000][random.usize(0..3)],
            hoard: random.bool(),
            unused: [0.0, 0.0, 0.5, 0.9][random.usize(0..4)],
            pauses: random.bool(),
        };
        let outcome = play(limit, &faults, seed);
        let (most, allowed) = busiest_window(limit, &outcome.sent);
        assert!(most as f64 <= allowed, "seed {seed}, {limit:?}: {most} of {allowed}");
    }
}

/// Guards against a quota that is kept by refusing what is inside it.
#[test]
fn requests_inside_the_quota_are_granted_wherever_they_arrive() {
    let faults = Faults {
        demand: 0.7,
        max_delay: 5,
        takeover_interval: 0,
        hoard: false,
        unused: 0.0,
        pauses: false,
    };
    for limit in LIMITS.into_iter().filter(|limit| limit.burst >= 5.0) {
        let outcomes: Vec<Outcome> = (0..10).map(|seed| play(limit, &faults, seed)).collect();
        let asked: usize = outcomes.iter().map(|one| one.asked).sum();
        let refused: usize = outcomes.iter().map(|one| one.refused).sum();
        assert!(refused * 50 <= asked, "{limit:?}: {refused} of {asked} refused");
    }
}

#[test]
fn a_workspace_far_over_its_quota_still_gets_its_quota() {
    let faults = Faults {
        demand: 7.5,
        max_delay: 5,
        takeover_interval: 0,
        hoard: false,
        unused: 0.0,
        pauses: false,
    };
    for limit in LIMITS.into_iter().filter(|limit| limit.rate >= 5.0) {
        let sent = play(limit, &faults, 1).sent.len() as f64;
        let quota = limit.rate * PLAYED_MS as f64 / 1_000.0;
        assert!(sent >= quota * 0.95, "{limit:?}: {sent} of {quota}");
    }
}

fn grant(bucket: &mut TokenBucket, wanted: u32, at: u64) -> TokenGrant {
    bucket.grant(TokenDemand { wanted, unused: 0 }, Timestamp(at))
}

/// Heavy load: targets are full, so that most requests inside the quota are not run.
#[test]
fn tokens_of_requests_that_are_not_run_serve_others() {
    let faults = Faults {
        demand: 1.8,
        max_delay: 5,
        takeover_interval: 0,
        hoard: false,
        unused: 0.6,
        pauses: false,
    };
    for limit in LIMITS.into_iter().filter(|limit| limit.burst >= 5.0) {
        let outcome = play(limit, &faults, 1);
        let (refused, asked) = (outcome.refused, outcome.asked);
        assert!(refused * 50 <= asked, "{limit:?}: {refused} of {asked} refused");
    }
}

#[test]
fn a_bucket_fills_from_when_its_vm_began_to_grant() {
    let limit = QuotaLimit { rate: 10.0, burst: 20.0 };
    let mut bucket = TokenBucket::new(limit, Timestamp(1_000));
    assert_eq!(grant(&mut bucket, 50, 9_000).granted, 20);
}

#[test]
fn refused_callers_are_told_when_a_token_is_free_for_them() {
    let limit = QuotaLimit { rate: 10.0, burst: 5.0 };
    let mut bucket = TokenBucket::new(limit, Timestamp(0));
    assert_eq!(grant(&mut bucket, 1, 0).granted, 1);
    let told: Vec<u128> =
        (0..3).map(|_| grant(&mut bucket, 1, 0).retry_after.as_millis()).collect();
    assert_eq!(told, [100, 200, 300]);
    for at in [100, 200, 300] {
        assert_eq!(grant(&mut bucket, 1, at).granted, 1, "at {at} ms");
    }
}

#[test]
fn a_lower_limit_takes_effect_at_once() {
    let mut bucket = TokenBucket::new(QuotaLimit { rate: 100.0, burst: 100.0 }, Timestamp(0));
    bucket.set_limit(QuotaLimit { rate: 1.0, burst: 2.0 }, Timestamp(10_000));
    assert_eq!(grant(&mut bucket, 50, 10_000).granted, 2);
    assert_eq!(grant(&mut bucket, 50, 11_000).granted, 1);
}
