//! Guards against overloading the owner of a hot key, and against limits that refuse too much.
//!
//! The simulated owner resets connections beyond its slots and queue. Reports reach the deciding VM
//! with a delay, and so do its decisions on their way back.
#![allow(clippy::unwrap_used)]

use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use nickellead_limit::{OwnerAdmission, OwnerReport, allocate_rate};

const PERIOD: Duration = Duration::from_millis(500);
/// Delay from an observation to the decision.
const REPORT_DELAY_MS: u64 = 400;
/// Delay from the decision to its effect.
const DECISION_DELAY_MS: u64 = 100;
const SLOTS: usize = 4;
const QUEUE: usize = 16;
const LATENCY_TARGET_MS: f64 = 1_000.0;
const MEAN_LATENCY_MS: f64 = 360.0;

#[derive(Debug, Default)]
struct Outcome {
    in_time: u32,
    late: u32,
    /// Sent to a full owner, which reset the connection.
    reset: u32,
    refused: u32,
    /// Busy milliseconds, summed over all slots.
    busy_ms: u64,
}

/// An owner with slots and a queue in simulated time.
struct ModelOwner {
    /// End and arrival times of running requests, the earliest end first.
    running: BinaryHeap<std::cmp::Reverse<(u64, u64)>>,
    queue: VecDeque<u64>,
    rng: fastrand::Rng,
}

impl ModelOwner {
    fn next_service_time(&mut self) -> u64 {
        (-(1.0 - self.rng.f64()).ln() * MEAN_LATENCY_MS) as u64 + 1
    }

    fn accept(&mut self, now: u64) -> bool {
        if self.running.len() < SLOTS {
            let end = now + self.next_service_time();
            self.running.push(std::cmp::Reverse((end, now)));
        } else if self.queue.len() < QUEUE {
            self.queue.push_back(now);
        } else {
            return false;
        }
        true
    }

    /// Removes the requests that have ended by `now` and returns their latencies.
    fn remove_ended(&mut self, now: u64) -> Vec<u64> {
        let mut latencies = Vec::new();
        while let Some(std::cmp::Reverse((end, arrived))) = self.running.peek().copied() {
            if end > now {
                break;
            }
            self.running.pop();
            latencies.push(end - arrived);
            if let Some(next) = self.queue.pop_front() {
                let until = end + self.next_service_time();
                self.running.push(std::cmp::Reverse((until, next)));
            }
        }
        latencies
    }
}

/// Simulates `seconds` of `per_s` requests per second for one key, with or without a limit.
fn simulate(is_limited: bool, per_s: f64, seconds: u64, seed: u64) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut owner =
        ModelOwner { running: BinaryHeap::new(), queue: VecDeque::new(), rng: rng.fork() };
    let mut admission = OwnerAdmission::default();
    let mut outcome = Outcome::default();
    let (mut fraction, mut decisions) = (1.0, VecDeque::new());
    let mut reports: VecDeque<(u64, OwnerReport, u32)> = VecDeque::new();
    let mut current = (OwnerReport::default(), 0u32);
    let mut decayed_requests = 0.0;
    for now in 0..seconds * 1_000 {
        for latency in owner.remove_ended(now) {
            current.0.responses += 1;
            current.0.latency_ratio_sum += latency as f64 / LATENCY_TARGET_MS;
            let count = if latency as f64 <= LATENCY_TARGET_MS {
                &mut outcome.in_time
            } else {
                &mut outcome.late
            };
            *count += 1;
        }
        outcome.busy_ms += owner.running.len() as u64;
        let mut due = per_s / 1_000.0;
        while rng.f64() < due {
            due -= 1.0;
            current.1 += 1;
            if rng.f64() >= fraction {
                outcome.refused += 1;
            } else if !owner.accept(now) {
                outcome.reset += 1;
            }
        }
        if now % PERIOD.as_millis() as u64 == 0 {
            reports.push_back((now + REPORT_DELAY_MS, current.0, current.1));
            current = Default::default();
        }
        while reports.front().is_some_and(|(due, ..)| *due <= now) {
            let (_, mut report, requests) = reports.pop_front().unwrap();
            // The demand is a decayed average over the last reports.
            decayed_requests = decayed_requests * 0.5 + f64::from(requests);
            report.demand = decayed_requests * 0.5 / PERIOD.as_secs_f64();
            // The baseline follows the faster responses, about half of the mean.
            report.baseline_rate = Some(SLOTS as f64 * 1_000.0 / (MEAN_LATENCY_MS * 0.5));
            report.baseline_latency_ratio = MEAN_LATENCY_MS * 0.5 / LATENCY_TARGET_MS;
            admission.update(&report, PERIOD);
            let next = admission.rate().map_or(1.0, |rate| {
                allocate_rate(rate, &[(7, report.demand)])
                    .hot
                    .first()
                    .map_or(1.0, |(_, fraction)| *fraction)
            });
            decisions.push_back((now + DECISION_DELAY_MS, next));
        }
        while is_limited && decisions.front().is_some_and(|(due, _)| *due <= now) {
            fraction = decisions.pop_front().unwrap().1;
        }
    }
    outcome
}

/// Sums the outcomes of twenty seeds.
fn simulate_seeds(is_limited: bool, per_s: f64, seconds: u64) -> Outcome {
    (0..20).fold(Outcome::default(), |sum, seed| {
        let one = simulate(is_limited, per_s, seconds, seed);
        Outcome {
            in_time: sum.in_time + one.in_time,
            late: sum.late + one.late,
            reset: sum.reset + one.reset,
            refused: sum.refused + one.refused,
            busy_ms: sum.busy_ms + one.busy_ms,
        }
    })
}

