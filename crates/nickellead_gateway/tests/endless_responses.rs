//! Targets that send bytes without end, in each part of a response.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod common;

use std::time::{Duration, Instant};

use common::endless_target::{EndlessPart, EndlessResponse, EndlessTarget};
use common::store::MemoryStore;
use common::target::{Behavior, TestTarget};
use common::{
    TestGateway, declarations, declarations_with_large_responses, entry, gateway_with_targets,
    wait_until,
};

/// Most bytes of a response without a declared length that a VM reads.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Most bytes of heads that a VM reads before a response.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Bytes that the system may take on both sides of a connection although the gateway does not read them.
const SYSTEM_BUFFER_BYTES: usize = 4 * 1024 * 1024;
/// A caller's deadline is one second; what can't be served is answered well before.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(500);

/// What a caller and its target saw of one request.
struct EndlessExchange {
    response: String,
    duration: Duration,
    sent: EndlessResponse,
}

/// A gateway in front of one target, which serves.
fn gateway_with_target(name: &str, target: &EndlessTarget) -> (TestGateway, MemoryStore) {
    let store = MemoryStore::default();
    store.list(entry(&target.id, "plain", target.address));
    store.declare(declarations_with_large_responses(1));
    let gateway = TestGateway::start(name, &store);
    gateway.wait_ready();
    wait_until("the target serves", || gateway.send("GET", "/read/", "").contains(" 200 "));
    (gateway, store)
}

/// Sends one request that may run once to a target that responds without end.
fn exchange_endless(name: &str, part: EndlessPart) -> EndlessExchange {
    let target = EndlessTarget::start("t1");
    let (gateway, _store) = gateway_with_target(name, &target);
    target.set_part(Some(part));
    let since = Instant::now();
    let response = gateway.send("POST", "/write/", "");
    let duration = since.elapsed();
    wait_until("the connection is closed", || !target.responses().is_empty());
    let sent = target.responses()[0];
    println!("{part:?}: {sent:?}, caller {duration:?} {:?}", response.lines().next());
    EndlessExchange { response, duration, sent }
}

/// Checks that a request got 502, unknown, before its deadline, and that its connection was closed after
/// `max_bytes`.
fn check_lost(name: &str, part: EndlessPart, max_bytes: usize) {
    let EndlessExchange { response, duration, sent } = exchange_endless(name, part);
    assert!(response.starts_with("HTTP/1.1 502"), "{part:?}: {response}");
    assert!(duration < MAX_RESPONSE_TIME, "{part:?}: responded after {duration:?}");
    assert!(sent.duration < MAX_RESPONSE_TIME, "{part:?}: closed after {:?}", sent.duration);
    let max_bytes = max_bytes + SYSTEM_BUFFER_BYTES;
    assert!(sent.bytes < max_bytes, "{part:?}: {} bytes", sent.bytes);
}

/// Guards against reading a head without end up to a limit that nobody set.
#[test]
fn a_head_without_end_is_cut() {
    check_lost("vm-endless-head", EndlessPart::Head, MAX_HEAD_BYTES);
}

/// Guards against reading informational heads without end until the deadline, with all of a VM's
/// processor time.
#[test]
fn informational_heads_without_end_are_cut() {
    check_lost("vm-endless-info", EndlessPart::InformationalHeads, MAX_HEAD_BYTES);
}

/// Guards against buffering 16 MB of a body without a length for a route whose responses are small.
#[test]
fn a_body_without_end_is_cut() {
    check_lost("vm-endless-body", EndlessPart::Body, MAX_BODY_BYTES);
}

/// Guards against the same in chunks.
#[test]
fn chunks_without_end_are_cut() {
    check_lost("vm-endless-chunks", EndlessPart::Chunks, MAX_BODY_BYTES);
}

/// Guards against chunks of one byte that each take more memory than is counted as held, and time until
/// the deadline.
#[test]
fn small_chunks_without_end_are_cut() {
    check_lost("vm-endless-small", EndlessPart::SmallChunks, MAX_BODY_BYTES);
}

/// Guards against bytes that are no body, which count for no bound of bodies.
#[test]
fn chunk_extensions_and_trailers_without_end_are_cut() {
    check_lost("vm-endless-extension", EndlessPart::ChunkExtension, MAX_HEAD_BYTES);
    check_lost("vm-endless-trailers", EndlessPart::Trailers, MAX_HEAD_BYTES);
}

/// Guards against holding a caller until its deadline although the head of the response has refused its
/// request.
#[test]
fn a_refusal_whose_body_has_no_end_is_a_refusal_at_once() {
    for (name, part) in [
        ("vm-endless-refusal", EndlessPart::RefusalBody),
        ("vm-trickling-refusal", EndlessPart::TricklingRefusalBody),
    ] {
        let EndlessExchange { response, duration, sent } = exchange_endless(name, part);
        assert!(response.starts_with("HTTP/1.1 503"), "{part:?}: {response}");
        assert!(duration < MAX_RESPONSE_TIME, "{part:?}: responded after {duration:?}");
        assert!(sent.duration < MAX_RESPONSE_TIME, "{part:?}: closed after {:?}", sent.duration);
        let max_bytes = MAX_HEAD_BYTES + SYSTEM_BUFFER_BYTES;
        assert!(sent.bytes < max_bytes, "{part:?}: {} bytes", sent.bytes);
    }
}

/// Guards against reading what comes after a complete response, or losing the response because of it.
#[test]
fn bytes_after_a_response_close_its_connection() {
    let EndlessExchange { response, sent, .. } =
        exchange_endless("vm-endless-surplus", EndlessPart::AfterResponse);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(sent.duration < MAX_RESPONSE_TIME, "closed after {:?}", sent.duration);
    assert!(sent.bytes < MAX_HEAD_BYTES + SYSTEM_BUFFER_BYTES, "{} bytes", sent.bytes);
}

