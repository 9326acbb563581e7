//! Pattern: a zone is cut off and drops packets, so that each connection to one of its targets costs a request
//! the 0.4 s after which it is given up, and a request has 0.6 s to 1 s in all.

use nickellead_balance::ZoneReachability;
use nickellead_core::Timestamp;

const ZONE: &str = "zone-b";
/// Requests for the zone's targets that a VM has in a second.
const REQUESTS: u64 = 5;
const TARGETS: u64 = 35;

/// Requests that a VM sends to the zone while it is cut off for some seconds.
fn sent_while_cut(reach: &ZoneReachability, seconds: u64) -> u64 {
    let mut sent = 0;
    for number in 0..seconds * REQUESTS {
        let now = Timestamp(10_000 + number * 1_000 / REQUESTS);
        if reach.may_attempt(ZONE, now) {
            reach.record_attempt(ZONE, now);
            sent += 1;
            let target = format!("t{}", number * 7 % TARGETS);
            reach.record_connect_timeout(ZONE, &target, Timestamp(now.0 + 400));
        }
    }
    sent
}

#[test]
fn a_vm_waits_in_vain_a_few_times_and_not_for_every_request() {
    let reach = ZoneReachability::default();
    let (asked, sent) = (6 * REQUESTS, sent_while_cut(&reach, 6));
    assert!(sent * 3 <= asked * 2, "{sent} of {asked}");
}

#[test]
fn one_silent_target_says_nothing_of_its_zone() {
    let reach = ZoneReachability::default();
    for at in 0..10 {
        reach.record_connect_timeout(ZONE, "t1", Timestamp(1_000 + at * 100));
        assert!(reach.may_attempt(ZONE, Timestamp(1_001 + at * 100)));
    }
}

#[test]
fn a_zone_out_of_reach_is_tried_now_and_then_and_used_once_a_target_answers() {
    let reach = ZoneReachability::default();
    reach.record_connect_timeout(ZONE, "t1", Timestamp(1_000));
    reach.record_connect_timeout(ZONE, "t2", Timestamp(1_050));
    assert!(reach.may_attempt(ZONE, Timestamp(1_060)), "a try is due");
    reach.record_attempt(ZONE, Timestamp(1_060));
    assert!(!reach.may_attempt(ZONE, Timestamp(1_100)));
    assert!(reach.may_attempt("zone-c", Timestamp(1_100)), "others are none the worse");
    assert!(reach.may_attempt(ZONE, Timestamp(1_400)));
    reach.record_attempt(ZONE, Timestamp(1_400));
    reach.record_response(ZONE);
    assert!(reach.may_attempt(ZONE, Timestamp(1_401)));
}

#[test]
fn old_silences_are_forgotten() {
    let reach = ZoneReachability::default();
    reach.record_connect_timeout(ZONE, "t1", Timestamp(1_000));
    reach.record_connect_timeout(ZONE, "t2", Timestamp(1_000));
    reach.record_attempt(ZONE, Timestamp(3_000));
    assert!(reach.may_attempt(ZONE, Timestamp(3_001)));
}
