//! Targets whose entries or responses state extreme numbers.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use nickellead_core::Timestamp;
use nickellead_dispatch::{
    DispatchDecision, DispatchQueue, DispatchRequest, MAX_AVOIDED, PermitOutcome, ReportedLoad,
    RouteKey, TargetKey,
};

const REQUESTS: u64 = 200;

fn request(now: u64) -> DispatchRequest {
    DispatchRequest {
        owner: None,
        avoid: [None; MAX_AVOIDED],
        route: RouteKey(1),
        key: None,
        rank: 0,
        due: Timestamp(now + 500),
        deadline: Timestamp(now + 1_000),
    }
}

/// Guards the processes of VMs that dispatch: memory and time were in proportion to the slots that an entry
/// states.
#[test]
fn a_target_with_any_number_of_slots_costs_as_much_as_others() {
    for slots in [0, 1, 10_000, u32::MAX - 1, u32::MAX] {
        let mut queue = DispatchQueue::new(1);
        queue.set_target(TargetKey(1), slots);
        queue.set_target(TargetKey(2), 4);
        let started = Instant::now();
        for now in 0..REQUESTS {
            let decision = queue.request(request(now), Timestamp(now));
            if let DispatchDecision::Granted(permit) = decision {
                let outcome = PermitOutcome::Responded(Duration::from_millis(1));
                queue.release(permit.id, outcome, None, Timestamp(now));
            }
        }
        assert!(started.elapsed() < Duration::from_secs(1), "{slots}: {:?}", started.elapsed());
    }
}

/// Guards targets that report absurd loads against being taken for idle by a sum that wraps.
#[test]
fn a_target_that_reports_as_many_requests_as_can_be_is_not_idle() {
    let load = ReportedLoad { running: u32::MAX, waiting: u32::MAX, slots: 4, slowness: 1.0 };
    let mut queue = DispatchQueue::new(1);
    queue.set_target(TargetKey(1), 4);
    let mut permits = Vec::new();
    for _ in 0..4 {
        let DispatchDecision::Granted(permit) = queue.request(request(0), Timestamp(0)) else {
            unreachable!("four slots are free")
        };
        permits.push(permit);
    }
    let outcome = PermitOutcome::Responded(Duration::from_millis(1));
    queue.release(permits.remove(0).id, outcome, Some(load), Timestamp(1));
    let decision = queue.request(request(1), Timestamp(1));
    assert!(!matches!(decision, DispatchDecision::Granted(_)), "{decision:?}");
}
