//! Selection of dispatchers.

use std::collections::BTreeSet;

use super::*;

const ZONE: &str = "zone-a";
const SEEDS: std::ops::Range<u64> = 0..1_000;

/// This many VMs in each of two availability zones; every tenth has no address.
fn fleet(vms: u16) -> FleetTable {
    let member = |(number, zone): (u16, &str)| {
        let port = 10 * number + u16::from(zone == ZONE);
        let address = (number % 10 != 9).then(|| SocketAddr::from(([10, 0, 0, 1], port)));
        (VmId::new(&format!("{zone}-{number}"), zone), address)
    };
    let numbers = (0..vms).flat_map(|number| [(number, ZONE), (number, "zone-b")]);
    FleetTable { vms: numbers.map(member).collect(), ..FleetTable::default() }
}

#[test]
fn a_vm_that_joins_or_leaves_changes_few_dispatchers() {
    let (smaller, larger) = (fleet(20), fleet(21));
    let select = |fleet: &FleetTable, seed| fleet.dispatchers(ZONE, seed);
    let joined = larger
        .vms
        .values()
        .copied()
        .find(|address| address.is_some_and(|address| address.port() == 201));
    let changed: Vec<_> =
        SEEDS.filter(|seed| select(&smaller, *seed) != select(&larger, *seed)).collect();
    // One of 19 VMs with an address is new, and each seed selects two.
    assert!((60..160).contains(&changed.len()), "{} of 1000 seeds changed", changed.len());
    for seed in changed {
        let ([first, second], after) = (select(&smaller, seed), select(&larger, seed));
        let joined = joined.unwrap_or_default();
        assert!(after == [joined, first] || after == [first, joined], "{first:?} {second:?}");
    }
}

#[test]
fn all_vms_of_the_zone_with_an_address_are_selected() {
    let fleet = fleet(20);
    let selected = SEEDS.map(|seed| fleet.dispatchers(ZONE, seed));
    let firsts: BTreeSet<_> = selected.clone().map(|[first, _]| first).collect();
    let seconds: BTreeSet<_> = selected.clone().map(|[_, second]| second).collect();
    assert_eq!((firsts.len(), seconds.len()), (18, 18));
    assert!(firsts.iter().flatten().all(|address| address.port() % 10 == 1), "{firsts:?}");
    assert!(selected.into_iter().all(|[first, second]| first.is_some() && first != second));
}

#[test]
fn a_zone_with_few_vms_has_fewer_dispatchers() {
    assert_eq!(FleetTable::default().dispatchers(ZONE, 1), [None, None]);
    assert_eq!(fleet(3).dispatchers("zone-c", 1), [None, None]);
    let [first, second] = fleet(1).dispatchers(ZONE, 1);
    assert!(first.is_some() && second.is_none());
}