/// Guards against holding a caller beyond its deadline, and a target's connection after it.
#[test]
fn a_trickling_head_ends_at_the_deadline() {
    let EndlessExchange { response, duration, sent } =
        exchange_endless("vm-trickling-head", EndlessPart::TricklingHead);
    assert!(response.starts_with("HTTP/1.1 504"), "{response}");
    assert!(duration < Duration::from_millis(1_500), "responded after {duration:?}");
    assert!(sent.duration < Duration::from_millis(1_500), "closed after {:?}", sent.duration);
}

/// Guards against passing on a switch of protocols, with the request's id, as the final response.
#[test]
fn a_switch_of_protocols_is_no_response() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (gateway, _store) = gateway_with_targets("vm-switch", &[&target]);
    target.set_behavior(Behavior::Respond("101 Switching Protocols"));
    let response = gateway.send("POST", "/write/", "");
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
}

/// Guards against losing large responses together with those without end.
#[test]
fn large_responses_are_served_on_routes_that_have_them_or_with_a_declared_length() {
    let target = TestTarget::start("t1", Behavior::RespondWithBody(3 * MAX_BODY_BYTES));
    let store = MemoryStore::default();
    store.list(entry(&target.id, "plain", target.address));
    store.declare(declarations_with_large_responses(1));
    let gateway = TestGateway::start("vm-honest-large", &store);
    gateway.wait_ready();
    for path in ["/read/", "/files/"] {
        let mut response = String::new();
        wait_until("the target serves", || {
            response = gateway.send("GET", path, "");
            !response.contains("no-target")
        });
        assert!(
            response.starts_with("HTTP/1.1 200"),
            "{path}: {}",
            response.lines().next().unwrap()
        );
        assert!(response.len() > 3 * MAX_BODY_BYTES, "{path}: {} bytes", response.len());
    }
}

/// Memory of a VM; a third of it is for requests and responses.
const MEMORY_MB: u64 = 45;
/// A third of the memory.
const HELD_BYTES: f64 = 15_000_000.0;
const ENDLESS_TARGETS: usize = 4;
const CALLER_THREADS: usize = 8;
const CALLING_TIME: Duration = Duration::from_secs(3);

/// What the callers of a VM saw.
#[derive(Debug, Default)]
struct CallerCounts {
    served: usize,
    lost: usize,
    without_memory: usize,
    other: usize,
}

/// Calls a safe route from several threads; returns what the callers saw.
fn call_for_a_while(gateway: &TestGateway) -> CallerCounts {
    let callers = gateway.callers;
    let ends: Vec<String> = std::thread::scope(|scope| {
        let calling = |_| {
            scope.spawn(move || {
                let client =
                    TestGateway { handle: None, callers, readiness: callers, metrics: callers };
                let since = Instant::now();
                let mut ends = Vec::new();
                while since.elapsed() < CALLING_TIME {
                    ends.push(client.send("GET", "/read/", ""));
                }
                ends
            })
        };
        let threads: Vec<_> = (0..CALLER_THREADS).map(calling).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    });
    let mut counts = CallerCounts::default();
    for end in ends {
        match () {
            () if end.starts_with("HTTP/1.1 200") => counts.served += 1,
            () if end.contains("memory") || end.contains("unheld") => counts.without_memory += 1,
            () if end.starts_with("HTTP/1.1 502") => counts.lost += 1,
            () => counts.other += 1,
        }
    }
    counts
}

/// Guards against a few targets that fill the memory of a VM with bodies without end, so that requests to
/// the honest ones are refused, and that keep getting requests because nobody blames them.
#[test]
fn targets_without_end_do_not_harm_callers_of_others() {
    check_callers_of_others("vm-endless-beside", EndlessPart::Body);
}

/// Guards against room that is held for bytes which a head declares, and which never come.
#[test]
fn targets_that_declare_long_bodies_do_not_harm_callers_of_others() {
    check_callers_of_others("vm-declared-beside", EndlessPart::TricklingDeclaredBody);
}

fn check_callers_of_others(name: &str, part: EndlessPart) {
    let endless: Vec<_> = (0..ENDLESS_TARGETS)
        .map(|index| EndlessTarget::start(&format!("endless-{index}")))
        .collect();
    let honest: Vec<_> = (0..2)
        .map(|index| TestTarget::start(&format!("honest-{index}"), Behavior::Serve))
        .collect();
    let store = MemoryStore::default();
    endless.iter().for_each(|target| store.list(entry(&target.id, "plain", target.address)));
    honest.iter().for_each(|target| store.list(entry(&target.id, "plain", target.address)));
    store.declare(declarations(1));
    let gateway = TestGateway::start_as(name, &store, |settings| {
        settings.memory_mb = Some(MEMORY_MB);
    });
    gateway.wait_ready();
    wait_until("the targets serve", || gateway.send("GET", "/read/", "").contains(" 200 "));
    endless.iter().for_each(|target| target.set_part(Some(part)));
    let counts = call_for_a_while(&gateway);
    let requests: usize = endless.iter().map(|target| target.requests().len()).sum();
    let held = gateway.metric("nickellead_held_bytes");
    println!("{counts:?}, {requests} requests to endless targets, {held} held");
    assert_eq!(counts.without_memory, 0, "{counts:?}");
    assert!(counts.lost * 20 < counts.served, "{counts:?}");
    assert!(requests * 10 < counts.served, "{requests} requests, {counts:?}");
    wait_until("held bytes are given back", || {
        gateway.metric("nickellead_held_bytes") < HELD_BYTES / 100.0
    });
}
