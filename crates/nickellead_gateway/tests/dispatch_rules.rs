//! Rules of dispatch that need no network.

use nickellead_core::Timestamp;
use nickellead_gateway::{PeerHealth, divide_targets};

/// Most targets of one group.
const MAX_TARGETS: usize = 8;

/// Large services in one zone: no VM may have many more decisions to make than another one.
#[test]
fn targets_are_divided_evenly_into_groups_of_at_most_eight() {
    for targets in 0..100 {
        let groups = divide_targets(targets);
        assert_eq!(groups.len(), targets.div_ceil(MAX_TARGETS));
        let mut next = 0;
        for group in &groups {
            assert_eq!(group.start, next, "{targets} targets: {groups:?}");
            next = group.end;
        }
        assert_eq!(next, targets);
        let sizes = || groups.iter().map(ExactSizeIterator::len);
        let (least, most) = (sizes().min().unwrap_or(0), sizes().max().unwrap_or(0));
        assert!(most <= MAX_TARGETS && most - least <= 1, "{targets} targets: {groups:?}");
    }
}

/// A frozen or cut-off dispatcher under load: it must not delay every request.
#[test]
fn a_lost_dispatcher_is_tried_by_one_request_a_second_until_it_answers() {
    let at = |millis: u64| Timestamp(10_000 + millis);
    let mut health = PeerHealth::default();
    assert!(health.may_ask(at(0)));
    assert!(health.record_lost(at(0)), "the loss is new");
    assert!(!health.record_lost(at(1)), "requests that were under way find the same");
    assert!(!health.may_ask(at(900)));
    assert!(health.may_ask(at(1_001)), "one request tries again");
    assert!(!health.may_ask(at(1_002)), "the others do not");
    health.record_answer();
    assert!(health.may_ask(at(1_003)) && health.may_ask(at(1_003)));
}
