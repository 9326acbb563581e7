//! Memory of a VM whose callers don't keep to the rules of HTTP or to its limits.
//!
//! The tests run one at a time, each against a gateway process of its own on a machine with little
//! memory. They check no times: the process lives and stays within its memory, and ordinary requests are
//! served while the others stay connected, and afterwards.
#![allow(clippy::unwrap_used)]

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};

use common::crowd::{CrowdBody, Framing, connect, gather, send_short_of_end};
use common::fleet::{Fleet, FleetSpec};
use common::process_limits;
use common::raw_http2::{END_HEADERS, END_STREAM, FrameKind, PREFACE, push_frame, request_head};
use common::small_vm::{SmallVm, VmSpec};

/// Held by the test that runs.
static ALONE: Mutex<()> = Mutex::new(());

const MEMORY_MB: u64 = 64;
const MIB: usize = 1 << 20;
/// Largest legal body.
const BODY_BYTES: usize = 16 * MIB;
/// Callers at a time.
const CROWD: usize = 24;
/// A caller needs at most one connection to a target, and ordinary ones come beside the crowd.
const DESCRIPTORS: usize = 2 * CROWD + 16;

/// Lets a test run alone.
fn run_alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start_vm(label: &'static str) -> SmallVm {
    SmallVm::start(VmSpec { label, memory_mb: MEMORY_MB, body_bytes: BODY_BYTES })
}

/// Plays a crowd whose connections stay open, and checks the VM meanwhile and afterwards.
fn play<T: Send>(
    vm: &mut SmallVm,
    size: usize,
    descriptors: usize,
    caller: impl Fn(SocketAddr, usize) -> T + Sync,
) {
    let address = vm.callers;
    let crowd = gather(size, |number| caller(address, number));
    vm.assert_within_limits(descriptors);
    vm.assert_serves("beside the crowd");
    vm.assert_within_limits(descriptors);
    drop(crowd);
    vm.assert_serves("after the crowd");
    vm.assert_serves_largest("after the crowd");
    vm.assert_within_limits(descriptors);
}

/// Plays a crowd of bodies that stop short of their end.
fn play_bodies(label: &'static str, path: &'static str, framing: Framing, length: usize) {
    let _alone = run_alone();
    let body = CrowdBody { framing, length };
    play(&mut start_vm(label), CROWD, DESCRIPTORS, |address, number| {
        send_short_of_end(address, path, &format!("u{number}"), body)
    });
}

/// Guards against the sum of announced bodies.
#[test]
fn a_crowd_of_announced_bodies_stays_within_memory() {
    play_bodies("announced", "/upload/a", Framing::Announced, BODY_BYTES);
}

/// Guards against the sum of chunked bodies.
#[test]
fn a_crowd_of_bodies_in_large_chunks_stays_within_memory() {
    play_bodies("large-chunks", "/upload/a", Framing::Chunks(MIB), BODY_BYTES);
}

/// Guards against what a body in chunks of one byte takes beyond its length.
#[test]
fn a_crowd_of_bodies_in_chunks_of_one_byte_stays_within_memory() {
    play_bodies("one-byte-chunks", "/upload/a", Framing::Chunks(1), 4 * MIB);
}

/// Guards against bodies beyond the limit that say so.
#[test]
fn a_crowd_of_announced_bodies_beyond_the_limit_stays_within_memory() {
    play_bodies("beyond-announced", "/upload/a", Framing::Announced, 4 * BODY_BYTES);
}

/// Guards against bodies beyond the limit that are just sent.
#[test]
fn a_crowd_of_chunked_bodies_beyond_the_limit_stays_within_memory() {
    play_bodies("beyond-chunked", "/upload/a", Framing::Chunks(MIB), 4 * BODY_BYTES);
}

/// Guards against bodies of requests that no route takes.
#[test]
fn a_crowd_of_bodies_to_no_route_stays_within_memory() {
    play_bodies("no-route", "/nowhere/a", Framing::Chunks(MIB), BODY_BYTES);
}