/// Without a limit, the owner resets the connections of all requests that it can't serve.
#[test]
fn a_hot_key_is_refused_before_it_is_sent_and_its_owner_stays_busy() {
    let without = simulate_seeds(false, 800.0, 6);
    let with = simulate_seeds(true, 800.0, 6);
    // Until the first decision takes effect, connections are still reset.
    assert!(with.reset < without.reset / 5, "{with:?} {without:?}");
    assert!(with.in_time * 2 > without.in_time * 3, "{with:?} {without:?}");
    let busy = with.busy_ms as f64 / (SLOTS as f64 * 6_000.0 * 20.0);
    assert!(busy > 0.75, "busy {busy} {with:?}");
}

#[test]
fn most_responses_of_a_limited_owner_are_in_time() {
    let outcome = simulate_seeds(true, 800.0, 20);
    assert!(outcome.in_time > outcome.late * 2, "{outcome:?}");
    assert!(f64::from(outcome.reset) < 0.06 * 800.0 * 20.0 * 20.0, "{outcome:?}");
}

/// An owner that can serve its demand may be limited by random variation, but only briefly.
#[test]
fn an_owner_with_headroom_is_hardly_limited() {
    let outcome = simulate_seeds(true, 7.0, 60);
    assert!(f64::from(outcome.refused) < 0.02 * 7.0 * 60.0 * 20.0, "{outcome:?}");
}

#[test]
fn the_limit_ends_with_the_overload() {
    let mut admission = OwnerAdmission::default();
    let overload = OwnerReport {
        responses: 6,
        latency_ratio_sum: 9.0,
        demand: 800.0,
        baseline_rate: Some(22.0),
        baseline_latency_ratio: 0.18,
    };
    admission.update(&overload, PERIOD);
    assert!(admission.rate().is_some_and(|rate| rate < 22.0));
    let calm = OwnerReport { responses: 3, latency_ratio_sum: 1.2, demand: 6.0, ..overload };
    (0..2).for_each(|_| admission.update(&calm, PERIOD));
    assert_eq!(admission.rate(), None);
}

/// A limit set for an unreachable owner would outlast the network partition.
#[test]
fn an_unreachable_owner_gets_no_limit() {
    let mut admission = OwnerAdmission::default();
    let unreachable =
        OwnerReport { demand: 9.0, baseline_rate: Some(22.0), ..OwnerReport::default() };
    (0..12).for_each(|_| admission.update(&unreachable, PERIOD));
    assert_eq!(admission.rate(), None);
}

/// Requests that a target sheds despite headroom must not lead to a limit, which would not help.
#[test]
fn a_target_that_sheds_despite_headroom_gets_no_limit() {
    let mut admission = OwnerAdmission::default();
    // As many requests are shed as are answered, and their callers retry.
    let shedding = OwnerReport {
        responses: 15,
        latency_ratio_sum: 4.5,
        demand: 45.0,
        baseline_rate: Some(36.0),
        baseline_latency_ratio: 0.25,
    };
    for _ in 0..20 {
        admission.update(&shedding, PERIOD);
        assert_eq!(admission.rate(), None);
    }
}

/// A limit that is far too low must recover.
#[test]
fn a_limit_below_the_capacity_recovers_within_seconds() {
    let mut admission = OwnerAdmission::default();
    let full = OwnerReport {
        responses: 4,
        latency_ratio_sum: 8.0,
        demand: 60.0,
        baseline_rate: Some(50.0),
        baseline_latency_ratio: 0.2,
    };
    admission.update(&full, PERIOD);
    let low = admission.rate().unwrap();
    assert!(low < 10.0, "{low}");
    let periods = (1..20).find(|_| {
        let sent = admission.rate().unwrap() * PERIOD.as_secs_f64();
        let idle = OwnerReport { responses: sent as u32, latency_ratio_sum: sent * 0.25, ..full };
        admission.update(&idle, PERIOD);
        admission.rate().is_none_or(|rate| rate > 25.0)
    });
    assert!(periods.is_some_and(|periods| periods <= 14), "{periods:?}");
}

#[test]
fn light_keys_take_precedence_over_hot_ones() {
    let mut demands: Vec<(u16, f64)> = (0..50).map(|key| (key, 0.1)).collect();
    demands.push((700, 800.0));
    let fractions = allocate_rate(10.0, &demands);
    assert!((fractions.light - 1.0).abs() < 1e-9, "{fractions:?}");
    assert_eq!(fractions.hot.len(), 1);
    assert!((fractions.hot[0].1 * 800.0 - 5.0).abs() < 1e-6, "{fractions:?}");
}

#[test]
fn hot_keys_share_evenly_and_small_demands_are_met() {
    let fractions = allocate_rate(10.0, &[(1, 100.0), (2, 100.0), (3, 2.0)]);
    let sent: Vec<f64> = fractions
        .hot
        .iter()
        .zip([100.0, 100.0, 2.0])
        .map(|((_, fraction), demand)| fraction * demand)
        .collect();
    assert!((sent[0] - 4.0).abs() < 1e-6 && (sent[1] - 4.0).abs() < 1e-6, "{sent:?}");
    assert!((sent[2] - 2.0).abs() < 1e-6, "{sent:?}");
}

/// Without hot keys all keys of an overloaded owner lose the same fraction.
#[test]
fn an_owner_without_hot_keys_is_limited_evenly() {
    let demands: Vec<(u16, f64)> = (0..100).map(|key| (key, 0.2)).collect();
    let fractions = allocate_rate(10.0, &demands);
    assert!(fractions.hot.is_empty() && (fractions.light - 0.5).abs() < 1e-9, "{fractions:?}");
}
