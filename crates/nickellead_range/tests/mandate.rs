//! Takeover of the mandate (leader lease) after outages of the store, and bounds on predecessors.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_range::{
    LastOrder, MANDATE_EXPIRY_MARGIN, MANDATE_RENEWAL_INTERVAL, MANDATE_TTL, MandateRecord,
    MandateState, POST_OUTAGE_TAKEOVER_DELAY, RENEWAL_GRACE, Revision, StoreEra, Stored,
};

fn record(vm: &str, vacant: bool) -> Stored<MandateRecord> {
    let address = ([127, 0, 0, 1], 9_000).into();
    let value = MandateRecord {
        vm: vm.to_owned(),
        address,
        incarnation: 1,
        renewals: 20,
        taken: 1,
        vacant,
        era: StoreEra::default(),
    };
    Stored { revision: Revision::without_era(5), value }
}

/// A VM that has just started.
fn started(vm: &str) -> MandateState {
    let address = ([127, 0, 0, 1], 9_001).into();
    MandateState::new(vm.to_owned(), address, 2, Duration::ZERO)
}

/// A standby that saw the mandate renewed to its current version at 1,000 ms.
fn standby(seen: Stored<MandateRecord>) -> MandateState {
    standby_since(seen, Timestamp(1_000), MANDATE_RENEWAL_INTERVAL)
}

/// A standby that saw the current version at `since` and the previous one `gap` before.
fn standby_since(seen: Stored<MandateRecord>, since: Timestamp, gap: Duration) -> MandateState {
    let mut mandate = started("vm-2");
    let renewals = seen.value.renewals - 1;
    let value = MandateRecord { renewals, vacant: false, ..seen.value.clone() };
    let before = Stored { revision: Revision::without_era(seen.revision.number - 1), value };
    mandate.apply_read(Some(before), Timestamp(since.0 - gap.as_millis() as u64));
    mandate.apply_read(Some(seen), since);
    mandate
}

/// Takes the mandate at `now`; it must be free.
fn take(mandate: &mut MandateState, now: Timestamp) {
    let write = mandate.due_write(now).unwrap();
    assert!(mandate.apply_write(&write, Some(Revision::without_era(6)), now, now));
}

#[test]
fn after_an_outage_the_last_holder_takes_precedence() {
    let mut mandate = standby(record("vm-1", false));
    let expired = Timestamp(1_000) + MANDATE_TTL + MANDATE_EXPIRY_MARGIN;
    assert!(mandate.due_write(expired).is_some(), "without an outage it may be taken at once");
    let failure = Timestamp(9_000);
    mandate.observe_store_failure(failure);
    assert!(mandate.due_write(failure + Duration::from_millis(100)).is_none());
    assert!(mandate.due_write(failure + POST_OUTAGE_TAKEOVER_DELAY).is_some());
}

/// Guards against a standby whose last failed request precedes the store's recovery by more than the
/// takeover delay, and which then takes the mandate before its holder retries.
#[test]
fn precedence_counts_from_the_recovery_of_the_store() {
    let mut mandate = standby(record("vm-1", false));
    mandate.observe_store_failure(Timestamp(9_000));
    let recovered = Timestamp(9_000) + POST_OUTAGE_TAKEOVER_DELAY * 2;
    mandate.observe_store_response(recovered);
    assert!(mandate.due_write(recovered).is_none());
    let later = recovered + POST_OUTAGE_TAKEOVER_DELAY;
    mandate.observe_store_response(later);
    assert!(mandate.due_write(later).is_some(), "the delay counts from the first response");
}

#[test]
fn a_successor_allows_for_late_orders_that_could_not_be_recorded() {
    let mut mandate = standby(record("vm-1", false));
    mandate.observe_store_failure(Timestamp(9_000));
    take(&mut mandate, Timestamp(9_000) + POST_OUTAGE_TAKEOVER_DELAY);
    assert!(mandate.predecessors().late_orders_unknown);
}

