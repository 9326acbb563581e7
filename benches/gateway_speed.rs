//! Compares the gateway's request path with a bare pass-through proxy.
//!
//! `cargo bench --bench gateway_speed` prints the throughput of each path at full load, and the median
//! and 99th percentile latency at half the rate of the slowest path; it rewrites
//! `bench/results/gateway_speed.json`. The gateway uses an in-memory store, with few and with many
//! routes; requests go to a plain service and to a sharded one whose keys have a settled owner. All
//! paths get the same headers and reach the same target stand-in. Each path serves on one thread; the
//! gateway's control loop has another. Both use the same HTTP server library; the bare proxy uses the
//! client of `awc`, the gateway that of `hyper`.
#![allow(clippy::unwrap_used, clippy::print_stdout, missing_docs)]

#[path = "../crates/nickellead_gateway/tests/common/mod.rs"]
mod common;
mod load;
#[path = "../crates/nickellead_gateway/tests/common/many_routes.rs"]
mod many_routes;

use std::net::SocketAddr;

use common::store::MemoryStore;
use common::{NAMES, TestGateway, declarations, entry, wait_until};
use load::{LoadPath, LoadRound, bare_proxy, half_of_slowest, measure, start, target_standin};
use nickellead_gateway::{Declarations, SlotCount};
use nickellead_range::RangeMap;
use serde::Serialize;

/// File with the results, relative to the workspace root.
const RESULTS: &str = "bench/results/gateway_speed.json";
/// Numbers of routes of a small and a large deployment.
const ROUTE_COUNTS: [usize; 2] = [5, 4_300];
/// Slots of the target stand-in: more than the senders' connections, so that no request is queued.
const TARGET_SLOTS: u64 = 64;
/// One of this many unused routes has the host of the requests.
const UNUSED_ROUTES_PER_SHARED_HOST: usize = 2;
/// Host header of the requests.
const HOST: &str = "board.example";
/// Step between consecutive keys, which spreads the keys over the whole key space.
const KEY_STEP: u32 = 16;

/// Results of one path at one load.
#[derive(Serialize)]
struct SpeedResult {
    path: &'static str,
    load: &'static str,
    #[serde(rename = "requests_a_second")]
    requests_per_second: f64,
    to_bare_rate: f64,
    p50_us: u64,
    p99_us: u64,
    minus_bare_p50_us: i64,
    minus_bare_p99_us: i64,
}

impl SpeedResult {
    fn new(path: &'static str, load: &'static str, round: LoadRound, bare: LoadRound) -> Self {
        Self {
            path,
            load,
            requests_per_second: round.rate,
            to_bare_rate: round.rate / bare.rate,
            p50_us: round.p50,
            p99_us: round.p99,
            minus_bare_p50_us: round.p50 as i64 - bare.p50 as i64,
            minus_bare_p99_us: round.p99 as i64 - bare.p99 as i64,
        }
    }
}

fn main() {
    let response_headers = &[(NAMES.target_proof, "p")];
    let target = start(move || target_standin(NAMES.request_id, response_headers));
    let bare = start(move || bare_proxy(target));
    let [few, many] = ROUTE_COUNTS.map(|routes| start_ready(routes, target));
    let paths = [
        path("bare", bare, "/read/clinic-"),
        path("plain-5", few.callers, "/read/clinic-"),
        path("plain-4300", many.callers, "/read/clinic-"),
        path("keyed-5", few.callers, "/key/clinic-"),
        path("keyed-4300", many.callers, "/key/clinic-"),
    ];
    let full = measure(&paths, None);
    let paced = measure(&paths, Some(half_of_slowest(&full)));
    let mut results = Vec::new();
    for (load, rounds) in [("full", &full), ("half", &paced)] {
        for (path, round) in paths.iter().zip(rounds) {
            round.print(path.name, load);
            results.push(SpeedResult::new(path.name, load, *round, rounds[0]));
        }
    }
    print_against_bare(&results);
    println!(
        "plain_4300_to_5_rate={:.3} keyed_4300_to_5_rate={:.3}",
        full[2].rate / full[1].rate,
        full[4].rate / full[3].rate
    );
    let text = serde_json::to_string_pretty(&results).unwrap();
    std::fs::write(RESULTS, text + "\n").unwrap();
}

/// Prints the rates at full load and the latencies at half load relative to the bare proxy.
fn print_against_bare(results: &[SpeedResult]) {
    for result in results.iter().filter(|result| result.path != "bare") {
        match result.load {
            "full" => println!("{}_to_bare_rate={:.3}", result.path, result.to_bare_rate),
            _ => println!(
                "{}_minus_bare_p50_us={} {}_minus_bare_p99_us={}",
                result.path, result.minus_bare_p50_us, result.path, result.minus_bare_p99_us
            ),
        }
    }
}

fn path(name: &'static str, address: SocketAddr, prefix: &'static str) -> LoadPath {
    LoadPath { name, address, prefix, headers: caller_headers }
}

/// Returns the headers of a request; the key is sent for plain and sharded services alike.
fn caller_headers(key: u32) -> Vec<(&'static str, String)> {
    vec![
        ("host", HOST.to_owned()),
        (NAMES.request_id, format!("request-{key}")),
        (NAMES.deadline_ms, "2000".to_owned()),
        (NAMES.shard_key, (key * KEY_STEP).to_string()),
    ]
}

/// Starts a gateway and waits until every key has an owner and requests are answered.
fn start_ready(routes: usize, target: SocketAddr) -> TestGateway {
    let store = MemoryStore::default();
    for (id, service) in [("plain-0", "plain"), ("keyed-0", "keyed")] {
        let mut target_entry = entry(id, service, target);
        target_entry.slots = SlotCount::new(TARGET_SLOTS).unwrap();
        store.list(target_entry);
    }
    let declared = declare(routes);
    assert_eq!(declared.routes.len(), routes);
    store.declare(declared);
    let gateway = TestGateway::start(&format!("vm-{routes}"), &store);
    gateway.wait_ready();
    wait_until("all keys have an owner", || store.range_map().as_ref().is_some_and(is_settled));
    for path in ["/read/", "/key/"] {
        wait_until("requests are answered", || {
            gateway.send("GET", path, "x-key: 1\r\n").starts_with("HTTP/1.1 200")
        });
    }
    gateway
}

fn is_settled(map: &RangeMap) -> bool {
    map.services.get("keyed").is_some_and(|ranges| ranges.iter().all(|range| range.settled))
}

/// Declares the requested routes, and unused ones up to `count`.
fn declare(count: usize) -> Declarations {
    let mut declared = declarations(1);
    let unused_routes = many_routes::random_declarations(1, count - declared.routes.len()).routes;
    for (index, mut unused_route) in unused_routes.into_iter().enumerate() {
        if index % UNUSED_ROUTES_PER_SHARED_HOST == 0 {
            unused_route.host = HOST.to_owned();
        }
        declared.routes.push(unused_route);
    }
    declared
}
