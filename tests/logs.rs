//! Logs are never waited for.
#![allow(clippy::unwrap_used)]

mod common;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Requests sent while nobody reads the log: far more lines than the pipe and the ring hold.
const REQUESTS: usize = 12_000;

fn settings(callers: SocketAddr, readiness: SocketAddr) -> std::path::PathBuf {
    let (peers, store) = (common::free_address(), common::free_address());
    let text = format!(
        r#"{{"vm": "vm-0", "zone": "zone-a", "callers_address": "{callers}",
            "readiness_address": "{readiness}", "peers_address": "{peers}",
            "store_address": "{store}", "grace_s": 1}}"#
    );
    common::write_file("logs-vm.json", &text)
}

fn ask(stream: &mut TcpStream) {
    let request = "GET /a/ HTTP/1.1\r\nhost: a\r\nx-request-id: r\r\n\r\n";
    stream.write_all(request.as_bytes()).unwrap();
    let answer = common::read_answer(stream);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}

/// Nobody reads the log, and callers are answered all the same.
#[test]
fn a_full_pipe_of_logs_stops_no_request() {
    let (callers, readiness) = (common::free_address(), common::free_address());
    let mut command = Command::new(env!("CARGO_BIN_EXE_nickellead"));
    command.args(["gateway", "--settings"]).arg(settings(callers, readiness));
    command.stdout(Stdio::piped()).stderr(Stdio::null());
    let mut child = common::spawn(&mut command);
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    assert!(lines.next().unwrap().unwrap().contains("event=node-started"));
    let started = Instant::now();
    let mut stream = TcpStream::connect(callers).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    (0..REQUESTS).for_each(|_| ask(&mut stream));
    assert!(started.elapsed() < Duration::from_secs(30));
    child.kill().unwrap();
    child.wait().unwrap();
}
