//! Who may take the mandate after an outage of the store, and what it then reckons with.
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

/// A standby that saw the mandate renewed, and has seen it as it is at 1,000 ms.
fn standby(seen: Stored<MandateRecord>) -> MandateState {
    standby_since(seen, Timestamp(1_000), MANDATE_RENEWAL_INTERVAL)
}

/// The same, `gap` after the renewal before.
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
fn after_an_outage_the_last_holder_goes_first() {
    let mut mandate = standby(record("vm-1", false));
    let ran_out = Timestamp(1_000) + MANDATE_TTL + MANDATE_EXPIRY_MARGIN;
    assert!(mandate.due_write(ran_out).is_some(), "without an outage it is free at once");
    let away = Timestamp(9_000);
    mandate.observe_store_failure(away);
    assert!(mandate.due_write(away + Duration::from_millis(100)).is_none());
    assert!(mandate.due_write(away + POST_OUTAGE_TAKEOVER_DELAY).is_some());
}

/// A standby that looked a second before the store's return and then again took the mandate from a
/// holder that was about to try.
#[test]
fn precedence_counts_from_the_return_of_the_store() {
    let mut mandate = standby(record("vm-1", false));
    mandate.observe_store_failure(Timestamp(9_000));
    let returned = Timestamp(9_000) + POST_OUTAGE_TAKEOVER_DELAY * 2;
    mandate.observe_store_response(returned);
    assert!(mandate.due_write(returned).is_none());
    let later = returned + POST_OUTAGE_TAKEOVER_DELAY;
    mandate.observe_store_response(later);
    assert!(mandate.due_write(later).is_some(), "it counts from the first answer");
}

#[test]
fn a_successor_reckons_with_late_orders_that_could_not_be_written_down() {
    let mut mandate = standby(record("vm-1", false));
    mandate.observe_store_failure(Timestamp(9_000));
    take(&mut mandate, Timestamp(9_000) + POST_OUTAGE_TAKEOVER_DELAY);
    assert!(mandate.predecessors().late_orders_unknown);
}

/// A successor that took over after a long outage let lost targets' keys wait as if the last holder
/// could go on renewing from then on.
#[test]
fn what_a_holder_may_still_renew_ends_with_its_power() {
    let mut mandate = standby(record("vm-1", false));
    let ran_out = Timestamp(1_000) + MANDATE_TTL + MANDATE_EXPIRY_MARGIN;
    take(&mut mandate, ran_out);
    let LastOrder::After(left) = mandate.predecessors().last_holder else {
        panic!("its grace goes on")
    };
    assert!(left >= RENEWAL_GRACE && left < RENEWAL_GRACE + MANDATE_EXPIRY_MARGIN, "{left:?}");
    let mut mandate = standby(record("vm-1", false));
    mandate.observe_store_failure(Timestamp(9_000));
    take(&mut mandate, Timestamp(9_000) + POST_OUTAGE_TAKEOVER_DELAY);
    let passed = Duration::from_millis(8_000) + POST_OUTAGE_TAKEOVER_DELAY;
    let LastOrder::Before(over) = mandate.predecessors().last_holder else {
        panic!("its grace is over")
    };
    assert!(over <= passed - MANDATE_TTL - RENEWAL_GRACE, "{over:?}");
    assert!(over >= passed - (MANDATE_TTL + RENEWAL_GRACE + MANDATE_EXPIRY_MARGIN * 2), "{over:?}");
}

/// A keeper made anew, while the mandate is still held, follows on orders of this very VM.
#[test]
fn a_second_keeper_reckons_with_the_orders_of_the_first() {
    let mut mandate = standby(record("vm-1", false));
    mandate.observe_store_failure(Timestamp(9_000));
    take(&mut mandate, Timestamp(9_000) + POST_OUTAGE_TAKEOVER_DELAY);
    assert!(matches!(mandate.take_predecessors().last_holder, LastOrder::Before(_)));
    assert_eq!(mandate.take_predecessors().last_holder, LastOrder::NOW);
    assert_eq!(mandate.predecessors().earlier_holders, LastOrder::NOW);
}

#[test]
fn without_an_outage_or_after_a_hand_over_it_does_not() {
    let ran_out = Timestamp(1_000) + MANDATE_TTL + MANDATE_EXPIRY_MARGIN;
    let mut mandate = standby(record("vm-1", false));
    take(&mut mandate, ran_out);
    assert!(!mandate.predecessors().late_orders_unknown);
    let mut mandate = standby(record("vm-1", true));
    mandate.observe_store_failure(Timestamp(9_000));
    take(&mut mandate, Timestamp(9_000) + POST_OUTAGE_TAKEOVER_DELAY);
    assert!(!mandate.predecessors().late_orders_unknown);
}

/// Seen in random schedules (301142, 304361): a holder met late orders while the store was away, was
/// killed, and took its mandate again in its next life, which had seen no outage. It gave a lost
/// target's keys on before a late order for them was carried out.
#[test]
fn a_vm_that_saw_no_renewal_reckons_with_late_orders() {
    for vm in ["vm-1", "vm-2"] {
        let mut mandate = started(vm);
        mandate.apply_read(Some(record("vm-1", false)), Timestamp(1_000));
        take(&mut mandate, Timestamp(1_000) + MANDATE_TTL + MANDATE_EXPIRY_MARGIN);
        assert!(mandate.predecessors().late_orders_unknown, "{vm}");
    }
}

/// Seen in random schedules (311777): a holder that the store was away for alone met late orders in its
/// grace, and then a renewal that it had sent long before was carried out. Its successor took it for
/// one that could write all the time.
#[test]
fn a_renewal_after_the_mandate_ran_out_may_leave_late_orders_untold() {
    let ran_out = Timestamp(20_000) + MANDATE_TTL + MANDATE_EXPIRY_MARGIN;
    for (gap, unknown) in [(MANDATE_TTL, false), (MANDATE_TTL * 2, true)] {
        let mut mandate = standby_since(record("vm-1", false), Timestamp(20_000), gap);
        take(&mut mandate, ran_out);
        assert_eq!(mandate.predecessors().late_orders_unknown, unknown, "{gap:?}");
    }
}

/// A successor that is lost before it wrote that it reckons with late orders leaves this untold.
#[test]
fn a_holder_that_was_lost_after_it_took_the_mandate_may_leave_late_orders_untold() {
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
