//! End-to-end path of a request with platform, VM and target as processes.
#![allow(clippy::unwrap_used)]

mod common;

use common::{Process, free_address, request, run, write_file};
use std::net::SocketAddr;

/// Platform, one VM and one target.
struct Deployment {
    platform: Process,
    vm: Process,
    target: Process,
    callers: SocketAddr,
    operators: SocketAddr,
}

impl Deployment {
    fn start() -> Self {
        let (platform_address, target_address) = (free_address(), free_address());
        let (callers, operators, peers) = (free_address(), free_address(), free_address());
        let vms = format!(
            r#"[{{"vm": "vm-0", "zone": "zone-a", "address": "{peers}", "state": "live"}}]"#
        );
        let vms = write_file("vms.json", &vms);
        let listen = platform_address.to_string();
        let vms = vms.to_str().unwrap();
        let mut platform =
            Process::start(&["standin", "platform", "--listen", &listen, "--vms", vms]);
        platform.wait_for(&["standin-started"]);
        let listen = target_address.to_string();
        let mut target =
            Process::start(&["standin", "target", "--name", "board-0", "--listen", &listen]);
        target.wait_for(&["standin-started"]);
        let settings = format!(
            r#"{{"vm": "vm-0", "zone": "zone-a", "callers_address": "{callers}",
                "operators_address": "{operators}", "peers_address": "{peers}",
                "platform_address": "{platform_address}", "stop_linger_ms": 10}}"#
        );
        let settings = write_file("vm-0.json", &settings);
        let mut vm = Process::start(&["run", "--settings", settings.to_str().unwrap()]);
        vm.wait_for(&["coordinator-leading"]);
        let declared = format!(
            r#"[{{"kind": "service", "name": "boards", "spec": {{"zones": ["zone-a"], "shards": 8,
                "key": {{"from": "path", "segment": 2}},
                "operations": [{{"name": "book", "method": "POST", "repeat": "once"}}]}}}},
               {{"kind": "target", "name": "board-0", "spec": {{"service": "boards",
                "zone": "zone-a", "address": "{target_address}", "slots": 4,
                "connections": 130}}}}]"#
        );
        let declared = write_file("declared.json", &declared);
        let operators_text = operators.to_string();
        let apply = ["apply", "--vm", &operators_text, "-f", declared.to_str().unwrap()];
        let (code, _, errors) = run(&apply);
        assert_eq!(code, Some(0), "{errors}");
        let (code, reapplied, _) = run(&apply);
        assert_eq!(code, Some(0));
        assert_eq!(reapplied, "service/boards unchanged\ntarget/board-0 unchanged\n");
        vm.wait_for(&["owners-committed", "service=boards", "shards=8"]);
        Self { platform, vm, target, callers, operators }
    }
}

#[test]
fn a_request_reaches_the_owner_and_is_answered() {
    let deployment = Deployment::start();
    let response = request(deployment.callers, "POST", "/boards/book/clinic-7");
    assert!(response.starts_with("HTTP/1.1 200 OK"), "{response}");
    assert!(response.contains(r#""path":"/boards/book/clinic-7""#), "{response}");
    assert!(!response.contains("nickellead-"), "internal headers reach a caller: {response}");

    let unknown = request(deployment.callers, "POST", "/nothing/book/clinic-7");
    assert!(unknown.starts_with("HTTP/1.1 404"), "{unknown}");
    assert!(unknown.contains("nickellead-outcome: not-run"), "{unknown}");

    let status = request(deployment.operators, "GET", "/v1/status");
    assert!(status.contains(r#""phase":"leading""#), "{status}");
    deployment.vm.signal("TERM");
    assert_eq!(deployment.vm.exit_code(), Some(0));
    drop((deployment.platform, deployment.target));
}

#[test]
fn invalid_settings_are_rejected_with_the_field_name() {
    let path = write_file("wrong.json", r#"{"vm": "vm-0", "zone": "zone-a", "colour": 3}"#);
    let (code, _, errors) = run(&["run", "--settings", path.to_str().unwrap()]);
    assert_eq!(code, Some(2));
    assert!(errors.contains("colour"), "{errors}");
}
