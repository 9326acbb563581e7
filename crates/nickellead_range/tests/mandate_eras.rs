//! Renewal and takeover of the mandate (leader lease) after a restore of the store.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_range::{
    MANDATE_EXPIRY_MARGIN, MANDATE_TTL, MandateAuthority, MandateRecord, MandateState,
    RENEWAL_GRACE, Revision, StoreEra, Stored,
};

const FIRST: StoreEra = StoreEra(1);
const SECOND: StoreEra = StoreEra(2);
/// When the VM took the mandate, or first read it.
const TAKEN: Timestamp = Timestamp(10_000);
/// Longer than any VM waits before it takes the mandate.
const MAX_TAKEOVER_WAIT: Duration = Duration::from_millis(20_000);

fn started(vm: &str) -> MandateState {
    MandateState::new(vm.to_owned(), ([127, 0, 0, 1], 9_001).into(), 7, Duration::ZERO)
}

/// The mandate of another VM, written in the first era and read in `era`.
fn other_mandate(era: StoreEra, number: u64, renewals: u64) -> Stored<MandateRecord> {
    let value = MandateRecord {
        vm: "vm-other".to_owned(),
        address: ([127, 0, 0, 1], 9_002).into(),
        incarnation: 3,
        renewals,
        taken: 1,
        vacant: false,
        era: FIRST,
    };
    Stored { revision: Revision::new(era, number), value }
}

/// A VM that took the mandate after another VM had given it back.
fn holder() -> MandateState {
    let mut mandate = started("vm-1");
    let mut before = other_mandate(FIRST, 50, 20);
    before.value.vacant = true;
    mandate.apply_read(Some(before), TAKEN);
    let write = mandate.due_write(TAKEN).unwrap();
    assert!(mandate.apply_write(&write, Some(Revision::new(FIRST, 51)), TAKEN, TAKEN));
    mandate
}

/// Guards against a holder losing the mandate because a restore of the store lost it.
#[test]
fn a_holder_with_authority_resumes_at_once() {
    let mut mandate = holder();
    let restored = TAKEN + MANDATE_TTL / 2;
    mandate.observe_era(SECOND, restored);
    assert!(mandate.due_write(restored).is_none(), "the object must be read in the new era first");
    assert!(!mandate.apply_read(Some(other_mandate(SECOND, 40, 15)), restored));
    let write = mandate.due_write(restored).unwrap();
    assert_eq!(write.expected, Some(Revision::new(SECOND, 40)));
    assert_eq!((write.record.era, write.record.taken), (SECOND, 21));
    assert!(write.record.renewals > 21, "every renewal must have a new number");
    mandate.apply_write(&write, Some(Revision::new(SECOND, 41)), restored, restored);
    assert_eq!(mandate.authority(restored), MandateAuthority::Full);
    assert_eq!(mandate.rival_until(), None);
}

/// Guards against a holder sending orders beside a successor that it has not seen.
#[test]
fn a_holder_in_its_grace_time_waits_and_sends_only_renewals_at_first() {
    let mut mandate = holder();
    let expired_for = Duration::from_millis(1_000);
    let restored = TAKEN + MANDATE_TTL + expired_for;
    assert!(!mandate.apply_read(Some(other_mandate(SECOND, 40, 15)), restored));
    assert!(
        mandate.due_write(restored + expired_for / 2).is_none(),
        "a holder whose authority expired later goes first"
    );
    let now = restored + expired_for;
    let write = mandate.due_write(now).unwrap();
    mandate.apply_write(&write, Some(Revision::new(SECOND, 41)), now, now);
    assert_eq!(mandate.authority(now), MandateAuthority::RenewalsOnly);
    let renewed = restored + MANDATE_TTL;
    let write = mandate.due_write(renewed).unwrap();
    mandate.apply_write(&write, Some(Revision::new(SECOND, 42)), renewed, renewed);
    let settled = restored + MANDATE_TTL + MANDATE_EXPIRY_MARGIN * 2;
    assert_eq!(mandate.authority(settled), MandateAuthority::Full);
    assert!(mandate.rival_until().unwrap() >= restored + MANDATE_TTL + RENEWAL_GRACE);
}

#[test]
fn a_holder_whose_grace_time_ended_loses_the_mandate() {
    let mut mandate = holder();
    let restored = TAKEN + MANDATE_TTL + RENEWAL_GRACE;
    assert!(mandate.apply_read(Some(other_mandate(SECOND, 40, 15)), restored));
    assert!(!mandate.is_held());
}

/// Guards against mistaking a restored mandate that was taken after this VM's for an earlier one.
#[test]
fn a_later_holder_in_the_restored_mandate_is_the_holder() {
    let mut mandate = holder();
    let mut later = other_mandate(SECOND, 60, 30);
    later.value.taken = 25;
    assert!(mandate.apply_read(Some(later), TAKEN + MANDATE_TTL / 2));
}

/// Guards against taking a restored mandate at once, because it is vacant or of an earlier process of
/// this VM, although another VM took it later.
#[test]
fn a_restored_vacant_or_own_mandate_is_not_free() {
    for (vm, vacant) in [("vm-other", true), ("vm-1", false)] {
        let mut read = other_mandate(SECOND, 40, 15);
        read.value.vm = vm.to_owned();
        read.value.vacant = vacant;
        let mut mandate = started("vm-1");
        mandate.observe_era(FIRST, TAKEN);
        mandate.apply_read(Some(read), TAKEN);
        let soon = TAKEN + MANDATE_TTL;
        assert!(mandate.due_write(soon).is_none(), "{vm} {vacant}");
        let write = mandate.due_write(soon + MANDATE_EXPIRY_MARGIN).unwrap();
        mandate.apply_write(&write, Some(Revision::new(SECOND, 41)), soon, soon);
        assert!(mandate.predecessors().late_orders_unknown);
    }
}

/// Guards against a VM without knowledge of the lost time taking the mandate before one that has it.
#[test]
fn a_vm_that_first_saw_the_store_after_the_restore_waits_longer() {
    let takes_after = |first_era: StoreEra| {
        let mut mandate = started("vm-1");
        mandate.observe_era(first_era, Timestamp(1));
        mandate.apply_read(Some(other_mandate(SECOND, 40, 15)), TAKEN);
        (0..)
            .map(|step| TAKEN + Duration::from_millis(100) * step)
            .find(|now| mandate.due_write(*now).is_some() || now.since(TAKEN) > MAX_TAKEOVER_WAIT)
    };
    assert!(takes_after(SECOND).unwrap() > takes_after(FIRST).unwrap() + MANDATE_TTL / 2);
}

/// Guards against creating a mandate that a restore lost while its holder still has authority.
#[test]
fn a_mandate_that_is_absent_in_a_later_era_is_created_after_a_wait() {
    let mut mandate = started("vm-1");
    mandate.observe_era(SECOND, TAKEN);
    mandate.apply_read(None, TAKEN);
    assert!(mandate.due_write(TAKEN + MANDATE_TTL).is_none());
    let now = TAKEN + MANDATE_TTL + MANDATE_EXPIRY_MARGIN;
    let write = mandate.due_write(now).unwrap();
    assert_eq!(write.expected, None);
    mandate.apply_write(&write, Some(Revision::new(SECOND, 1)), now, now);
    assert!(mandate.predecessors().late_orders_unknown);
    let mut first = started("vm-1");
    first.observe_era(FIRST, TAKEN);
    first.apply_read(None, TAKEN);
    assert!(first.due_write(TAKEN).is_some(), "a new store has no mandate");
}