/// Guards against a successor that, after a long outage, waits as if the grace time of the last
/// holder began at the takeover.
#[test]
fn renewals_of_the_last_holder_end_with_its_authority() {
    let mut mandate = standby(record("vm-1", false));
    let expired = Timestamp(1_000) + MANDATE_TTL + MANDATE_EXPIRY_MARGIN;
    take(&mut mandate, expired);
    let LastOrder::After(left) = mandate.predecessors().last_holder else {
        panic!("its grace time has not ended")
    };
    assert!(left >= RENEWAL_GRACE && left < RENEWAL_GRACE + MANDATE_EXPIRY_MARGIN, "{left:?}");
    let mut mandate = standby(record("vm-1", false));
    mandate.observe_store_failure(Timestamp(9_000));
    take(&mut mandate, Timestamp(9_000) + POST_OUTAGE_TAKEOVER_DELAY);
    let elapsed = Duration::from_millis(8_000) + POST_OUTAGE_TAKEOVER_DELAY;
    let LastOrder::Before(since_end) = mandate.predecessors().last_holder else {
        panic!("its grace time has ended")
    };
    assert!(since_end <= elapsed - MANDATE_TTL - RENEWAL_GRACE, "{since_end:?}");
    assert!(
        since_end >= elapsed - (MANDATE_TTL + RENEWAL_GRACE + MANDATE_EXPIRY_MARGIN * 2),
        "{since_end:?}"
    );
}

/// Guards against a new controller under the same mandate ignoring the orders of the previous one.
#[test]
fn a_second_controller_allows_for_the_orders_of_the_first() {
    let mut mandate = standby(record("vm-1", false));
    mandate.observe_store_failure(Timestamp(9_000));
    take(&mut mandate, Timestamp(9_000) + POST_OUTAGE_TAKEOVER_DELAY);
    assert!(matches!(mandate.take_predecessors().last_holder, LastOrder::Before(_)));
    assert_eq!(mandate.take_predecessors().last_holder, LastOrder::NOW);
    assert_eq!(mandate.predecessors().earlier_holders, LastOrder::NOW);
}

#[test]
fn a_successor_expects_no_late_orders_without_an_outage_or_after_a_handover() {
    let expired = Timestamp(1_000) + MANDATE_TTL + MANDATE_EXPIRY_MARGIN;
    let mut mandate = standby(record("vm-1", false));
    take(&mut mandate, expired);
    assert!(!mandate.predecessors().late_orders_unknown);
    let mut mandate = standby(record("vm-1", true));
    mandate.observe_store_failure(Timestamp(9_000));
    take(&mut mandate, Timestamp(9_000) + POST_OUTAGE_TAKEOVER_DELAY);
    assert!(!mandate.predecessors().late_orders_unknown);
}

/// Guards against a restarted VM that cannot know of an outage ignoring late orders that the last
/// holder, possibly itself, saw but could not record.
#[test]
fn a_vm_that_saw_no_renewal_allows_for_late_orders() {
    for vm in ["vm-1", "vm-2"] {
        let mut mandate = started(vm);
        mandate.apply_read(Some(record("vm-1", false)), Timestamp(1_000));
        take(&mut mandate, Timestamp(1_000) + MANDATE_TTL + MANDATE_EXPIRY_MARGIN);
        assert!(mandate.predecessors().late_orders_unknown, "{vm}");
    }
}

/// Guards against a successor that takes a renewal which the store applied late as proof that the
/// holder was able to record late orders.
#[test]
fn a_renewal_after_the_mandate_expired_may_leave_late_orders_unrecorded() {
    let expired = Timestamp(20_000) + MANDATE_TTL + MANDATE_EXPIRY_MARGIN;
    for (gap, unknown) in [(MANDATE_TTL, false), (MANDATE_TTL * 2, true)] {
        let mut mandate = standby_since(record("vm-1", false), Timestamp(20_000), gap);
        take(&mut mandate, expired);
        assert_eq!(mandate.predecessors().late_orders_unknown, unknown, "{gap:?}");
    }
}

/// Guards against ignoring late orders that a holder, lost right after its takeover, did not record.
#[test]
fn a_holder_that_was_lost_after_it_took_the_mandate_may_leave_late_orders_unrecorded() {
    let mut mandate = standby(record("vm-1", false));
    let taken = Timestamp(9_000);
    let mut next = record("vm-3", false);
    next.revision = Revision::without_era(6);
    next.value.renewals += 1;
    next.value.taken = next.value.renewals;
    mandate.apply_read(Some(next), taken);
    let write = mandate.due_write(taken + MANDATE_TTL + MANDATE_EXPIRY_MARGIN).unwrap();
    let now = taken + MANDATE_TTL + MANDATE_EXPIRY_MARGIN;
    assert!(mandate.apply_write(&write, Some(Revision::without_era(7)), now, now));
    assert!(mandate.predecessors().late_orders_unknown);
}
