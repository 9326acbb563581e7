//! Connections of callers that read a response slowly or not at all.
#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::{Request, Response, StatusCode};
use nickellead_limit::ByteBudget;
use nickellead_proxy::{ServeState, bind_listener, hold_until_sent, serve_http};
use socket2::{Domain, Socket, Type};

const STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// More than the buffers between the server and a slow caller take.
const BODY_BYTES: usize = 1_000_000;
/// Time between two reads of a slow caller.
const PAUSE: Duration = Duration::from_millis(10);

/// Serves a large body to each request; `bound` is the budget that the bodies count in.
fn start_server(bound: usize) -> (SocketAddr, Arc<ServeState>) {
    let listener = bind_listener(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let state = Arc::new(ServeState::with_stall_timeout(Some(STALL_TIMEOUT)));
    let served = Arc::clone(&state);
    std::thread::spawn(move || {
        actix_rt::Runtime::new().unwrap().block_on(async move {
            let budget = ByteBudget::new(Some(bound));
            let handler = move |_: Request| {
                let held = budget.admit(BODY_BYTES);
                async move {
                    let Ok(held) = held else {
                        return Response::new(StatusCode::SERVICE_UNAVAILABLE)
                            .map_into_boxed_body();
                    };
                    let body = vec![b'b'; BODY_BYTES];
                    let mut response = Response::ok().set_body(body).map_into_boxed_body();
                    hold_until_sent(&mut response, held);
                    response
                }
            };
            serve_http(listener, 100, served, handler).await;
        });
    });
    (address, state)
}

/// Sends a request on a connection with a small receive buffer.
fn request(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(8_192).unwrap();
    socket.connect(&address.into()).unwrap();
    let mut stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").unwrap();
    stream
}

fn wait_until(condition: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(5);
    while !condition() {
        assert!(Instant::now() < end, "timed out");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Reads to the end of the connection with a pause after each read; returns the length and how long
/// that took.
fn read_all(mut stream: TcpStream, pause: Duration) -> (usize, Duration) {
    let since = Instant::now();
    let (mut buffer, mut length) = (vec![0; 400_000], 0);
    while let Ok(read @ 1..) = stream.read(&mut buffer) {
        length += read;
        std::thread::sleep(pause);
    }
    (length, since.elapsed())
}

/// Load: a caller asks for a large response and reads none of it.
#[test]
fn a_caller_that_takes_nothing_is_cut_and_its_memory_is_free_again() {
    let (address, state) = start_server(BODY_BYTES * 3 / 2);
    let silent = request(address);
    wait_until(|| state.blocked_connections() == 1);
    let (length, _) = read_all(request(address), Duration::ZERO);
    assert!(length < 1_000, "there was room for one response only: {length}");
    wait_until(|| state.stalled_connections() == 1 && state.open_connections() == 0);
    let (length, _) = read_all(request(address), Duration::ZERO);
    assert!(length > BODY_BYTES, "{length}");
    drop(silent);
}

/// Load: a caller takes longer than the stall timeout, but always takes something.
#[test]
fn a_caller_that_reads_slowly_but_steadily_is_served() {
    let (address, state) = start_server(BODY_BYTES * 4);
    let (length, took) = read_all(request(address), PAUSE);
    assert!(length > BODY_BYTES, "{length}");
    assert!(took > STALL_TIMEOUT, "not slow enough: {took:?}");
    assert_eq!(state.stalled_connections(), 0);
}

/// Load: the same, while more than half of the memory is held.
#[test]
fn a_slow_caller_gives_way_while_memory_is_short() {
    let (address, state) = start_server(BODY_BYTES * 3 / 2);
    let (length, _) = read_all(request(address), PAUSE);
    assert!(length < BODY_BYTES, "{length}");
    assert_eq!(state.stalled_connections(), 1);
}
