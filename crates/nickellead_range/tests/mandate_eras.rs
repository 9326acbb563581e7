//! Who may go on with the mandate, or take it, when the store comes back from an older copy.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_range::{
    MANDATE_EXPIRY_MARGIN, MANDATE_TTL, MandateAuthority, MandateRecord, MandateState,
    RENEWAL_GRACE, Revision, StoreEra, Stored,
};

const FIRST: StoreEra = StoreEra(1);
const SECOND: StoreEra = StoreEra(2);
/// When the mandate was taken.
const TAKEN: Timestamp = Timestamp(10_000);
/// Longer than any VM waits for a mandate.
const LONG: Duration = Duration::from_millis(20_000);

fn started(vm: &str) -> MandateState {
    MandateState::new(vm.to_owned(), ([127, 0, 0, 1], 9_001).into(), 7, Duration::ZERO)
}

/// The mandate of another VM, written in the first era and found in this one.
fn of_other(found: StoreEra, number: u64, renewals: u64) -> Stored<MandateRecord> {
    let value = MandateRecord {
        vm: "vm-other".to_owned(),
        address: ([127, 0, 0, 1], 9_002).into(),
        incarnation: 3,
        renewals,
        taken: 1,
        vacant: false,
        era: FIRST,
    };
    Stored { revision: Revision::new(found, number), value }
}

/// A VM that took the mandate from another one, which had given it back.
fn holder() -> MandateState {
    let mut mandate = started("vm-1");
    let mut before = of_other(FIRST, 50, 20);
    before.value.vacant = true;
    mandate.apply_read(Some(before), TAKEN);
    let write = mandate.due_write(TAKEN).unwrap();
    assert!(mandate.apply_write(&write, Some(Revision::new(FIRST, 51)), TAKEN, TAKEN));
    mandate
}

/// Guards against: the holder loses the mandate because the store has forgotten it.
#[test]
fn a_holder_whose_power_lasts_goes_on_at_once() {
    let mut mandate = holder();
    let back = TAKEN + MANDATE_TTL / 2;
    mandate.observe_era(SECOND, back);
    assert!(mandate.due_write(back).is_none(), "what it would write over is of an earlier era");
    assert!(!mandate.apply_read(Some(of_other(SECOND, 40, 15)), back));
    let write = mandate.due_write(back).unwrap();
    assert_eq!(write.expected, Some(Revision::new(SECOND, 40)));
    assert_eq!((write.record.era, write.record.taken), (SECOND, 21));
    assert!(write.record.renewals > 21, "no renewal is counted twice");
    mandate.apply_write(&write, Some(Revision::new(SECOND, 41)), back, back);
    assert_eq!(mandate.authority(back), MandateAuthority::Full);
    assert_eq!(mandate.rival_until(), None);
}

/// Guards against: a holder that was followed unseen goes on beside its successor.
#[test]
fn a_holder_whose_power_is_over_waits_and_only_renews_at_first() {
    let mut mandate = holder();
    let over = Duration::from_millis(1_000);
    let back = TAKEN + MANDATE_TTL + over;
    assert!(!mandate.apply_read(Some(of_other(SECOND, 40, 15)), back));
    assert!(mandate.due_write(back + over / 2).is_none(), "one with more power left goes first");
    let now = back + over;
    let write = mandate.due_write(now).unwrap();
    mandate.apply_write(&write, Some(Revision::new(SECOND, 41)), now, now);
    assert_eq!(mandate.authority(now), MandateAuthority::RenewalsOnly);
    let renewed = back + MANDATE_TTL;
    let write = mandate.due_write(renewed).unwrap();
    mandate.apply_write(&write, Some(Revision::new(SECOND, 42)), renewed, renewed);
    let settled = back + MANDATE_TTL + MANDATE_EXPIRY_MARGIN * 2;
    assert_eq!(mandate.authority(settled), MandateAuthority::Full);
    assert!(mandate.rival_until().unwrap() >= back + MANDATE_TTL + RENEWAL_GRACE);
}

#[test]
fn a_holder_whose_grace_is_over_is_none_any_more() {
    let mut mandate = holder();
    let back = TAKEN + MANDATE_TTL + RENEWAL_GRACE;
    assert!(mandate.apply_read(Some(of_other(SECOND, 40, 15)), back));
    assert!(!mandate.is_held());
}

/// Guards against: a mandate that was taken after this VM's is taken for a former one.
#[test]
fn a_later_holder_that_the_copy_names_is_the_holder() {
    let mut mandate = holder();
    let mut later = of_other(SECOND, 60, 30);
    later.value.taken = 25;
    assert!(mandate.apply_read(Some(later), TAKEN + MANDATE_TTL / 2));
}

/// Guards against: a copy says that the mandate was given back, or that a former life of this VM has it,
/// and another VM holds it since.
#[test]
fn what_a_copy_says_frees_no_mandate() {
    for (vm, vacant) in [("vm-other", true), ("vm-1", false)] {
        let mut found = of_other(SECOND, 40, 15);
        found.value.vm = vm.to_owned();
        found.value.vacant = vacant;
        let mut mandate = started("vm-1");
        mandate.observe_era(FIRST, TAKEN);
        mandate.apply_read(Some(found), TAKEN);
        let soon = TAKEN + MANDATE_TTL;
        assert!(mandate.due_write(soon).is_none(), "{vm} {vacant}");
        let write = mandate.due_write(soon + MANDATE_EXPIRY_MARGIN).unwrap();
        mandate.apply_write(&write, Some(Revision::new(SECOND, 41)), soon, soon);
        assert!(mandate.predecessors().late_orders_unknown);
    }
}

/// Guards against: a VM that knows nothing of the lost time takes the mandate before one that does.
#[test]
fn a_newcomer_waits_for_those_who_know_more() {
    let takes_after = |first_era: StoreEra| {
        let mut mandate = started("vm-1");
        mandate.observe_era(first_era, Timestamp(1));
        mandate.apply_read(Some(of_other(SECOND, 40, 15)), TAKEN);
        (0..)
            .map(|step| TAKEN + Duration::from_millis(100) * step)
            .find(|now| mandate.due_write(*now).is_some() || now.since(TAKEN) > LONG)
    };
    assert!(takes_after(SECOND).unwrap() > takes_after(FIRST).unwrap() + MANDATE_TTL / 2);
}

/// Guards against: a mandate that a copy has lost is made anew at once beside its holder.
#[test]
fn a_mandate_that_is_absent_in_a_later_era_is_waited_for() {
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
    assert!(first.due_write(TAKEN).is_some(), "a new store has none");
}
