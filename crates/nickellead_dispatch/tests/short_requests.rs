//! Loads at which estimates are poor: short requests with a stall, and targets that shed without being full.
#![allow(clippy::panic)]

use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_dispatch::{
    DispatchDecision, DispatchEvent, DispatchPermit, DispatchQueue, DispatchRequest, PermitOutcome,
    RouteKey, TargetKey,
};

fn request(now: Timestamp, due_ms: u64, deadline_ms: u64) -> DispatchRequest {
    DispatchRequest {
        owner: Some(TargetKey(0)),
        avoid: [None; 4],
        route: RouteKey(1),
        key: Some(5),
        rank: 1,
        due: now + Duration::from_millis(due_ms),
        deadline: now + Duration::from_millis(deadline_ms),
    }
}

fn granted(decision: DispatchDecision) -> DispatchPermit {
    match decision {
        DispatchDecision::Granted(permit) => permit,
        other => panic!("{other:?}"),
    }
}

/// A queue of one target with four slots that responded to ten requests after `latency`.
fn queue_after(latency: Duration) -> (DispatchQueue, Timestamp) {
    let mut queue = DispatchQueue::new(1);
    queue.set_target(TargetKey(0), 4);
    let mut now = Timestamp(1_000);
    for _ in 0..10 {
        let permit = granted(queue.request(request(now, 500, 60_000), now));
        now = now + latency;
        queue.release(permit.id, PermitOutcome::Responded(latency), None, now);
        queue.poll(now);
    }
    (queue, now)
}

/// Load: nine requests at once of 40 ms each, after requests that took 1 ms.
#[test]
fn requests_behind_a_stall_of_a_fast_target_are_served() {
    let (mut queue, mut now) = queue_after(Duration::from_millis(1));
    let mut running = Vec::new();
    let mut waiting = 0;
    for _ in 0..9 {
        match queue.request(request(now, 500, 1_000), now) {
            DispatchDecision::Granted(permit) => running.push((now, permit)),
            DispatchDecision::Queued(_) => waiting += 1,
            DispatchDecision::Refused(refusal) => panic!("{refusal:?}"),
        }
    }
    while !running.is_empty() {
        now = now + Duration::from_millis(10);
        let is_over = |(at, _): &(Timestamp, DispatchPermit)| now.since(*at).as_millis() >= 40;
        for (at, permit) in running.extract_if(.., |one| is_over(one)).collect::<Vec<_>>() {
            queue.release(permit.id, PermitOutcome::Responded(now.since(at)), None, now);
        }
        for event in queue.poll(now) {
            match event {
                DispatchEvent::Granted(_, permit) => {
                    waiting -= 1;
                    running.push((now, permit));
                }
                DispatchEvent::Refused(_, refusal) => panic!("{refusal:?}"),
            }
        }
    }
    assert_eq!(waiting, 0);
}

/// Load: requests one at a time of callers who leave before a usual response; only a response can show
/// that the target has become faster.
#[test]
fn an_idle_target_is_never_out_of_use() {
    let (mut queue, now) = queue_after(Duration::from_secs(5));
    granted(queue.request(request(now, 500, 1_000), now));
}

/// Load: requests one at a time, of which targets with free slots shed every other one.
#[test]
fn targets_that_shed_while_idle_still_get_requests() {
    let mut queue = DispatchQueue::new(1);
    (0..8).for_each(|key| queue.set_target(TargetKey(key), 4));
    let mut now = Timestamp(1_000);
    for round in 0..400 {
        let anywhere = DispatchRequest { owner: None, key: None, ..request(now, 500, 1_500) };
        let permit = granted(queue.request(anywhere, now));
        let outcome = match round % 2 {
            0 => PermitOutcome::Shed,
            _ => PermitOutcome::Responded(Duration::from_millis(190)),
        };
        now = now + Duration::from_millis(20);
        queue.release(permit.id, outcome, None, now);
        queue.poll(now);
    }
}
