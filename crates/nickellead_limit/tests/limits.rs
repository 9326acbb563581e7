//! Adaptive limits, the wait queue and the wait tolerance of callers.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_limit::{AdaptiveLimit, QueueTicket, WaitQueue, WaitTolerance};
use quickcheck::quickcheck;

const LATENCY_TARGET: Duration = Duration::from_millis(400);
/// Latency of a target with capacity.
const FAST: Duration = Duration::from_millis(100);
/// Latency of a target with a long queue.
const SLOW: Duration = Duration::from_millis(700);

fn respond(limit: &mut AdaptiveLimit, in_flight: u32, latency: Duration, now: Timestamp) {
    limit.record_response(in_flight, latency, FAST, LATENCY_TARGET, now);
}

fn respond_fast(limit: &mut AdaptiveLimit, in_flight: u32) {
    respond(limit, in_flight, FAST, Timestamp::ZERO);
}

#[test]
fn refusals_decrease_the_limit_and_responses_increase_it() {
    let mut limit = AdaptiveLimit::new(4, 16);
    assert!(limit.has_capacity(3) && !limit.has_capacity(4));
    limit.record_refusal();
    assert!(!limit.has_capacity(3));
    (0..40).for_each(|_| respond_fast(&mut limit, 8));
    assert!(limit.has_capacity(4));
}

#[test]
fn responses_below_the_limit_do_not_increase_it() {
    let mut limit = AdaptiveLimit::new(4, 16);
    (0..1_000).for_each(|_| respond_fast(&mut limit, 1));
    assert!(!limit.has_capacity(4));
}

/// A target that queues excess requests and then drops them refuses nothing.
#[test]
fn slow_responses_decrease_the_limit_before_any_request_is_lost() {
    let mut limit = AdaptiveLimit::new(8, 16);
    (0..10).for_each(|second| respond(&mut limit, 8, SLOW, Timestamp(second * 1_000)));
    assert!(!limit.has_capacity(3));
}

/// Responses to requests that were sent together are one observation.
#[test]
fn slow_responses_at_the_same_time_decrease_the_limit_once() {
    let mut limit = AdaptiveLimit::new(10, 16);
    (0..10).for_each(|_| respond(&mut limit, 10, SLOW, Timestamp(1_000)));
    assert!(limit.has_capacity(6));
}

#[test]
fn a_target_that_is_slow_by_itself_is_not_full() {
    let mut limit = AdaptiveLimit::new(4, 16);
    let slow = Duration::from_millis(300);
    (0..20).for_each(|second| {
        limit.record_response(4, slow, slow, LATENCY_TARGET, Timestamp(second * 1_000));
    });
    assert!(limit.has_capacity(4));
}

/// With a limit of 1.6 only one request is in flight; the limit must still recover from there.
#[test]
fn a_limit_between_two_requests_grows_again() {
    let mut limit = AdaptiveLimit::new(2, 16);
    respond(&mut limit, 2, SLOW, Timestamp(1_000));
    assert!(!limit.has_capacity(1));
    (0..40).for_each(|_| respond_fast(&mut limit, 1));
    assert!(limit.has_capacity(1));
}

quickcheck! {
    /// One request is always allowed, and the maximum is never exceeded.
    fn the_limit_stays_in_its_bounds(events: Vec<bool>) -> bool {
        let mut limit = AdaptiveLimit::new(4, 16);
        for answered in events {
            match answered {
                true => respond_fast(&mut limit, 16),
                false => limit.record_refusal(),
            }
        }
        limit.has_capacity(0) && !limit.has_capacity(16)
    }
}

#[test]
fn overdue_requests_raise_the_mean_latency_to_the_latency_target() {
    let mut limit = AdaptiveLimit::new(2, 16);
    limit.record_overdue(LATENCY_TARGET, Timestamp(1_000));
    assert!(limit.mean_latency(LATENCY_TARGET) >= LATENCY_TARGET);
    (0..20).for_each(|_| respond_fast(&mut limit, 1));
    assert!(
        limit.mean_latency(LATENCY_TARGET) < LATENCY_TARGET / 2,
        "responses lower the mean latency again"
    );
}

#[test]
fn the_expected_wait_grows_with_the_queue_length() {
    let limit = AdaptiveLimit::new(2, 16);
    assert_eq!(limit.expected_wait(0, FAST), FAST / 2);
    assert_eq!(limit.expected_wait(3, FAST), FAST * 2);
}

#[test]
fn the_age_of_a_retrying_caller_is_the_missing_time() {
    let tolerance = WaitTolerance::default();
    let millis = Duration::from_millis;
    assert_eq!(tolerance.observe_remaining(millis(2_500)), Duration::ZERO);
    assert_eq!(tolerance.observe_remaining(millis(2_200)), millis(300));
    let again = tolerance.observe_remaining(millis(2_500));
    assert_eq!(again, Duration::ZERO);
}

/// A caller with an unusually long deadline must not make all others look old permanently.
#[test]
fn one_long_deadline_is_forgotten() {
    let tolerance = WaitTolerance::default();
    tolerance.observe_remaining(Duration::from_secs(60));
    let usual = Duration::from_millis(2_500);
    for _ in 0..2_000 {
        tolerance.observe_remaining(usual);
    }
    assert!(tolerance.observe_remaining(usual) < Duration::from_millis(5));
}

async fn is_woken(ticket: &mut QueueTicket) -> bool {
    tokio::time::timeout(Duration::from_millis(50), ticket.wait()).await.is_ok()
}

#[tokio::test]
async fn the_lowest_rank_is_woken_first_and_dropped_tickets_are_skipped() {
    let queue = WaitQueue::default();
    let mut later = queue.join(2);
    let mut urgent = queue.join(0);
    drop(queue.join(0));
    let mut second = queue.join(0);
    queue.wake_one();
    assert!(is_woken(&mut urgent).await);
    assert!(
        !is_woken(&mut second).await && !is_woken(&mut later).await,
        "one call wakes one request"
    );
    queue.wake_one();
    assert!(is_woken(&mut second).await, "a dropped ticket is skipped");
    assert!(!is_woken(&mut later).await);
    queue.wake_one();
    assert!(is_woken(&mut later).await);
}

#[tokio::test]
async fn a_wake_up_of_a_leaving_request_passes_to_the_next() {
    let queue = WaitQueue::default();
    let late = queue.join(0);
    let mut next = queue.join(0);
    queue.wake_one();
    queue.leave(&late);
    assert!(is_woken(&mut next).await);
}
