//! What callers see of a VM that stops while their requests are under way.
#![allow(clippy::unwrap_used)]

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use common::store::MemoryStore;
use common::target::{Behavior, TestTarget};
use common::{TestGateway, declarations, entry, gateway_with_targets, read_response, wait_until};

/// A request that its caller waits for this long.
fn request(path: &str, deadline_ms: u64) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: board.example\r\nx-request-id: r1\r\n\
         x-deadline-ms: {deadline_ms}\r\n\r\n"
    )
}

// Seen: VMs that were stopped as planned said at their end that requests had not finished.
// How: the request of a caller that had left before was counted as running for ever.
// Cause: the count went down only when an answer was there, and none comes for a caller that left.
// Proof: a stop after such a caller says that every request has ended.
#[test]
fn a_caller_that_left_is_not_counted_when_its_vm_stops() {
    let target = TestTarget::start("t1", Behavior::Serve);
    let (mut gateway, _store) = gateway_with_targets("vm-left", &[&target]);
    target.set_behavior(Behavior::NeverRespond);
    let mut stream = TcpStream::connect(gateway.callers).unwrap();
    stream.write_all(request("/read/", 1_900).as_bytes()).unwrap();
    wait_until("the target has the request", || !target.requests().is_empty());
    drop(stream);
    wait_until("the target's connection is closed", || target.abandoned_requests() == 1);
    assert!(gateway.handle.take().unwrap().stop(), "no request is left");
}

// Seen: a caller whose request waited for a target with room got nothing when its VM was stopped.
// How: the targets were full, and the request had come just before the signal.
// Cause: only requests that came after the signal were compared with the end of the process.
// Proof: each caller has a refusal, or is told that its answer is lost, before the stop returns.
#[test]
fn nobody_is_left_without_an_answer_when_the_grace_time_ends() {
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
    let asking: Vec<_> = (0..3).map(|_| std::thread::spawn(send)).collect();
    wait_until("the target is full", || target.requests().len() == 2);
    // The third has been read and waits: nothing shows it from outside.
    std::thread::sleep(Duration::from_millis(300));
    gateway.handle.take().unwrap().stop();
    let in_time = asking.iter().filter(|asking| asking.is_finished()).count();
    assert_eq!(in_time, 3, "callers that were answered before the process would end");
    let responses: Vec<String> = asking.into_iter().map(|asking| asking.join().unwrap()).collect();
    let refused = responses.iter().filter(|response| response.starts_with("HTTP/1.1 503")).count();
    let lost = responses.iter().filter(|response| response.starts_with("HTTP/1.1 502")).count();
    assert_eq!((refused, lost), (1, 2), "{responses:?}");
    assert_eq!(target.requests().len(), 2, "what is refused has not run");
}

// Seen: a caller behind a full link got the first part of an answer when its VM was stopped.
// How: the rest waited in the process for room in the connection's window.
// Cause: the process ended a fixed 50 ms after the last answer was made, not after it had left.
// Proof: a caller that reads on late, but within the grace time, gets every byte.
#[test]
fn an_answer_that_waits_for_room_on_its_connection_leaves_before_the_end() {
    let length = 12 * 1024 * 1024;
    let target = TestTarget::start("t1", Behavior::Serve);
    let store = MemoryStore::default();
    store.list(entry("t1", "plain", target.address));
    store.declare(declarations(1));
    let mut gateway = TestGateway::start_as("vm-window", &store, |settings| settings.grace_s = 4.0);
    gateway.wait_ready();
    target.set_behavior(Behavior::RespondWithBody(length));
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    socket.connect(&gateway.callers.into()).unwrap();
    let mut stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream.write_all(request("/read/", 1_900).as_bytes()).unwrap();
    wait_until("the target has answered", || !target.requests().is_empty());
    let stopping = std::thread::spawn(move || gateway.handle.take().unwrap().stop());
    // Well after the VM takes nothing new any more, well before its process ends.
    std::thread::sleep(Duration::from_millis(3_550));
    let mut response = Vec::new();
    // A reset gives what came before.
    let _ = stream.read_to_end(&mut response);
    let head = response.windows(4).position(|four| four == b"\r\n\r\n").unwrap();
    assert_eq!(response.len() - head - 4, length, "bytes of the body");
    assert!(stopping.join().unwrap(), "every request has ended");
}
