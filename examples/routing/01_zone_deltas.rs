//! Applies deltas to a zone's table of owners, which rejects gaps and older versions.
//!
//! `cargo run --example 01_zone_deltas`
#![allow(clippy::print_stdout)]

use nickellead_core::prelude::*;
use nickellead_lease::{RouteChange, ShardOwner, ZoneDelta};
use nickellead_route::ZoneTable;

fn delta(term: u64, base: Option<u64>, version: u64, epoch: u64) -> ZoneDelta {
    let owner = ShardOwner::Target { target: TargetKey(7), epoch: Epoch(epoch) };
    let change = RouteChange { service: ServiceKey(1), shard: ShardIndex(0), owner };
    ZoneDelta {
        zone: ZoneKey(1),
        term: Term(term),
        base: base.map(Version),
        version: Version(version),
        changes: vec![change],
    }
}

fn main() {
    let mut table = ZoneTable::new(ZoneKey(1));
    println!("full table:           {:?}", table.apply(&delta(1, None, 4, 1)));
    println!("next change:          {:?}", table.apply(&delta(1, Some(4), 5, 2)));
    println!("change after a gap:   {:?}", table.apply(&delta(1, Some(9), 10, 3)));
    println!("new coordinator:      {:?}", table.apply(&delta(2, None, 1, 3)));
    println!("previous coordinator: {:?}", table.apply(&delta(1, Some(5), 6, 9)));
    println!("known: {:?}", table.known());
}
