//! Requests that are running while their VM stops.
#![allow(clippy::unwrap_used)]

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use common::store::MemoryStore;
use common::target::{Behavior, TestTarget};
use common::{TestGateway, declarations, entry, gateway_with_targets, read_response, wait_until};

/// A request with this deadline.
fn request(path: &str, deadline_ms: u64) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: board.example\r\nx-request-id: r1\r\n\
         x-deadline-ms: {deadline_ms}\r\n\r\n"
    )
}

/// Guards against counting the request of a disconnected caller as running forever.
#[test]
fn a_disconnected_caller_does_not_count_as_a_running_request_at_stop() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (mut gateway, _store) = gateway_with_targets("vm-left", &[&target]);
    target.set_behavior(Behavior::NeverRespond);
    let mut stream = TcpStream::connect(gateway.callers).unwrap();
    stream.write_all(request("/read/", 1_900).as_bytes()).unwrap();
    wait_until("the target has the request", || !target.requests().is_empty());
    drop(stream);
    wait_until("the target's connection is closed", || target.abandoned_requests() == 1);
    assert!(gateway.handle.take().unwrap().stop(), "a request still counts as running");
}

/// Guards against leaving requests that are queued for a full target without a response when the VM
/// stops.
#[test]
fn every_caller_gets_a_response_before_the_grace_period_ends() {
    let target = TestTarget::start("t1", Behavior::NeverRespond);
    let store = MemoryStore::default();
    store.list(entry("t1", "plain", target.address));
    let mut declared = declarations(1);
    for route in &mut declared.routes {
        route.timeout = Duration::from_secs(20);
        route.latency_target = Duration::from_secs(20);
    }
    store.declare(declared);
    let mut gateway = TestGateway::start_as("vm-waits", &store, |settings| settings.grace_s = 3.0);
    gateway.wait_ready();
    let callers = gateway.callers;
    let send = move || {
        let mut stream = TcpStream::connect(callers).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        stream.write_all(request("/write/", 20_000).as_bytes()).unwrap();
        read_response(&mut stream)
    };
    let sending: Vec<_> = (0..3).map(|_| std::thread::spawn(send)).collect();
    wait_until("the target is full", || target.requests().len() == 2);
    // Until the gateway has read and queued the third request, which is not visible from outside.
    std::thread::sleep(Duration::from_millis(300));
    gateway.handle.take().unwrap().stop();
    let finished_count = sending.iter().filter(|sending| sending.is_finished()).count();
    assert_eq!(finished_count, 3, "callers with a response before the process would end");
    let responses: Vec<String> =
        sending.into_iter().map(|sending| sending.join().unwrap()).collect();
    let refused = responses.iter().filter(|response| response.starts_with("HTTP/1.1 503")).count();
    let lost = responses.iter().filter(|response| response.starts_with("HTTP/1.1 502")).count();
    assert_eq!((refused, lost), (1, 2), "{responses:?}");
    assert_eq!(target.requests().len(), 2, "a refused request reached the target");
}

/// Guards against truncated responses when the caller reads slowly and the process ends before all
/// is sent.
#[test]
fn a_response_blocked_by_flow_control_is_sent_before_the_process_ends() {
    let body_bytes = 12 * 1024 * 1024;
    let target = TestTarget::start("t1", Behavior::Serve);
    let store = MemoryStore::default();
    store.list(entry("t1", "plain", target.address));
    store.declare(declarations(1));
    let mut gateway = TestGateway::start_as("vm-window", &store, |settings| settings.grace_s = 4.0);
    gateway.wait_ready();
    target.set_behavior(Behavior::RespondWithBody(body_bytes));
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    socket.connect(&gateway.callers.into()).unwrap();
    let mut stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream.write_all(request("/read/", 1_900).as_bytes()).unwrap();
    wait_until("the target has the request", || !target.requests().is_empty());
    let stopping = std::thread::spawn(move || gateway.handle.take().unwrap().stop());
    // After the VM stops accepting requests, before its process ends.
    std::thread::sleep(Duration::from_millis(3_550));
    let mut response = Vec::new();
    // A reset returns the bytes received before it.
    let _ = stream.read_to_end(&mut response);
    let head_end = response.windows(4).position(|window| window == b"\r\n\r\n").unwrap();
    assert_eq!(response.len() - head_end - 4, body_bytes, "body truncated");
    assert!(stopping.join().unwrap(), "requests did not finish in time");
}
