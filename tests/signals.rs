//! Signals that reach a VM's process just as it starts.
#![allow(clippy::unwrap_used)]

mod common;

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use common::{Process, free_address, write_file};

/// A VM's process that callers can reach, and not for longer than they need to find out.
fn just_reached(name: &str, callers: SocketAddr) -> Process {
    let (readiness, peers, store) = (free_address(), free_address(), free_address());
    let settings = format!(
        r#"{{"vm": "{name}", "zone": "zone-a", "callers_address": "{callers}",
            "readiness_address": "{readiness}", "peers_address": "{peers}",
            "store_address": "{store}", "grace_s": 1.0}}"#
    );
    let settings = write_file(&format!("{name}.json"), &settings);
    let process = Process::start(&["gateway", "--settings", settings.to_str().unwrap()]);
    let end = Instant::now() + Duration::from_secs(10);
    while TcpStream::connect(callers).is_err() {
        assert!(Instant::now() < end, "{name} can't be reached");
    }
    process
}

// Seen: by reading the code: SIGHUP or SIGTERM could end a VM that had just started, with requests under way.
// How: the signal came after the VM listened for callers and before it listened for signals.
// Cause: the signals were listened for last.
// Proof: a process that is signalled as soon as it can be reached ends by itself, with its code. The gap
// was short: before the mend about one turn in ten met it.
#[test]
fn a_signal_that_comes_as_a_vm_starts_does_not_end_it_unasked() {
    for turn in 0..20 {
        let process = just_reached(&format!("vm-{turn}"), free_address());
        process.signal(if turn % 2 == 0 { "HUP" } else { "TERM" });
        process.signal("TERM");
        assert!(process.exit_code().is_some(), "turn {turn}: a signal ended the process");
    }
}
