//! Selection among targets that are slow, cold or failing.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use nickellead_balance::{Candidate, SelectionRules, TargetOutcome, TargetScore, choose};
use nickellead_core::Timestamp;

/// All criteria enabled.
const RULES: SelectionRules =
    SelectionRules { ejection: true, prefer_same_zone: true, avoid_cold: true };

const USUAL_LATENCY: Duration = Duration::from_millis(80);

fn target(latency_ms: u64) -> TargetScore {
    let mut score = TargetScore::new(USUAL_LATENCY);
    for _ in 0..30 {
        score.record(TargetOutcome::Responded(Duration::from_millis(latency_ms)), Timestamp(1));
    }
    score
}

fn candidate(score: &TargetScore) -> Candidate<'_> {
    Candidate { score, slots: 4, same_zone: true, cold: false }
}

/// Number of times that each candidate is selected for a thousand requests.
fn selections(candidates: &[Candidate<'_>], now: Timestamp) -> Vec<usize> {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..1_000 {
        counts[choose(candidates, RULES, now, &mut rng).unwrap()] += 1;
    }
    counts
}

#[test]
fn faster_targets_get_more_requests() {
    let (fast, slow) = (target(40), target(120));
    let counts = selections(&[candidate(&fast), candidate(&slow)], Timestamp(2));
    assert!(counts[0] > counts[1] * 3, "{counts:?}");
    assert!(counts[1] > 0, "the slow one still gets some");
}

/// A VM of a large fleet rarely sends to a given target, so a few responses must suffice.
#[test]
fn three_responses_distinguish_a_slow_target_from_a_fast_one() {
    let score = |latency_ms| {
        let mut score = TargetScore::new(USUAL_LATENCY);
        let outcome = TargetOutcome::Responded(Duration::from_millis(latency_ms));
        (0..3).for_each(|_| score.record(outcome, Timestamp(1)));
        score
    };
    let (fast, slow) = (score(240), score(720));
    let ratio = slow.baseline_ms() / fast.baseline_ms();
    assert!((2.5..3.5).contains(&ratio), "baseline latency: {ratio}");
    let ratio = slow.cost(4) / fast.cost(4);
    assert!((2.5..3.5).contains(&ratio), "cost: {ratio}");
}

#[test]
fn cold_targets_and_targets_in_other_zones_get_fewer_requests() {
    let score = target(60);
    let cold = Candidate { cold: true, ..candidate(&score) };
    let far = Candidate { same_zone: false, ..candidate(&score) };
    let counts = selections(&[candidate(&score), cold, far], Timestamp(2));
    assert!(counts[0] > counts[1] && counts[0] > counts[2], "{counts:?}");
}

#[test]
fn a_failing_target_is_ejected_and_returns() {
    let (healthy, mut failing) = (target(60), target(60));
    for _ in 0..6 {
        failing.record(TargetOutcome::Failed, Timestamp(100));
    }
    let pool = [candidate(&healthy), candidate(&failing)];
    assert_eq!(selections(&pool, Timestamp(150))[1], 0);
    assert!(!failing.is_ejected(Timestamp(100 + 3_000)));
}

#[test]
fn ejection_is_ignored_when_most_targets_fail() {
    let mut scores = [target(60), target(60), target(60)];
    for score in &mut scores[..2] {
        (0..6).for_each(|_| score.record(TargetOutcome::NoResponse, Timestamp(100)));
    }
    let pool: Vec<_> = scores.iter().map(candidate).collect();
    let counts = selections(&pool, Timestamp(150));
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
}

#[test]
fn no_candidates_give_no_selection() {
    assert_eq!(choose(&[], RULES, Timestamp(0), &mut fastrand::Rng::with_seed(1)), None);
}
