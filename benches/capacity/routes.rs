//! Routing table of a request worker: decision time, memory and message size.

use std::hint::black_box;
use std::time::Instant;

use nickellead_api::{DeclaredConfig, DeclaredService, DeclaredTarget};
use nickellead_core::{Epoch, Name, ServiceKey, ShardIndex, TargetKey, Term, Version, ZoneKey};
use nickellead_lease::{RouteChange, ShardOwner, ZoneDelta};
use nickellead_peer::{FollowReply, PeerReply, PeerVm, encode};
use nickellead_route::RoutingTable;

use crate::{Point, allocated_bytes};

/// Numbers of shards of a table.
const SHARD_COUNTS: [u32; 3] = [8_192, 32_768, 131_072];
/// Number of targets of a table.
const TARGET_COUNT: u32 = 2_000;
/// Number of decisions per measurement.
const DECISION_COUNT: u32 = 2_000_000;

pub fn measure(points: &mut Vec<Point>) {
    for shards in SHARD_COUNTS {
        measure_table(shards, points);
        measure_messages(shards, points);
    }
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub fn config(shards: u32, targets: u32) -> DeclaredConfig {
    let spec = format!(
        r#"{{"zones": ["zone-a"], "shards": {shards}, "key": {{"from": "path", "segment": 2}},
            "operations": [{{"name": "look", "method": "GET", "repeat": "repeatable"}}]}}"#
    );
    let target = |number: u32| DeclaredTarget {
        name: name(&format!("board-{number}")),
        version: Version(1),
        spec: serde_json::from_str(
            r#"{"service": "boards", "zone": "zone-a", "address": "127.0.0.1:1", "slots": 4,
                "connections": 130}"#,
        )
        .unwrap(),
    };
    DeclaredConfig {
        revision: Version(1),
        services: vec![DeclaredService {
            name: name("boards"),
            version: Version(1),
            spec: serde_json::from_str(&spec).unwrap(),
        }],
        targets: (0..targets).map(target).collect(),
    }
}

fn changes(shards: u32) -> Vec<RouteChange> {
    let service = ServiceKey::from(&name("boards"));
    let keys: Vec<TargetKey> = (0..TARGET_COUNT)
        .map(|number| TargetKey::from(&name(&format!("board-{number}"))))
        .collect();
    let change = |shard: u32| RouteChange {
        service,
        shard: ShardIndex(shard),
        owner: ShardOwner::Target {
            target: keys[(shard % TARGET_COUNT) as usize],
            epoch: Epoch(u64::from(shard % 50)),
        },
    };
    (0..shards).map(change).collect()
}

fn measure_table(shards: u32, points: &mut Vec<Point>) {
    let changes = changes(shards);
    let before = allocated_bytes();
    let mut table = RoutingTable::default();
    table.apply_config(&config(shards, TARGET_COUNT));
    let start = Instant::now();
    changes.iter().for_each(|change| table.apply_change(*change));
    let apply_ns = start.elapsed().as_nanos() as f64 / f64::from(shards);
    let memory = allocated_bytes().saturating_sub(before);
    let keys: Vec<String> = (0..4_096).map(|number| format!("clinic-{number}")).collect();
    let start = Instant::now();
    for round in 0..DECISION_COUNT {
        let key = &keys[(round % 4_096) as usize];
        let (_, service) = table.service("boards").unwrap();
        black_box(service.decide(black_box(key.as_bytes())));
    }
    let decide_ns = start.elapsed().as_nanos() as f64 / f64::from(DECISION_COUNT);
    let size = u64::from(shards);
    points.push(Point::new("route-decision", "shards", size, "ns", decide_ns));
    points.push(Point::new("route-apply-change", "shards", size, "ns", apply_ns));
    points.push(Point::new("route-table-memory", "shards", size, "bytes", memory as f64));
}

fn measure_messages(shards: u32, points: &mut Vec<Point>) {
    let vm = PeerVm {
        vm: name("vm-0"),
        zone: name("zone-a"),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: nickellead_core::Incarnation(1 << 60),
    };
    let reply = |base, changes| {
        PeerReply::Follow(Box::new(FollowReply {
            from: vm.clone(),
            term: Term(9),
            coordinator: Some(vm.clone()),
            standby: false,
            config: None,
            zones: vec![ZoneDelta {
                zone: ZoneKey(1 << 60),
                term: Term(9),
                base,
                version: Version(1_000),
                changes,
            }],
        }))
    };
    let full_table = encode(&reply(None, changes(shards))).unwrap();
    let one_change = encode(&reply(Some(Version(999)), changes(1))).unwrap();
    let size = u64::from(shards);
    points.push(Point::new("follow-whole-table", "shards", size, "bytes", full_table.len() as f64));
    points.push(Point::new("follow-one-change", "shards", size, "bytes", one_change.len() as f64));
}
