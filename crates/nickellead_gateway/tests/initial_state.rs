//! Size of the state that an upstream sends to a starting VM.
//!
//! Guards against an initial state so large that upstreams with slow links delay the start of a
//! fleet.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod common;

use std::net::SocketAddr;

use common::store::MemoryStore;
use common::{TestGateway, declarations, entry, wait_until};
use nickellead_gateway::TargetEntry;

const TARGETS: u16 = 1_000;
/// Maximum size of the initial state per target, with all other content included.
const MAX_BYTES_PER_TARGET: u64 = 24;

/// An entry whose id cannot be derived from other entries.
fn random_entry(index: u16, rng: &mut fastrand::Rng) -> TargetEntry {
    let address = SocketAddr::from(([127, 1, (index >> 8) as u8, index as u8], 8_042));
    let service = if index.is_multiple_of(3) { "keyed" } else { "plain" };
    entry(&format!("i-{:010x}", rng.u64(..1 << 40)), service, address)
}

#[test]
fn the_initial_state_of_a_starting_vm_is_compact() {
    let store = MemoryStore::default();
    let mut rng = fastrand::Rng::with_seed(1);
    (0..TARGETS).for_each(|index| store.list(random_entry(index, &mut rng)));
    store.declare(declarations(1));
    let (holder, link) = TestGateway::start_linked("vm-0", &store, 1e9);
    holder.wait_ready();
    wait_until("all keys are in the map of ranges", || store.range_map().is_some());
    let before = link.bytes();
    let subscriber = TestGateway::start_as("vm-1", &store, |settings| settings.cpu_share = 0.1);
    subscriber.wait_ready();
    let sent = link.bytes() - before;
    println!("{sent} bytes for {TARGETS} targets");
    assert!(
        sent <= MAX_BYTES_PER_TARGET * u64::from(TARGETS),
        "{sent} bytes for {TARGETS} targets"
    );
}
