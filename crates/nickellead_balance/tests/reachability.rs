//! Guards against spending the deadlines of requests on connect timeouts in an unreachable zone.

use nickellead_balance::{FailedTry, ReachFailure, ZoneReachability};
use nickellead_core::Timestamp;

const ZONE: &str = "zone-b";
/// Requests for the zone's targets at one VM.
const REQUESTS_PER_S: u64 = 5;
const TARGETS: u64 = 35;

/// Records that a connection attempt timed out at `now`.
fn time_out(reachability: &ZoneReachability, target: &str, now: Timestamp) {
    let tried = FailedTry { target, failure: ReachFailure::TimedOut, began: now };
    reachability.record_failure(ZONE, &tried, now);
}

/// Number of requests that a VM sends to the zone while it is unreachable for `seconds`.
fn sent_while_unreachable(reachability: &ZoneReachability, seconds: u64) -> u64 {
    let mut sent = 0;
    for number in 0..seconds * REQUESTS_PER_S {
        let now = Timestamp(10_000 + number * 1_000 / REQUESTS_PER_S);
        if reachability.may_attempt(ZONE, now) {
            let target = format!("t{}", number * 7 % TARGETS);
            reachability.record_attempt(ZONE, &target, now);
            sent += 1;
            time_out(reachability, &target, Timestamp(now.0 + 400));
        }
    }
    sent
}

#[test]
fn only_some_requests_run_into_the_connect_timeout() {
    let reachability = ZoneReachability::default();
    let (requests, sent) = (6 * REQUESTS_PER_S, sent_while_unreachable(&reachability, 6));
    assert!(sent * 3 <= requests * 2, "{sent} of {requests}");
}

#[test]
fn one_timed_out_target_does_not_make_its_zone_unreachable() {
    let reachability = ZoneReachability::default();
    for at in 0..10 {
        time_out(&reachability, "t1", Timestamp(1_000 + at * 100));
        assert!(reachability.may_attempt(ZONE, Timestamp(1_001 + at * 100)));
    }
}

#[test]
fn an_unreachable_zone_is_attempted_occasionally_and_used_once_a_target_responds() {
    let reachability = ZoneReachability::default();
    time_out(&reachability, "t1", Timestamp(1_000));
    time_out(&reachability, "t2", Timestamp(1_050));
    assert!(reachability.may_attempt(ZONE, Timestamp(1_060)), "an attempt is due");
    reachability.record_attempt(ZONE, "t3", Timestamp(1_060));
    assert!(!reachability.may_attempt(ZONE, Timestamp(1_100)));
    assert!(reachability.may_attempt("zone-c", Timestamp(1_100)), "other zones are unaffected");
    assert!(reachability.may_attempt(ZONE, Timestamp(1_400)));
    reachability.record_attempt(ZONE, "t3", Timestamp(1_400));
    reachability.record_response(ZONE, Timestamp(1_401));
    assert!(reachability.may_attempt(ZONE, Timestamp(1_401)));
}

#[test]
fn old_connect_timeouts_expire() {
    let reachability = ZoneReachability::default();
    time_out(&reachability, "t1", Timestamp(1_000));
    time_out(&reachability, "t2", Timestamp(1_000));
    reachability.record_attempt(ZONE, "t3", Timestamp(3_000));
    assert!(reachability.may_attempt(ZONE, Timestamp(3_001)));
}
