//! The gateway's request path against a bare pass-through proxy.
//!
//! `cargo bench --bench gateway_speed` prints requests a second of each, and the median and 99th
//! percentile of each at half of the slowest one's load; it rewrites
//! `bench/results/gateway_speed.json`. The gateway runs over a store in memory, with few and with many
//! routes; requests go to a plain service and to one whose keys have a settled owner. All paths get
//! the same headers and reach the same target stand-in. Each path answers on one thread; the gateway's
//! control duty has another. Both listen with the same library; the bare proxy asks the target with
//! `awc`, the gateway with `hyper`.
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
use nickellead_gateway::Declarations;
use nickellead_range::RangeMap;
use serde::Serialize;

/// Where the figures are kept.
const RESULTS: &str = "bench/results/gateway_speed.json";
/// Routes of a small and of a large installation.
const ROUTES: [usize; 2] = [5, 4_300];
/// Slots of the target stand-in: more than senders have connections, so that none waits for a turn.
const SLOTS: u32 = 64;
/// Every how many of the routes that are never asked for has the host that requests name.
const SHARED_HOST: usize = 2;
/// Host that requests name.
const HOST: &str = "board.example";
/// Keys between two that are asked for one after the other: they spread over the whole key space.
const KEY_STEP: u32 = 16;

/// What was measured of one path.
#[derive(Serialize)]
struct SpeedFigure {
    path: &'static str,
    load: &'static str,
    requests_a_second: f64,
    to_bare_rate: f64,
    p50_us: u64,
    p99_us: u64,
    minus_bare_p50_us: i64,
    minus_bare_p99_us: i64,
}

impl SpeedFigure {
    fn new(path: &'static str, load: &'static str, round: LoadRound, bare: LoadRound) -> Self {
        Self {
            path,
            load,
            requests_a_second: round.rate,
            to_bare_rate: round.rate / bare.rate,
            p50_us: round.p50,
            p99_us: round.p99,
            minus_bare_p50_us: round.p50 as i64 - bare.p50 as i64,
            minus_bare_p99_us: round.p99 as i64 - bare.p99 as i64,
        }
    }
}

fn main() {
    let marks = &[(NAMES.target_proof, "p")];
    let target = start(move || target_standin(NAMES.request_id, marks));
    let bare = start(move || bare_proxy(target));
    let [few, many] = ROUTES.map(|routes| start_ready(routes, target));
    let paths = [
        path("bare", bare, "/read/clinic-"),
        path("plain-5", few.callers, "/read/clinic-"),
        path("plain-4300", many.callers, "/read/clinic-"),
        path("keyed-5", few.callers, "/key/clinic-"),
        path("keyed-4300", many.callers, "/key/clinic-"),
    ];
    let full = measure(&paths, None);
    let paced = measure(&paths, Some(half_of_slowest(&full)));
    let mut figures = Vec::new();
    for (load, rounds) in [("full", &full), ("half", &paced)] {
        for (path, round) in paths.iter().zip(rounds) {
            round.print(path.name, load);
            figures.push(SpeedFigure::new(path.name, load, *round, rounds[0]));
        }
    }
    print_against_bare(&figures);
    println!(
        "plain_4300_to_5_rate={:.3} keyed_4300_to_5_rate={:.3}",
        full[2].rate / full[1].rate,
        full[4].rate / full[3].rate
    );
    let text = serde_json::to_string_pretty(&figures).unwrap();
    std::fs::write(RESULTS, text + "\n").unwrap();
}

/// Prints rates at full load and times at half load beside those of the bare proxy.
fn print_against_bare(figures: &[SpeedFigure]) {
    for figure in figures.iter().filter(|figure| figure.path != "bare") {
        match figure.load {
            "full" => println!("{}_to_bare_rate={:.3}", figure.path, figure.to_bare_rate),
            _ => println!(
                "{}_minus_bare_p50_us={} {}_minus_bare_p99_us={}",
                figure.path, figure.minus_bare_p50_us, figure.path, figure.minus_bare_p99_us
            ),
        }
    }
}

fn path(name: &'static str, address: SocketAddr, prefix: &'static str) -> LoadPath {
    LoadPath { name, address, prefix, headers: caller_headers }
}

/// What every caller of the gateway sends, with a key whether its service is divided or not.
fn caller_headers(key: u32) -> Vec<(&'static str, String)> {
    vec![
        ("host", HOST.to_owned()),
        (NAMES.request_id, format!("request-{key}")),
        (NAMES.deadline_ms, "2000".to_owned()),
        (NAMES.shard_key, (key * KEY_STEP).to_string()),
    ]
}

/// A gateway that knows its routes, its targets and the owner of every key.
fn start_ready(routes: usize, target: SocketAddr) -> TestGateway {
    let store = MemoryStore::default();
    for (id, service) in [("plain-0", "plain"), ("keyed-0", "keyed")] {
        let mut listed = entry(id, service, target);
        listed.slots = SLOTS;
        store.list(listed);
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

/// The routes that are asked for, and others up to a count: on their own hosts, and on the same one.
fn declare(count: usize) -> Declarations {
    let mut declared = declarations(1);
    let others = many_routes::random_declarations(1, count - declared.routes.len()).routes;
    for (place, mut other) in others.into_iter().enumerate() {
        if place % SHARED_HOST == 0 {
            other.host = HOST.to_owned();
        }
        declared.routes.push(other);
    }
    declared
}
