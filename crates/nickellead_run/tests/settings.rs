//! Guards against invalid settings that are accepted, and against errors that name another field.
#![allow(clippy::unwrap_used)]

use nickellead_run::NodeSettings;
use serde_json::{Value, json};

fn settings() -> Value {
    json!({
        "vm": "vm-0",
        "zone": "zone-a",
        "callers_address": "127.0.0.1:8001",
        "operators_address": "127.0.0.1:8002",
        "peers_address": "127.0.0.1:8003",
        "platform_address": "127.0.0.1:8000",
        "peers": [{"vm": "vm-1", "zone": "zone-a", "address": "127.0.0.1:8103"}]
    })
}

fn field_of(settings: &Value) -> String {
    NodeSettings::read(settings.to_string().as_bytes()).unwrap_err().field
}

#[test]
fn defaults_fit_each_other() {
    let read = NodeSettings::read(settings().to_string().as_bytes()).unwrap();
    assert_eq!(read.workers, 1);
    assert!(read.lease.to_timings().validate().is_ok());
}

#[test]
fn each_wrong_field_is_named() {
    let cases = [
        ("/vm", json!("Not A Name"), "vm"),
        ("/zone", json!(""), "zone"),
        ("/callers_address", json!("localhost"), "callers_address"),
        ("/callers_address", json!("127.0.0.1:0"), "callers_address"),
        ("/peers_address", json!("127.0.0.1:8001"), "peers_address"),
        ("/workers", json!(0), "workers"),
        ("/workers", json!("two"), "workers"),
        ("/peers/0/address", json!(7), "peers[0].address"),
        ("/peers/0/vm", json!("vm-0"), "peers[0].address"),
        ("/limits", json!({"vms": 0}), "limits.vms"),
        ("/limits", json!({"width": 1}), "limits.width"),
        ("/stop_limit_ms", json!(100), "stop_limit_ms"),
        ("/lease", json!({"heartbeat_ms": 0}), "lease.heartbeat_ms"),
        ("/lease", json!({"lease_ms": 1_000}), "lease.lease_ms"),
        ("/lease", json!({"order_timeout_ms": 500}), "lease.order_timeout_ms"),
        ("/lease", json!({"standstill_ms": 600}), "lease.standstill_ms"),
        ("/lease", json!({"detach_after_ms": 700}), "lease.detach_after_ms"),
    ];
    for (path, value, field) in cases {
        let mut wrong = settings();
        let case = format!("{path} = {value}");
        match wrong.pointer_mut(path) {
            Some(old) => *old = value,
            None => drop(wrong.as_object_mut().unwrap().insert(path[1..].to_owned(), value)),
        }
        assert_eq!(field_of(&wrong), field, "{case}");
    }
}

#[test]
fn an_unknown_and_a_missing_field_are_named() {
    let mut unknown = settings();
    unknown["colour"] = json!(1);
    assert_eq!(field_of(&unknown), "colour");
    let mut missing = settings();
    missing.as_object_mut().unwrap().remove("zone");
    let error = NodeSettings::read(missing.to_string().as_bytes()).unwrap_err();
    assert!(error.reason.contains("zone"), "{error}");
}
