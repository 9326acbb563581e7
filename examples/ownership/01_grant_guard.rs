//! Checks of a target's grant guard: the lease, which echoed nonces extend, grants and epochs.
//!
//! `cargo run --example 01_grant_guard`
#![allow(clippy::print_stdout)]

use nickellead_core::prelude::*;
use nickellead_lease::{GrantGuard, RunRefusal, ShardGrant, TargetOrder};

const TARGET: TargetKey = TargetKey(7);
const INCARNATION: Incarnation = Incarnation(1);

fn order(sequence: u64) -> TargetOrder {
    TargetOrder {
        target: TARGET,
        term: Term(1),
        incarnation: Some(INCARNATION),
        sequence: Sequence(sequence),
        echo: None,
        lease_ms: 2_400,
        standing: None,
        grants: Vec::new(),
        releases: Vec::new(),
    }
}

fn main() -> Result<(), RunRefusal> {
    let mut guard = GrantGuard::new(TARGET, INCARNATION);
    let grant = ShardGrant { shard: ShardIndex(3), epoch: Epoch(1) };

    // First contact: the reply carries a nonce, issued at 100 ms.
    let contact = TargetOrder { incarnation: None, ..order(1) };
    let nonce = guard.apply(&contact, Timestamp(100)).nonce;

    // The order echoes the nonce, and carries the list of standing grants and a new grant.
    let sync = TargetOrder {
        echo: Some(nonce),
        standing: Some(Vec::new()),
        grants: vec![grant],
        ..order(2)
    };
    guard.apply(&sync, Timestamp(150));
    println!("the session lasts until {:?}", guard.lease_until());

    // A request is checked on admission, and again before its side effect.
    let ticket = guard.admit(grant, Timestamp(200))?;
    guard.check_effect(&ticket, Timestamp(210))?;
    guard.finish(ticket);

    // After the end of the lease, the guard refuses every request.
    println!("at 2,500 ms: {:?}", guard.admit(grant, Timestamp(2_500)));
    Ok(())
}
