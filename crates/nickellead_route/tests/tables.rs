//! Guards against an older version that replaces a newer one, and against retries beyond their budget.
#![allow(clippy::unwrap_used)]

use nickellead_core::{Epoch, ServiceKey, ShardIndex, TargetKey, Term, Version, ZoneKey};
use nickellead_lease::{RouteChange, ShardOwner, ZoneDelta};
use nickellead_route::{DeltaOutcome, RetryBudget, ZoneTable};

const ZONE: ZoneKey = ZoneKey(1);

fn change(shard: u32, epoch: u64) -> RouteChange {
    RouteChange {
        service: ServiceKey(2),
        shard: ShardIndex(shard),
        owner: ShardOwner::Target { target: TargetKey(3), epoch: Epoch(epoch) },
    }
}

fn delta(term: u64, base: Option<u64>, changes: Vec<RouteChange>) -> ZoneDelta {
    let version = base.map_or(10, |base| base + changes.len() as u64);
    ZoneDelta {
        zone: ZONE,
        term: Term(term),
        base: base.map(Version),
        version: Version(version),
        changes,
    }
}

#[test]
fn deltas_apply_in_order_while_gaps_and_stale_deltas_are_rejected() {
    let mut table = ZoneTable::new(ZONE);
    let full = delta(2, None, vec![change(0, 1), change(1, 1)]);
    assert_eq!(table.apply(&full), DeltaOutcome::Applied);
    assert_eq!(table.apply(&full), DeltaOutcome::Stale);
    assert_eq!(table.apply(&delta(2, Some(12), vec![change(0, 3)])), DeltaOutcome::Gap);
    assert_eq!(table.apply(&delta(2, Some(10), vec![change(0, 2)])), DeltaOutcome::Applied);
    assert_eq!(table.apply(&delta(1, Some(50), vec![change(0, 9)])), DeltaOutcome::Stale);
    assert_eq!(table.known(), Some((Term(2), Version(11))));
}

#[test]
fn a_subscriber_gets_the_missing_changes_or_the_full_table() {
    let mut table = ZoneTable::new(ZONE);
    table.apply(&delta(2, None, vec![change(0, 1), change(1, 1)]));
    table.apply(&delta(2, Some(10), vec![change(0, 2)]));
    let missing = table.delta_since(Some((Term(2), Version(10)))).unwrap();
    assert_eq!((missing.base, missing.changes), (Some(Version(10)), vec![change(0, 2)]));
    let full = table.delta_since(Some((Term(1), Version(900)))).unwrap();
    assert_eq!((full.base, full.changes), (None, vec![change(0, 2), change(1, 1)]));
    assert_eq!(table.delta_since(table.known()), None);
}

#[test]
fn retries_add_at_most_a_tenth() {
    let mut budget = RetryBudget::new(0);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_request();
        retries += u32::from(budget.try_take());
    }
    assert_eq!(retries, 0, "an empty bucket allows no retry");
    let mut budget = RetryBudget::new(10);
    for _ in 0..1_000 {
        budget.record_request();
        retries += u32::from(budget.try_take());
    }
    assert!(retries <= 110, "{retries} retries for 1,000 requests");
}