/// Number of callers whose heads or pipelined requests are small.
const LARGE_CROWD: usize = 500;

/// Connects many callers, one after the other.
fn connect_all(address: SocketAddr) -> Vec<TcpStream> {
    (0..LARGE_CROWD).map(|_| connect(address)).collect()
}

/// Guards against the sum of heads that don't end.
#[test]
fn a_crowd_of_heads_that_do_not_end_stays_within_memory() {
    let _alone = run_alone();
    let mut vm = start_vm("heads");
    let head = format!("GET /look/a HTTP/1.1\r\nhost: a\r\nx-long: {}", "x".repeat(125_000));
    play(&mut vm, 1, 2 * LARGE_CROWD + 16, |address, _| {
        let mut callers = connect_all(address);
        // The other side may close the connection at any time.
        callers.iter_mut().for_each(|caller| drop(caller.write_all(head.as_bytes())));
        callers
    });
}

/// Guards against heads that don't end behind a request that was answered.
#[test]
fn a_crowd_of_second_heads_that_do_not_end_stays_within_memory() {
    let _alone = run_alone();
    let mut vm = start_vm("second-heads");
    let host = nickellead_adapter_standin::HOST;
    let first =
        format!("GET /nowhere/a HTTP/1.1\r\nhost: {host}\r\nnickellead-request-id: f\r\n\r\n");
    let head = format!("GET /look/a HTTP/1.1\r\nhost: a\r\nx-long: {}", "x".repeat(125_000));
    play(&mut vm, 1, 2 * LARGE_CROWD + 16, |address, _| {
        let mut callers = connect_all(address);
        for caller in &mut callers {
            let _ = caller.write_all(first.as_bytes());
            let _ = caller.write_all(head.as_bytes());
        }
        callers
    });
}

/// Guards against requests that are read behind one that runs.
#[test]
fn a_crowd_of_pipelined_requests_stays_within_memory() {
    let _alone = run_alone();
    let mut vm = start_vm("pipelined");
    let host = nickellead_adapter_standin::HOST;
    let first = format!(
        "POST /upload/a HTTP/1.1\r\nhost: {host}\r\nnickellead-request-id: f\r\n\
         content-length: 2\r\n\r\nx"
    );
    let rest = format!("x{}", "GET / HTTP/1.1\r\nhost: a\r\n\r\n".repeat(200_000 / 29));
    play(&mut vm, 1, 2 * LARGE_CROWD + 16, |address, _| {
        let mut callers = connect_all(address);
        for caller in &mut callers {
            let _ = caller.set_nonblocking(true);
            let _ = caller.write_all(first.as_bytes());
        }
        // Sent without waiting: a caller whose bytes are not read has its writes refused.
        callers.iter_mut().for_each(|caller| drop(caller.write_all(rest.as_bytes())));
        callers
    });
}

/// Guards against the sum of bodies over HTTP/2.
#[test]
fn a_crowd_of_http2_bodies_stays_within_memory() {
    let _alone = run_alone();
    let mut vm = start_vm("http2-bodies");
    play(&mut vm, CROWD, DESCRIPTORS, |address, number| {
        common::http2_caller::send_bodies_short_of_end(address, number, 2, BODY_BYTES)
    });
}

/// Streams that one HTTP/2 caller opens.
const STREAMS: u32 = 5_000;

/// Opens an HTTP/2 connection and sends these frames; returns the open connection, whether or not the other
/// side has taken them.
fn send_frames(address: SocketAddr, push_frames: impl Fn(&mut Vec<u8>)) -> TcpStream {
    let mut stream = connect(address);
    let mut bytes = PREFACE.to_vec();
    push_frames(&mut bytes);
    // The other side may close the connection at any time.
    let _ = stream.write_all(&bytes);
    stream
}

