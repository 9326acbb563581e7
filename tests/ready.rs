//! Requests to a VM as soon as it reports that it is ready, on a busy machine. The test is alone in its
//! file so that no other test runs at the same time.
#![allow(clippy::unwrap_used)]

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::fleet::{Fleet, FleetSpec};

/// Guards against a VM that reports readiness before its request workers have applied declarations and owners.
#[test]
fn a_vm_that_reports_readiness_serves() {
    let spec = FleetSpec { label: "ready", workers: 48, ..FleetSpec::default() };
    let mut fleet = Fleet::start(spec);
    for _ in 0..6 {
        fleet.vms[0].process.take().unwrap().signal("KILL");
        let (callers, operators) = (fleet.vms[0].callers, fleet.vms[0].operators);
        let (ready, ended) = (AtomicBool::new(false), AtomicBool::new(false));
        let refused: Vec<String> = std::thread::scope(|scope| {
            for _ in 0..BUSY_THREADS {
                scope.spawn(|| {
                    while !ended.load(Ordering::Relaxed) {
                        std::hint::spin_loop();
                    }
                });
            }
            let eager = || eager_caller(callers, &ready, &ended);
            let eager: Vec<_> = (0..EAGER_CALLERS).map(|_| scope.spawn(eager)).collect();
            fleet.start_vm(0);
            // Busy polling detects readiness without delay.
            while !common::request(operators, "GET", "/readyz").contains(" 200 ") {}
            ready.store(true, Ordering::SeqCst);
            std::thread::sleep(Duration::from_millis(100));
            ended.store(true, Ordering::SeqCst);
            eager.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
        });
        assert!(refused.is_empty(), "{} refused: {}", refused.len(), refused[0]);
    }
}

/// Number of threads that keep all cores busy, so that the threads of the VM are preempted.
const BUSY_THREADS: usize = 24;
/// Number of callers that send requests without waiting for readiness.
const EAGER_CALLERS: usize = 120;

/// Error codes of a VM without declarations or owners.
const NOT_READY_ERRORS: [&str; 3] = ["unknown-service", "owner-unknown", "not-configured"];

/// Sends requests on successive connections; returns the refusals of requests sent after readiness.
fn eager_caller(callers: SocketAddr, ready: &AtomicBool, ended: &AtomicBool) -> Vec<String> {
    let mut refused = Vec::new();
    while !ended.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(callers) else {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        };
        stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
        for _ in 0..50 {
            let was_ready = ready.load(Ordering::SeqCst);
            let sent = stream.write_all(b"GET /boards/look/key-1 HTTP/1.1\r\nhost: t\r\n\r\n");
            let response = common::read_response(&mut stream);
            if sent.is_err() || response.is_empty() {
                break;
            }
            if was_ready && NOT_READY_ERRORS.iter().any(|code| response.contains(code)) {
                refused.push(response);
            }
        }
    }
    refused
}
