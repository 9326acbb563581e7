//! The choice among unequal, cold and failing members.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use nickellead_balance::{Candidate, SelectionRules, TargetOutcome, TargetScore, choose};
use nickellead_core::Timestamp;

/// All that a choice may go by.
const RULES: SelectionRules =
    SelectionRules { ejection: true, prefer_same_zone: true, avoid_cold: true };

const USUAL: Duration = Duration::from_millis(80);

fn member(answer_ms: u64) -> TargetScore {
    let mut score = TargetScore::new(USUAL);
    for _ in 0..30 {
        score.record(TargetOutcome::Responded(Duration::from_millis(answer_ms)), Timestamp(1));
    }
    score
}

fn candidate(score: &TargetScore) -> Candidate<'_> {
    Candidate { score, slots: 4, same_zone: true, cold: false }
}

/// How often each of the candidates is chosen in a thousand requests.
fn shares(candidates: &[Candidate<'_>], now: Timestamp) -> Vec<usize> {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..1_000 {
        counts[choose(candidates, RULES, now, &mut rng).unwrap()] += 1;
    }
    counts
}

#[test]
fn faster_members_get_more() {
    let (fast, slow) = (member(40), member(120));
    let counts = shares(&[candidate(&fast), candidate(&slow)], Timestamp(2));
    assert!(counts[0] > counts[1] * 3, "{counts:?}");
    assert!(counts[1] > 0, "the slow one is still seen");
}

/// A VM among three hundred sees a target a few times a minute: an assumed time to start from made all
/// targets look alike, and a third of them were given twice what they could serve.
#[test]
fn three_answers_tell_a_slow_target_from_a_fast_one() {
    let told = |answer_ms| {
        let mut score = TargetScore::new(USUAL);
        let outcome = TargetOutcome::Responded(Duration::from_millis(answer_ms));
        (0..3).for_each(|_| score.record(outcome, Timestamp(1)));
        score
    };
    let (fast, slow) = (told(240), told(720));
    let ratio = slow.baseline_ms() / fast.baseline_ms();
    assert!((2.5..3.5).contains(&ratio), "unhurried answers: {ratio}");
    let ratio = slow.cost(4) / fast.cost(4);
    assert!((2.5..3.5).contains(&ratio), "cost: {ratio}");
}

#[test]
fn cold_and_far_members_get_less() {
    let score = member(60);
    let cold = Candidate { cold: true, ..candidate(&score) };
    let far = Candidate { same_zone: false, ..candidate(&score) };
    let counts = shares(&[candidate(&score), cold, far], Timestamp(2));
    assert!(counts[0] > counts[1] && counts[0] > counts[2], "{counts:?}");
}

#[test]
fn a_failing_member_is_left_out_and_comes_back() {
    let (sound, mut failing) = (member(60), member(60));
    for _ in 0..6 {
        failing.record(TargetOutcome::Failed, Timestamp(100));
    }
    let pool = [candidate(&sound), candidate(&failing)];
    assert_eq!(shares(&pool, Timestamp(150))[1], 0);
    assert!(!failing.is_ejected(Timestamp(100 + 3_000)));
}

#[test]
fn when_most_fail_the_fault_is_elsewhere() {
    let mut scores = [member(60), member(60), member(60)];
    for score in &mut scores[..2] {
        (0..6).for_each(|_| score.record(TargetOutcome::NoResponse, Timestamp(100)));
    }
    let pool: Vec<_> = scores.iter().map(candidate).collect();
    let counts = shares(&pool, Timestamp(150));
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
}

#[test]
fn nobody_is_chosen_of_none() {
    assert_eq!(choose(&[], RULES, Timestamp(0), &mut fastrand::Rng::with_seed(1)), None);
}
