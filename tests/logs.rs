//! Guards against requests that block because the log output is not read.
#![allow(clippy::unwrap_used)]

mod common;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Number of requests, which log far more lines than the pipe and the ring buffer hold.
const REQUEST_COUNT: usize = 12_000;

fn write_settings(callers: SocketAddr, readiness: SocketAddr) -> std::path::PathBuf {
    let (peers, store) = (common::free_address(), common::free_address());
    let text = format!(
        r#"{{"vm": "vm-0", "zone": "zone-a", "callers_address": "{callers}",
            "readiness_address": "{readiness}", "peers_address": "{peers}",
            "store_address": "{store}", "grace_s": 1}}"#
    );
    common::write_file("logs-vm.json", &text)
}

fn send_request(stream: &mut TcpStream) {
    let request = "GET /a/ HTTP/1.1\r\nhost: a\r\nx-request-id: r\r\n\r\n";
    stream.write_all(request.as_bytes()).unwrap();
    let response = common::read_response(stream);
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
}

#[test]
fn a_full_log_pipe_blocks_no_request() {
    let (callers, readiness) = (common::free_address(), common::free_address());
    let mut command = Command::new(env!("CARGO_BIN_EXE_nickellead"));
    command.args(["gateway", "--settings"]).arg(write_settings(callers, readiness));
    command.stdout(Stdio::piped()).stderr(Stdio::null());
    let mut child = common::spawn(&mut command);
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    assert!(lines.next().unwrap().unwrap().contains("event=node-started"));
    let started = Instant::now();
    let mut stream = TcpStream::connect(callers).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    (0..REQUEST_COUNT).for_each(|_| send_request(&mut stream));
    assert!(started.elapsed() < Duration::from_secs(30));
    child.kill().unwrap();
    child.wait().unwrap();
}
