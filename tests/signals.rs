//! Signals sent to a VM's process while it starts.
#![allow(clippy::unwrap_used)]

mod common;

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use common::{Process, free_address, write_file};

/// Starts a VM's process and returns as soon as it accepts connections.
fn start_until_reachable(name: &str, callers: SocketAddr) -> Process {
    let (readiness, peers, store) = (free_address(), free_address(), free_address());
    let settings = format!(
        r#"{{"vm": "{name}", "zone": "zone-a", "callers_address": "{callers}",
            "readiness_address": "{readiness}", "peers_address": "{peers}",
            "store_address": "{store}", "grace_s": 1.0}}"#
    );
    let settings = write_file(&format!("{name}.json"), &settings);
    let process = Process::start(&["gateway", "--settings", settings.to_str().unwrap()]);
    let deadline = Instant::now() + Duration::from_secs(10);
    while TcpStream::connect(callers).is_err() {
        assert!(Instant::now() < deadline, "{name} is not reachable");
    }
    process
}

/// Guards against a VM that accepts callers before it handles signals: the default action of SIGHUP or SIGTERM
/// would kill it with requests in flight.
#[test]
fn a_signal_at_startup_is_handled() {
    for round in 0..20 {
        let process = start_until_reachable(&format!("vm-{round}"), free_address());
        process.signal(if round % 2 == 0 { "HUP" } else { "TERM" });
        process.signal("TERM");
        assert!(process.exit_code().is_some(), "round {round}: killed by a signal");
    }
}