/// The frames of many requests without bodies for one path.
fn push_requests(bytes: &mut Vec<u8>, path: &str) {
    for number in 0..STREAMS {
        let head = request_head("GET", path, &format!("s{number}"));
        let flags = END_HEADERS | END_STREAM;
        push_frame(bytes, FrameKind::Headers, flags, 2 * number + 1, &head);
    }
}

/// Guards against the number of requests on one HTTP/2 connection.
#[test]
fn a_crowd_of_http2_connections_with_many_streams_stays_within_memory() {
    let _alone = run_alone();
    play(&mut start_vm("http2-streams"), CROWD, 64 * CROWD + 16, |address, _| {
        send_frames(address, |bytes| push_requests(bytes, "/look/a"))
    });
}

/// Guards against HTTP/2 streams whose requests have no end.
#[test]
fn a_crowd_of_http2_connections_with_many_unfinished_requests_stays_within_memory() {
    let _alone = run_alone();
    play(&mut start_vm("http2-unfinished"), CROWD, 64 * CROWD + 16, |address, _| {
        send_frames(address, |bytes| {
            for number in 0..STREAMS {
                let head = request_head("POST", "/upload/a", &format!("s{number}"));
                let id = 2 * number + 1;
                push_frame(bytes, FrameKind::Headers, END_HEADERS, id, &head);
                push_frame(bytes, FrameKind::Data, 0, id, b"x");
            }
        })
    });
}

/// Guards against HTTP/2 heads that go on in further frames.
#[test]
fn a_crowd_of_http2_heads_that_go_on_stays_within_memory() {
    let _alone = run_alone();
    play(&mut start_vm("http2-heads"), CROWD, DESCRIPTORS, |address, _| {
        let mut stream = send_frames(address, |bytes| {
            let head = request_head("GET", "/look/a", "h");
            push_frame(bytes, FrameKind::Headers, END_STREAM, 1, &head);
        });
        let value = "v".repeat(15_000);
        for number in 0..1_000 {
            let name = format!("x-{number}");
            let mut bytes = Vec::new();
            let header = common::raw_http2::encode_headers(&[(&name, &value)]);
            push_frame(&mut bytes, FrameKind::Continuation, 0, 1, &header);
            if stream.write_all(&bytes).is_err() {
                break;
            }
        }
        stream
    });
}

/// Guards against HTTP/2 bodies in frames of one byte and in empty frames.
#[test]
fn a_crowd_of_http2_bodies_in_tiny_frames_stays_within_memory() {
    let _alone = run_alone();
    play(&mut start_vm("http2-tiny"), CROWD, DESCRIPTORS, |address, _| {
        send_frames(address, |bytes| {
            let head = request_head("POST", "/upload/a", "t");
            push_frame(bytes, FrameKind::Headers, END_HEADERS, 1, &head);
            // As many as the initial window of a connection allows.
            (0..60_000).for_each(|_| push_frame(bytes, FrameKind::Data, 0, 1, b"x"));
            (0..200_000).for_each(|_| push_frame(bytes, FrameKind::Data, 0, 1, b""));
        })
    });
}

/// Guards against HTTP/2 pings whose answers are not read.
#[test]
fn a_crowd_of_http2_pings_stays_within_memory() {
    let _alone = run_alone();
    play(&mut start_vm("http2-pings"), CROWD, DESCRIPTORS, |address, _| {
        send_frames(address, |bytes| {
            (0..500_000).for_each(|_| push_frame(bytes, FrameKind::Ping, 0, 0, &[0; 8]));
        })
    });
}

/// Guards against streams on the port for readiness checks.
#[test]
fn a_crowd_at_the_readiness_port_stays_within_memory() {
    let _alone = run_alone();
    let mut vm = start_vm("readiness");
    let readiness = vm.readiness;
    play(&mut vm, CROWD, DESCRIPTORS, |_, _| {
        send_frames(readiness, |bytes| push_requests(bytes, "/metrics"))
    });
}

