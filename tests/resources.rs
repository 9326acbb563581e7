//! The resource API and its commands, run against processes.
#![allow(clippy::unwrap_used)]

mod common;

use std::net::SocketAddr;

use common::fleet::{Fleet, FleetSpec, number_after};
use common::{exchange, request, run, write_file};

fn put(operators: SocketAddr, path: &str, body: &str) -> String {
    let length = body.len();
    exchange(
        operators,
        &format!(
            "PUT {path} HTTP/1.1\r\nhost: t\r\nconnection: close\r\ncontent-length: {length}\r\n\
             \r\n{body}"
        ),
    )
}

#[test]
fn objects_are_checked_versioned_and_watched() {
    let fleet = Fleet::start(FleetSpec {
        label: "resources",
        vms_per_zone: 1,
        targets_per_zone: 1,
        ..FleetSpec::default()
    });
    let operators = fleet.vms[0].operators.to_string();
    let target = |slots: &str, zone: &str| {
        format!(
            r#"{{"service": "boards", "zone": "{zone}", "address": "{}", "slots": {slots},
                "connections": 130}}"#,
            fleet.targets[0].address
        )
    };

    let wrong = [
        (target("0", "zone-a"), "slots"),
        (target("\"many\"", "zone-a"), "slots"),
        (target("4", "zone-x"), "zone"),
    ];
    for (body, field) in wrong {
        let response = put(fleet.vms[0].operators, "/v1/objects/target/new?version=0", &body);
        assert!(response.starts_with("HTTP/1.1 422"), "{response}");
        assert!(response.contains(&format!(r#""field":"{field}""#)), "{response}");
    }
    let stale =
        put(fleet.vms[0].operators, "/v1/objects/target/board-0?version=1", &target("5", "zone-a"));
    assert!(stale.starts_with("HTTP/1.1 409") && stale.contains(r#""version":"#), "{stale}");
    let system = put(fleet.vms[0].operators, "/v1/objects/mandate/zone-a?version=1", "{}");
    assert!(system.starts_with("HTTP/1.1 405"), "{system}");

    let service = request(fleet.vms[0].operators, "GET", "/v1/objects/service/boards");
    assert!(
        service.contains(r#""in_force":true"#) && service.contains(r#""served":64"#),
        "{service}"
    );
    let before = fleet.platform_revision();
    fleet.declare_target(0, "draining");
    let (code, watched, _) =
        run(&["watch", "--vm", &operators, "--from", &before.to_string(), "--waits", "1"]);
    assert_eq!(code, Some(0));
    assert!(watched.contains(r#""name":"board-0""#) && watched.contains("draining"), "{watched}");

    let file =
        write_file("one.json", r#"{"kind": "target", "name": "board-0", "spec": {"slots": 4}}"#);
    let (code, _, errors) = run(&["apply", "--vm", &operators, "-f", file.to_str().unwrap()]);
    assert_eq!(code, Some(2));
    assert!(errors.contains("target/board-0") && errors.contains("service"), "{errors}");

    let (code, _, errors) = run(&["delete", "--vm", &operators, "service", "boards"]);
    assert_eq!(code, Some(2), "a service with targets was deleted");
    assert!(errors.contains("targets"), "{errors}");
    let (code, table, _) = run(&["get", "--vm", &operators, "target"]);
    assert_eq!(code, Some(0));
    assert!(table.contains("board-0") && table.contains("draining"), "{table}");
    assert!(
        table.contains("in_force=true shards=64"),
        "the only target keeps its shards while draining: {table}"
    );

    let metrics = request(fleet.vms[0].operators, "GET", "/metrics");
    assert!(metrics.contains("nickellead_requests_total"), "{metrics}");
}

/// Increments the slots of a target with the version read before; returns whether it was accepted.
fn try_add_slot(operators: SocketAddr, address: SocketAddr) -> bool {
    let object = request(operators, "GET", "/v1/objects/target/board-0");
    let slots = number_after(&object, r#""slots":"#).unwrap() + 1;
    let version = number_after(&object, r#""version":"#).unwrap();
    let spec = format!(
        r#"{{"service": "boards", "zone": "zone-a", "address": "{address}", "slots": {slots},
            "connections": 65000}}"#
    );
    let response = put(operators, &format!("/v1/objects/target/board-0?version={version}"), &spec);
    assert!(
        response.starts_with("HTTP/1.1 200") || response.starts_with("HTTP/1.1 409"),
        "{response}"
    );
    response.starts_with("HTTP/1.1 200")
}

/// Guards against lost updates when several writers change one object.
#[test]
fn racing_writers_lose_no_accepted_change() {
    let fleet =
        Fleet::start(FleetSpec { label: "racing", targets_per_zone: 1, ..FleetSpec::default() });
    let address = fleet.targets[0].address;
    let add_slots = |operators: SocketAddr| {
        let mut conflicts = 0;
        for _ in 0..20 {
            while !try_add_slot(operators, address) {
                conflicts += 1;
            }
        }
        conflicts
    };
    let operators: Vec<SocketAddr> = fleet.vms.iter().map(|vm| vm.operators).collect();
    let conflicts: u32 = std::thread::scope(|scope| {
        let writers: Vec<_> = operators
            .into_iter()
            .map(|operators| scope.spawn(move || add_slots(operators)))
            .collect();
        writers.into_iter().map(|writer| writer.join().unwrap()).sum()
    });
    let object = request(fleet.vms[0].operators, "GET", "/v1/objects/target/board-0");
    assert_eq!(number_after(&object, r#""slots":"#), Some(4 + 60));
    assert!(conflicts > 0, "no write conflicted with another");
}
