//! Targets that send more responses on a connection than they received requests.
#![allow(clippy::unwrap_used)]

mod common;

use common::store::MemoryStore;
use common::target::{Behavior, TestTarget};
use common::{TestGateway, declarations, entry, gateway_with_targets, route, wait_until};
use nickellead_gateway::RepeatClass;

/// A gateway with one target, which owns all keys of an unsafe route `/order/`.
fn gateway_with_owner(name: &str, owner: &TestTarget) -> (TestGateway, MemoryStore) {
    let store = MemoryStore::default();
    store.list(entry(&owner.id, "keyed", owner.address));
    let mut declared = declarations(1);
    declared.routes.push(route("order", "keyed", RepeatClass::Unsafe).into());
    store.declare(declared);
    let gateway = TestGateway::start(name, &store);
    gateway.wait_ready();
    wait_until("the owner serves the key", || {
        gateway.send("POST", "/order/", "x-key: 7\r\n").contains(" 200 ")
    });
    owner.clear_requests();
    (gateway, store)
}

/// Guards against refusing a request as not run although it ran: the owner of its key refused the first
/// attempt, and a late copy of that refusal was taken for the response to the second attempt, which has
/// the same id.
#[test]
fn a_late_copy_of_a_refusal_is_not_taken_for_the_response_to_the_next_attempt() {
    let owner = TestTarget::start("t1", Behavior::Serve);
    let (gateway, _store) = gateway_with_owner("vm-same-id", &owner);
    owner.set_behavior(Behavior::RefuseFirstAttempt);
    let response = gateway.send("POST", "/order/", "x-key: 7\r\n");
    assert_eq!(owner.requests().len(), 2, "the owner gets the request again: {response}");
    assert!(response.starts_with("HTTP/1.1 200"), "the second attempt ran: {response}");
}

/// Guards against using a connection again, and believing its signals, after it has carried a success that
/// no target made.
#[test]
fn a_connection_that_carried_a_success_without_proof_is_not_used_again() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (gateway, _store) = gateway_with_targets("vm-no-proof", &[&target]);
    target.set_behavior(Behavior::RespondWithoutProof);
    let response = gateway.send("POST", "/write/", "");
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert_eq!(gateway.metric("nickellead_targets_leaving"), 0.0);
    target.set_behavior(Behavior::Serve);
    let response = gateway.send("POST", "/write/", "");
    assert!(response.contains(" 200 "), "{response}");
    let connections: Vec<usize> =
        target.arrivals().iter().rev().take(2).map(|arrival| arrival.connection).collect();
    assert_ne!(connections[0], connections[1]);
}
