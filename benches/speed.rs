//! Compares a request worker with a bare pass-through proxy built on the same libraries.
//!
//! `cargo bench --bench speed` prints the throughput of both at full load, one core each, and
//! the median and 99th percentile latency of both at half the rate of the slower one.
#![allow(clippy::unwrap_used, clippy::print_stdout, missing_docs)]

mod load;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use actix_http::Request;
use load::{LoadPath, ResponseFuture, bare_proxy, half_of_slowest, measure, start, target_standin};
use nickellead_api::{DeclaredConfig, DeclaredService, DeclaredTarget};
use nickellead_core::{Epoch, Name, ServiceKey, ShardIndex, TargetKey, Version};
use nickellead_lease::{RouteChange, ShardOwner};
use nickellead_proxy::{ProxyLimits, ProxyMetrics, ProxyWorker, REQUEST_ID_HEADER, WorkerUpdate};

/// Number of shards of the service.
const SHARD_COUNT: u32 = 131_072;

fn main() {
    let target = start(|| target_standin(REQUEST_ID_HEADER, &[]));
    let bare = start(move || bare_proxy(target));
    let router = start(move || router(target));
    let path = |name, address| LoadPath {
        name,
        address,
        prefix: "/boards/look/clinic-",
        headers: |_| Vec::new(),
    };
    let paths = [path("bare", bare), path("router", router)];
    let full = measure(&paths, None);
    let paced = measure(&paths, Some(half_of_slowest(&full)));
    for (load, rounds) in [("full", &full), ("half", &paced)] {
        paths.iter().zip(rounds).for_each(|(path, round)| round.print(path.name, load));
    }
    println!(
        "router_to_bare_rate={:.3} router_minus_bare_p99_us={}",
        full[1].rate / full[0].rate,
        paced[1].p99 as i64 - paced[0].p99 as i64
    );
}

/// Returns the handler of a request worker whose shards are all owned by one target.
fn router(target: SocketAddr) -> impl Fn(Request) -> ResponseFuture + Clone + 'static {
    let limits =
        ProxyLimits { workers_per_target: 1, queue_per_target: 1_000, ..ProxyLimits::default() };
    let worker = ProxyWorker::new(limits, 1, ProxyMetrics::default());
    worker.update(&WorkerUpdate::Config(Arc::new(declare(target))));
    let service = ServiceKey::from(&name("boards"));
    let owner = ShardOwner::Target { target: TargetKey::from(&name("board-0")), epoch: Epoch(1) };
    let change = |shard| RouteChange { service, shard: ShardIndex(shard), owner };
    worker.update(&WorkerUpdate::Routes((0..SHARD_COUNT).map(change).collect()));
    move |request| {
        let worker = Rc::clone(&worker);
        Box::pin(async move { worker.handle(request).await })
    }
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn declare(target: SocketAddr) -> DeclaredConfig {
    let service = format!(
        r#"{{"zones": ["zone-a"], "shards": {SHARD_COUNT}, "key": {{"from": "path", "segment": 2}},
            "operations": [{{"name": "look", "method": "GET", "repeat": "repeatable"}}]}}"#
    );
    let target = format!(
        r#"{{"service": "boards", "zone": "zone-a", "address": "{target}", "slots": 4,
            "connections": 130}}"#
    );
    DeclaredConfig {
        revision: Version(1),
        services: vec![DeclaredService {
            name: name("boards"),
            version: Version(1),
            spec: serde_json::from_str(&service).unwrap(),
        }],
        targets: vec![DeclaredTarget {
            name: name("board-0"),
            version: Version(1),
            spec: serde_json::from_str(&target).unwrap(),
        }],
    }
}
