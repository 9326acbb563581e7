//! Idle connections of callers, and new ones while there are as many as may be.
#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::{Request, Response};
use nickellead_proxy::{ServeState, bind_listener, serve_http};

const MAX_CONNECTIONS: usize = 4;
/// How long requests for `/slow` take.
const SLOW: Duration = Duration::from_millis(2_500);
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

fn start_server() -> (SocketAddr, Arc<ServeState>) {
    let listener = bind_listener("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let state = Arc::new(ServeState::default());
    let shared = Arc::clone(&state);
    let handler = |request: Request| {
        let is_slow = request.path() == "/slow";
        async move {
            if is_slow {
                tokio::time::sleep(SLOW).await;
            }
            Response::ok().set_body("done").map_into_boxed_body()
        }
    };
    std::thread::spawn(move || {
        let serving = serve_http(listener, MAX_CONNECTIONS, shared, handler);
        actix_rt::Runtime::new().unwrap().block_on(serving);
    });
    (address, state)
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream
}

fn send(mut stream: &TcpStream, path: &str) {
    stream.write_all(format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n").as_bytes()).unwrap();
}

fn is_answered(mut stream: &TcpStream) -> bool {
    let mut buffer = [0; 1_024];
    let read = stream.read(&mut buffer).unwrap_or(0);
    buffer[..read].starts_with(b"HTTP/1.1 200")
}

fn exchange(stream: &TcpStream) -> bool {
    send(stream, "/");
    is_answered(stream)
}

/// How long until the server closes a connection.
fn time_to_close(mut stream: &TcpStream) -> Duration {
    let started = Instant::now();
    assert_eq!(stream.read(&mut [0; 64]).unwrap(), 0, "nothing but the end is expected");
    started.elapsed()
}

/// Guards VMs against filling up with connections that callers no longer use: they stayed for a minute
/// whatever the operator declared.
#[test]
fn idle_connections_are_closed_after_the_declared_time() {
    let (address, state) = start_server();
    let (used, unused) = (connect(address), connect(address));
    assert!(exchange(&used));
    state.set_idle_timeout(IDLE_TIMEOUT);
    // The connections were opened under the default; the next ones are closed after the declared time.
    drop((used, unused));
    let (used, unused) = (connect(address), connect(address));
    assert!(exchange(&used));
    for stream in [&used, &unused] {
        let closed = time_to_close(stream);
        assert!(closed < IDLE_TIMEOUT + Duration::from_millis(500), "{closed:?}");
    }
}

/// Guards requests that take longer than connections may be idle.
#[test]
fn a_connection_with_a_request_is_not_idle() {
    let (address, state) = start_server();
    state.set_idle_timeout(IDLE_TIMEOUT);
    let stream = connect(address);
    send(&stream, "/slow");
    assert!(is_answered(&stream));
}

/// Guards callers of a VM that is as full as it may be: a new connection takes the place of the one that was
/// idle for longest, and no request is lost to it.
#[test]
fn a_new_connection_takes_the_place_of_the_idlest_one() {
    let (address, state) = start_server();
    let busy = connect(address);
    send(&busy, "/slow");
    let idle: Vec<TcpStream> = (1..MAX_CONNECTIONS).map(|_| connect(address)).collect();
    idle.iter().for_each(|stream| assert!(exchange(stream)));
    std::thread::sleep(Duration::from_millis(1_200));
    assert!(exchange(&idle[0]), "the first one is in use");
    let new = connect(address);
    assert!(exchange(&new), "the new connection is served");
    assert!(!state.is_full());
    assert!(is_answered(&busy), "the request goes on");
    assert!(exchange(&idle[0]));
    let mut closed = idle[1..].iter().filter(|stream| !exchange(stream));
    assert_eq!(closed.by_ref().count(), 1);
}

/// Guards the load balancer against sending callers to a VM that drops their connections.
#[test]
fn a_server_whose_connections_are_all_in_use_is_full() {
    let (address, state) = start_server();
    let busy: Vec<TcpStream> = (0..MAX_CONNECTIONS).map(|_| connect(address)).collect();
    busy.iter().for_each(|stream| send(stream, "/slow"));
    std::thread::sleep(Duration::from_millis(200));
    assert!(!state.is_full());
    let dropped = connect(address);
    assert!(time_to_close(&dropped) < Duration::from_millis(500));
    assert!(state.is_full());
    assert!(busy.iter().all(is_answered));
    std::thread::sleep(Duration::from_millis(1_000));
    assert!(!state.is_full(), "callers are to come back");
}

/// Guards against callers that keep all connections by sending one request after the other.
#[test]
fn callers_that_never_rest_give_way_to_a_new_one() {
    let (address, _state) = start_server();
    let restless: Vec<TcpStream> = (0..MAX_CONNECTIONS).map(|_| connect(address)).collect();
    assert!(restless.iter().all(exchange));
    let callers: Vec<_> = restless
        .into_iter()
        .map(|stream| {
            std::thread::spawn(move || {
                let end = Instant::now() + Duration::from_secs(4);
                while Instant::now() < end && is_still_served(&stream) {}
            })
        })
        .collect();
    // Each connection without room is closed at once.
    let is_served = (0..20).any(|_| {
        std::thread::sleep(Duration::from_millis(50));
        is_still_served(&connect(address))
    });
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    assert!(is_served);
}

/// Like [`exchange`], on a connection that may be closed.
fn is_still_served(mut stream: &TcpStream) -> bool {
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").is_ok() && is_answered(stream)
}
