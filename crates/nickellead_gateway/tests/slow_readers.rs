//! Memory of a VM whose callers and targets read slowly.
#![allow(clippy::unwrap_used)]

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use common::store::MemoryStore;
use common::target::{Behavior, TestTarget};
use common::{TestGateway, declarations, entry, wait_until};
use socket2::{Domain, Socket, Type};

const RESPONSE_BYTES: usize = 300_000;
const MEMORY_MB: u64 = 15;
/// A third of the memory.
const MAX_HELD_BYTES: f64 = 5_000_000.0;
/// Segment size of usual links; loopback buffers hold a whole response otherwise.
const SEGMENT_BYTES: u32 = 1_460;
const SLOW_CALLERS: usize = 200;
/// A refusal needs no longer, whatever the load.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(100);

/// A gateway with bounded memory in front of targets at these addresses.
fn bounded_gateway(name: &str, targets: &[(&str, SocketAddr)]) -> (TestGateway, MemoryStore) {
    let store = MemoryStore::default();
    for (id, address) in targets {
        store.list(entry(id, "plain", *address));
    }
    store.declare(declarations(1));
    let gateway = TestGateway::start_as(name, &store, |settings| {
        settings.connections = Some(2 * SLOW_CALLERS);
        settings.memory_mb = Some(MEMORY_MB);
    });
    gateway.wait_ready();
    (gateway, store)
}

/// Connects with small buffers on both sides and sends a request.
fn send_slow(address: SocketAddr, request: &[u8]) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    socket.set_tcp_mss(SEGMENT_BYTES).unwrap();
    socket.connect(&address.into()).unwrap();
    let mut stream = TcpStream::from(socket);
    stream.write_all(request).unwrap();
    stream
}

fn metric(gateway: &TestGateway, name: &str) -> f64 {
    gateway.find_metric(name).unwrap()
}

/// Reads what has arrived, at most one byte from each caller.
fn read_one_byte(callers: &mut [TcpStream]) {
    for caller in callers {
        caller.set_nonblocking(true).unwrap();
        // Callers that were cut have nothing to read.
        let _ = caller.read(&mut [0]);
    }
}

/// Sends a usual request. Returns whether it was served; panics on any end but a response or a
/// truthful refusal at once.
fn is_served(gateway: &TestGateway) -> bool {
    let since = Instant::now();
    let response = gateway.send("GET", "/read/a", "");
    if response.starts_with("HTTP/1.1 200") {
        return true;
    }
    assert!(response.contains("nickellead-error: memory-full"), "{response}");
    assert!(response.contains("nickellead-outcome: not-run"), "{response}");
    assert!(response.contains("retry-after: 0."), "{response}");
    assert!(since.elapsed() < MAX_REFUSAL_TIME, "{:?}", since.elapsed());
    false
}

/// Load: hundreds of callers ask for 300 kB each and read one byte a second.
#[test]
fn callers_that_read_a_byte_a_second_leave_memory_flat_and_others_served() {
    let target = TestTarget::start("t1", Behavior::RespondWithBody(RESPONSE_BYTES));
    let (gateway, _store) = bounded_gateway("vm-slow-callers", &[("t1", target.address)]);
    let request = b"GET /read/a HTTP/1.1\r\nhost: board.example\r\nx-request-id: s\r\n\r\n";
    let mut callers = Vec::new();
    for _ in 0..SLOW_CALLERS {
        callers.push(send_slow(gateway.callers, request));
        std::thread::sleep(Duration::from_millis(5));
    }
    let held = || metric(&gateway, "nickellead_held_bytes");
    assert_eq!(metric(&gateway, "nickellead_held_bytes_limit"), MAX_HELD_BYTES);
    assert!(held() > MAX_HELD_BYTES / 2.0, "the callers hold only {}", held());
    let (mut refused, mut served_in_a_row) = (0, 0);
    let end = Instant::now() + Duration::from_secs(20);
    while served_in_a_row < 20 {
        assert!(Instant::now() < end, "others are not served, {refused} refused");
        assert!(held() <= MAX_HELD_BYTES, "{}", held());
        match is_served(&gateway) {
            true => served_in_a_row += 1,
            false => (refused, served_in_a_row) = (refused + 1, 0),
        }
        read_one_byte(&mut callers);
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(refused > 0, "the memory was never full");
    assert!(metric(&gateway, "nickellead_callers_cut") > 0.0);
    drop(callers);
    wait_until("all bytes are returned", || held() == 0.0);
}

/// Load: callers send bodies of 400 kB to a target that accepts connections and reads nothing.
#[test]
fn requests_to_a_target_that_reads_nothing_stay_within_the_bound_until_their_deadline() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = silent.local_addr().unwrap();
    let (gateway, _store) = bounded_gateway("vm-slow-target", &[("t1", address)]);
    let head = "POST /write/a HTTP/1.1\r\nhost: board.example\r\nx-request-id: w\r\n\
                x-deadline-ms: 1000\r\ncontent-length: 400000\r\n\r\n";
    let request = format!("{head}{}", "b".repeat(400_000)).into_bytes();
    let senders: Vec<_> = (0..30)
        .map(|_| {
            let (address, request) = (gateway.callers, request.clone());
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(address).unwrap();
                stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
                // The gateway may refuse the request before it has read the body.
                let _ = stream.write_all(&request);
                common::read_response(&mut stream)
            })
        })
        .collect();
    let held = || metric(&gateway, "nickellead_held_bytes");
    let mut most: f64 = 0.0;
    while !senders.iter().all(|sender| sender.is_finished()) {
        most = most.max(held());
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!((400_000.0..=MAX_HELD_BYTES).contains(&most), "{most}");
    let responses: Vec<_> = senders.into_iter().map(|sender| sender.join().unwrap()).collect();
    let count = |text: &str| responses.iter().filter(|one| one.contains(text)).count();
    assert_eq!(count("HTTP/1.1 200"), 0);
    assert!(count("memory-full") > 0 && count("answer-late") > 0, "{responses:?}");
    wait_until("all bytes are returned", || held() == 0.0);
}
