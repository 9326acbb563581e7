//! Limits that follow refusals, and turns by rank.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_limit::{AdaptiveLimit, QueueTicket, WaitQueue, WaitTolerance};
use quickcheck::quickcheck;

/// The latency target of these tests.
const GOAL: Duration = Duration::from_millis(400);
/// An answer of a target with room.
const FAST: Duration = Duration::from_millis(100);
/// An answer of a target whose queue is long.
const SLOW: Duration = Duration::from_millis(700);

/// An answer after `length`, while `running` requests were under way.
fn answer(limit: &mut AdaptiveLimit, running: u32, length: Duration, now: Timestamp) {
    limit.record_response(running, length, FAST, GOAL, now);
}

fn answer_fast(limit: &mut AdaptiveLimit, running: u32) {
    answer(limit, running, FAST, Timestamp::ZERO);
}

#[test]
fn refusals_shrink_the_limit_and_answers_let_it_grow() {
    let mut limit = AdaptiveLimit::new(4, 16);
    assert!(limit.has_capacity(3) && !limit.has_capacity(4));
    limit.record_refusal();
    assert!(!limit.has_capacity(3));
    (0..40).for_each(|_| answer_fast(&mut limit, 8));
    assert!(limit.has_capacity(4));
}

#[test]
fn answers_of_an_idle_target_say_nothing_of_more() {
    let mut limit = AdaptiveLimit::new(4, 16);
    (0..1_000).for_each(|_| answer_fast(&mut limit, 1));
    assert!(!limit.has_capacity(4));
}

/// A target that queues what it can't run, and then swallows it, refuses nothing.
#[test]
fn slow_answers_shrink_the_limit_before_any_request_is_lost() {
    let mut limit = AdaptiveLimit::new(8, 16);
    (0..10).for_each(|turn| answer(&mut limit, 8, SLOW, Timestamp(turn * 1_000)));
    assert!(!limit.has_capacity(3));
}

/// Requests that were sent together come back together: they tell one thing.
#[test]
fn slow_answers_of_the_same_moment_shrink_it_once() {
    let mut limit = AdaptiveLimit::new(10, 16);
    (0..10).for_each(|_| answer(&mut limit, 10, SLOW, Timestamp(1_000)));
    assert!(limit.has_capacity(6));
}

#[test]
fn a_target_that_is_slow_by_itself_is_not_full() {
    let mut limit = AdaptiveLimit::new(4, 16);
    let slow = Duration::from_millis(300);
    (0..20).for_each(|turn| limit.record_response(4, slow, slow, GOAL, Timestamp(turn * 1_000)));
    assert!(limit.has_capacity(4));
}

/// With a limit of 1.6 only one request is ever under way; it stayed there for good.
#[test]
fn a_limit_between_two_requests_grows_again() {
    let mut limit = AdaptiveLimit::new(2, 16);
    answer(&mut limit, 2, SLOW, Timestamp(1_000));
    assert!(!limit.has_capacity(1));
    (0..40).for_each(|_| answer_fast(&mut limit, 1));
    assert!(limit.has_capacity(1));
}

quickcheck! {
    /// One request may always be tried, and the most is never exceeded.
    fn the_limit_stays_in_its_bounds(events: Vec<bool>) -> bool {
        let mut limit = AdaptiveLimit::new(4, 16);
        for answered in events {
            match answered {
                true => answer_fast(&mut limit, 16),
                false => limit.record_refusal(),
            }
        }
        limit.has_capacity(0) && !limit.has_capacity(16)
    }
}

#[test]
fn a_target_that_swallows_requests_promises_no_answer_in_time() {
    let mut limit = AdaptiveLimit::new(2, 16);
    limit.record_overdue(GOAL, Timestamp(1_000));
    assert!(limit.mean_latency(GOAL) >= GOAL);
    (0..20).for_each(|_| answer_fast(&mut limit, 1));
    assert!(limit.mean_latency(GOAL) < GOAL / 2, "its answers count again");
}

#[test]
fn a_wait_is_as_long_as_the_turns_ahead() {
    let limit = AdaptiveLimit::new(2, 16);
    assert_eq!(limit.expected_wait(0, FAST), FAST / 2);
    assert_eq!(limit.expected_wait(3, FAST), FAST * 2);
}

#[test]
fn a_caller_that_comes_back_has_less_time_left() {
    let patience = WaitTolerance::default();
    let millis = Duration::from_millis;
    assert_eq!(patience.observe_remaining(millis(2_500)), Duration::ZERO);
    assert_eq!(patience.observe_remaining(millis(2_200)), millis(300));
    let again = patience.observe_remaining(millis(2_500));
    assert_eq!(again, Duration::ZERO);
}

/// One caller that waits for a minute must not make all others look old for good.
#[test]
fn the_word_of_one_patient_caller_is_forgotten() {
    let patience = WaitTolerance::default();
    patience.observe_remaining(Duration::from_secs(60));
    let usual = Duration::from_millis(2_500);
    for _ in 0..2_000 {
        patience.observe_remaining(usual);
    }
    assert!(patience.observe_remaining(usual) < Duration::from_millis(5));
}

/// Whether a turn has come.
async fn is_woken(turn: &mut QueueTicket) -> bool {
    tokio::time::timeout(Duration::from_millis(50), turn.wait()).await.is_ok()
}

#[tokio::test]
async fn the_most_urgent_goes_first_and_who_left_is_passed_over() {
    let queue = WaitQueue::default();
    let mut later = queue.join(2);
    let mut urgent = queue.join(0);
    drop(queue.join(0));
    let mut second = queue.join(0);
    queue.wake_one();
    assert!(is_woken(&mut urgent).await);
    assert!(!is_woken(&mut second).await && !is_woken(&mut later).await, "one wake, one turn");
    queue.wake_one();
    assert!(is_woken(&mut second).await, "who left is not counted");
    assert!(!is_woken(&mut later).await);
    queue.wake_one();
    assert!(is_woken(&mut later).await);
}

#[tokio::test]
async fn a_turn_that_comes_too_late_goes_to_the_next() {
    let queue = WaitQueue::default();
    let late = queue.join(0);
    let mut next = queue.join(0);
    queue.wake_one();
    queue.leave(&late);
    assert!(is_woken(&mut next).await);
}