/// Guards against a bound that refuses what is legal: the largest body on the smallest machine.
#[test]
fn a_single_largest_body_is_served_on_the_smallest_machine() {
    let _alone = run_alone();
    let spec = VmSpec { label: "largest", memory_mb: 120, body_bytes: 64 * MIB };
    let mut vm = SmallVm::start(spec);
    vm.assert_serves_largest("in calm");
    vm.assert_serves_largest("in calm, once more");
    vm.assert_within_limits(16);
}

/// Guards against a bound that refuses a largest body without an announced length.
#[test]
fn a_single_largest_chunked_body_is_served_on_the_smallest_machine() {
    let _alone = run_alone();
    let spec = VmSpec { label: "largest-chunked", memory_mb: 120, body_bytes: 64 * MIB };
    let mut vm = SmallVm::start(spec);
    let response = common::crowd::send_chunked(vm.callers, "/upload/a", 64 * MIB, MIB);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    vm.assert_within_limits(16);
}

/// Plays a crowd of bodies that stop short of their end against a VM of the product's own interface.
fn play_bodies_of_run(label: &'static str, framing: Framing) {
    let _alone = run_alone();
    let mut fleet = Fleet::start(FleetSpec {
        label,
        vms_per_zone: 1,
        targets_per_zone: 1,
        memory_mb: Some(MEMORY_MB),
        body_limit: BODY_BYTES,
        ..FleetSpec::default()
    });
    let (process, callers) = (fleet.vms[0].process.as_ref().unwrap().id(), fleet.vms[0].callers);
    let descriptors = process_limits::descriptors(process) + DESCRIPTORS;
    let body = CrowdBody { framing, length: BODY_BYTES };
    let path = "/boards/book/key-1";
    let crowd =
        gather(CROWD, |number| send_short_of_end(callers, path, &format!("u{number}"), body));
    process_limits::assert_within(label, process, MEMORY_MB, descriptors);
    let look = "GET /boards/look/key-1 HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n";
    common::small_vm::assert_served(callers, look.as_bytes(), "beside the crowd");
    drop(crowd);
    let head = format!("POST {path} HTTP/1.1\r\nhost: t\r\nconnection: close\r\n");
    let mut largest = format!("{head}content-length: {BODY_BYTES}\r\n\r\n").into_bytes();
    largest.resize(largest.len() + BODY_BYTES, b'x');
    common::small_vm::assert_served(callers, &largest, "after the crowd");
    process_limits::assert_within(label, process, MEMORY_MB, descriptors);
    fleet.vms.clear();
}

/// Guards against the sum of announced bodies.
#[test]
fn a_crowd_of_announced_bodies_at_run_stays_within_memory() {
    play_bodies_of_run("run-announced", Framing::Announced);
}

/// Guards against the sum of chunked bodies.
#[test]
fn a_crowd_of_chunked_bodies_at_run_stays_within_memory() {
    play_bodies_of_run("run-chunked", Framing::Chunks(MIB));
}

/// Guards against HTTP/2 streams at the port for operators.
#[test]
fn a_crowd_at_the_port_for_operators_stays_within_memory() {
    let _alone = run_alone();
    let label = "run-operators";
    let fleet = Fleet::start(FleetSpec {
        label,
        vms_per_zone: 1,
        targets_per_zone: 1,
        memory_mb: Some(MEMORY_MB),
        ..FleetSpec::default()
    });
    let vm = &fleet.vms[0];
    let (process, callers) = (vm.process.as_ref().unwrap().id(), vm.callers);
    let descriptors = process_limits::descriptors(process) + DESCRIPTORS;
    let operators = vm.operators;
    let crowd = gather(CROWD, |_| send_frames(operators, |bytes| push_requests(bytes, "/metrics")));
    process_limits::assert_within(label, process, MEMORY_MB, descriptors);
    let look = "GET /boards/look/key-1 HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n";
    common::small_vm::assert_served(callers, look.as_bytes(), "beside the crowd");
    drop(crowd);
    process_limits::assert_within(label, process, MEMORY_MB, descriptors);
}
