//! Limits that follow refusals, and turns by rank.
#![allow(clippy::unwrap_used)]

use nickellead_limit::{AdaptiveLimit, Turn, TurnQueue};
use quickcheck::quickcheck;

#[test]
fn refusals_shrink_the_limit_and_answers_let_it_grow() {
    let mut limit = AdaptiveLimit::new(4, 16);
    assert!(limit.has_room(3) && !limit.has_room(4));
    limit.note_refusal();
    assert!(!limit.has_room(3));
    (0..40).for_each(|_| limit.note_answer(8));
    assert!(limit.has_room(4));
}

#[test]
fn answers_of_an_idle_target_say_nothing_of_more() {
    let mut limit = AdaptiveLimit::new(4, 16);
    (0..1_000).for_each(|_| limit.note_answer(1));
    assert!(!limit.has_room(4));
}

quickcheck! {
    /// One request may always be tried, and the most is never exceeded.
    fn the_limit_stays_in_its_bounds(events: Vec<bool>) -> bool {
        let mut limit = AdaptiveLimit::new(4, 16);
        for answered in events {
            match answered {
                true => limit.note_answer(16),
                false => limit.note_refusal(),
            }
        }
        limit.has_room(0) && !limit.has_room(16)
    }
}

/// Whether a turn has come.
async fn is_woken(turn: &mut Turn) -> bool {
    tokio::time::timeout(std::time::Duration::from_millis(50), turn.wait()).await.is_ok()
}

#[tokio::test]
async fn the_most_urgent_goes_first_and_who_left_is_passed_over() {
    let queue = TurnQueue::default();
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
    let queue = TurnQueue::default();
    let late = queue.join(0);
    let mut next = queue.join(0);
    queue.wake_one();
    queue.give_up(&late);
    assert!(is_woken(&mut next).await);
}
