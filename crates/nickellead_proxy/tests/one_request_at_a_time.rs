//! Requests that follow each other on one connection, however their bytes arrive.
#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use actix_http::{ConnectionType, Request, Response, StatusCode};
use nickellead_limit::{ByteBudget, MemoryBounds};
use nickellead_proxy::{
    ServeBounds, ServeState, bind_listener, error_response, read_body, serve_http,
};

const BODY_LIMIT: usize = 1_000_000;
/// How long nothing of a body may arrive, where a test waits for it.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// The same where bodies go on arriving, however busy the machine is.
const LONG_TIMEOUT: Duration = Duration::from_secs(2);
const SEED: u64 = 89;
/// Room for a few connections, and for bodies of the limit.
const BOUNDS: MemoryBounds = MemoryBounds {
    shared: 8_000_000,
    single: 8_000_000,
    connections: 256 * 1024,
    total: 16_000_000,
};

/// Counts a request until its handler is dropped.
struct Running(Arc<AtomicUsize>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Serves requests whose response is their path and their body; those to `/wait` have none. Returns the
/// number of requests in progress.
fn start_server(stall_timeout: Duration) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = bind_listener(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let running = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&running);
    std::thread::spawn(move || {
        actix_rt::Runtime::new().unwrap().block_on(async move {
            let memory = ByteBudget::with_bounds(BOUNDS);
            let bounds = ServeBounds::new(100, memory.clone());
            let handler = move |mut request: Request| {
                counted.fetch_add(1, Ordering::SeqCst);
                let guard = Running(Arc::clone(&counted));
                let mut held = memory.admit_body(0).unwrap();
                async move {
                    let _guard = guard;
                    if request.path() == "/wait" {
                        std::future::pending::<()>().await;
                    }
                    let path = request.path().to_owned();
                    let payload = request.take_payload();
                    match read_body(payload, None, BODY_LIMIT, &mut held).await {
                        Ok(body) => {
                            let text = [path.as_bytes(), b"=", &body.to_vec(), b";"].concat();
                            Response::build(StatusCode::OK).body(text).map_into_boxed_body()
                        }
                        Err(kind) => {
                            let mut response = error_response(kind);
                            response.head_mut().set_connection_type(ConnectionType::Close);
                            response
                        }
                    }
                }
            };
            let state = Arc::new(ServeState::with_stall_timeout(Some(stall_timeout)));
            serve_http(listener, bounds, state, handler).await;
        });
    });
    (address, running)
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// A body of random bytes, many of which end lines.
fn random_body(rng: &mut fastrand::Rng) -> Vec<u8> {
    let most = [0, 1, 10, 300, 40_000][rng.usize(..5)];
    let length = rng.usize(..=most);
    (0..length).map(|_| b"\r\n\r\nab0"[rng.usize(..7)]).collect()
}

/// A chunked body, with extensions and trailers now and then.
fn encode_chunks(body: &[u8], rng: &mut fastrand::Rng) -> Vec<u8> {
    let mut encoded = Vec::new();
    let mut rest = body;
    while !rest.is_empty() {
        let (chunk, after) = rest.split_at(rng.usize(1..=rest.len()));
        let extension = if rng.bool() { ";a=b" } else { "" };
        encoded.extend_from_slice(format!("{:x}{extension}\r\n", chunk.len()).as_bytes());
        encoded.extend_from_slice(chunk);
        encoded.extend_from_slice(b"\r\n");
        rest = after;
    }
    encoded.extend_from_slice(b"0\r\n\r\n");
    encoded
}

/// A request, and the response that it gets.
fn random_request(number: usize, is_last: bool, rng: &mut fastrand::Rng) -> (Vec<u8>, Vec<u8>) {
    let path = format!("/{number}");
    let close = if is_last { "connection: close\r\n" } else { "" };
    let body = random_body(rng);
    let mut request = format!("POST {path} HTTP/1.1\r\nhost: a\r\n{close}").into_bytes();
    let (framing, encoded) = match rng.bool() {
        true => (format!("content-length: {}", body.len()), body.clone()),
        false => ("transfer-encoding: chunked".to_owned(), encode_chunks(&body, rng)),
    };
    request.extend_from_slice(format!("{framing}\r\n\r\n").as_bytes());
    request.extend_from_slice(&encoded);
    (request, [path.as_bytes(), b"=", &body, b";"].concat())
}

/// The bodies of all responses, one after the other.
fn read_bodies(mut stream: TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let mut bodies = Vec::new();
    let mut rest = &bytes[..];
    while let Some(end) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
        let head = String::from_utf8_lossy(&rest[..end]).to_ascii_lowercase();
        assert!(head.starts_with("http/1.1 200"), "{head}");
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.unwrap().trim().parse().unwrap();
        bodies.extend_from_slice(&rest[end + 4..end + 4 + length]);
        rest = &rest[end + 4 + length..];
    }
    bodies
}

/// Guards against bytes that are lost, doubled or taken for another request's where requests follow each
/// other closely, in pieces of any size.
#[test]
fn each_of_several_requests_on_a_connection_gets_its_own_response() {
    let (address, _) = start_server(LONG_TIMEOUT);
    let mut rng = fastrand::Rng::with_seed(SEED);
    for round in 0..150 {
        let count = rng.usize(1..8);
        let pairs: Vec<_> = (0..count)
            .map(|number| random_request(number, number + 1 == count, &mut rng))
            .collect();
        let (requests, responses): (Vec<_>, Vec<_>) = pairs.into_iter().unzip();
        let bytes = requests.concat();
        let mut stream = connect(address);
        let mut writer = stream.try_clone().unwrap();
        let piece = [1, 7, 100, 5_000, usize::MAX][rng.usize(..5)].max(bytes.len() / 3_000);
        let writing = std::thread::spawn(move || {
            bytes.chunks(piece.max(1)).for_each(|piece| writer.write_all(piece).unwrap());
        });
        let bodies = read_bodies(stream.try_clone().unwrap());
        writing.join().unwrap();
        stream.flush().unwrap();
        let (expected, found) = (responses.concat(), bodies);
        assert!(found == expected, "round {round}: {} of {} bytes", found.len(), expected.len());
    }
}

fn wait_until(condition: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(5);
    while !condition() {
        assert!(Instant::now() < end);
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against requests that go on for callers that have left.
#[test]
fn a_caller_that_leaves_ends_its_request() {
    let (address, running) = start_server(LONG_TIMEOUT);
    let mut stream = connect(address);
    stream.write_all(b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    wait_until(|| running.load(Ordering::SeqCst) == 1);
    drop(stream);
    wait_until(|| running.load(Ordering::SeqCst) == 0);
}

/// Guards against a connection that is charged for the heads of earlier requests, or closed for them while it
/// is idle.
#[test]
fn a_connection_may_carry_any_number_of_requests_and_rest_between_them() {
    let (address, _) = start_server(LONG_TIMEOUT);
    let mut stream = connect(address);
    for round in 0..2 {
        for _ in 0..200 {
            let request =
                format!("GET /fast HTTP/1.1\r\nhost: a\r\nx-long: {}\r\n\r\n", "x".repeat(900));
            stream.write_all(request.as_bytes()).unwrap();
            let mut response = Vec::new();
            while !response.ends_with(b"/fast=;") {
                let mut bytes = [0; 1_000];
                let length = stream.read(&mut bytes).unwrap();
                assert!(length > 0, "the connection was closed");
                response.extend_from_slice(&bytes[..length]);
            }
        }
        if round == 0 {
            // Longer than a head may take.
            std::thread::sleep(Duration::from_millis(6_500));
        }
    }
}

/// Connections for which [`BOUNDS`] has room.
const MOST_CONNECTIONS: usize = 8;

/// Guards against new callers that are turned away while idle connections take the memory.
#[test]
fn an_idle_connection_makes_room_for_a_new_one() {
    let (address, _) = start_server(LONG_TIMEOUT);
    let exchange = |mut stream: &TcpStream| {
        stream.write_all(b"GET /fast HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
        let mut bytes = [0; 1_000];
        stream.read(&mut bytes).unwrap()
    };
    let mut idle: Vec<TcpStream> = (0..MOST_CONNECTIONS).map(|_| connect(address)).collect();
    assert!(idle.iter().all(|stream| exchange(stream) > 0));
    // A connection counts as idle after a second.
    std::thread::sleep(Duration::from_millis(1_100));
    let later: Vec<TcpStream> = (0..MOST_CONNECTIONS).map(|_| connect(address)).collect();
    assert!(later.iter().all(|stream| exchange(stream) > 0));
    let closed = idle.iter_mut().filter_map(|stream| stream.read(&mut [0; 10]).ok());
    assert_eq!(closed.filter(|length| *length == 0).count(), MOST_CONNECTIONS);
}

/// Guards against a refusal that its caller never sees because it is still sending, and against a connection
/// that stays open for a body without end.
#[test]
fn a_caller_that_still_sends_gets_its_refusal_and_the_connection_ends() {
    let (address, _) = start_server(LONG_TIMEOUT);
    for framing in ["content-length: 90000000", "transfer-encoding: chunked"] {
        let mut stream = connect(address);
        let head = format!("POST /large HTTP/1.1\r\nhost: a\r\n{framing}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        let mut chunk = b"186a0\r\n".to_vec();
        chunk.resize(chunk.len() + 100_000, b'x');
        chunk.extend_from_slice(b"\r\n");
        // The refusal comes after a million bytes; the other side ends the connection some time later.
        let mut sent = 0;
        while sent < 30 && stream.write_all(&chunk).is_ok() {
            sent += 1;
        }
        assert_eq!(sent, 30, "{framing}: the connection ended at once");
        let mut response = vec![0; 100];
        let length = stream.read(&mut response).unwrap();
        let response = String::from_utf8_lossy(&response[..length]).into_owned();
        assert!(response.starts_with("HTTP/1.1 413"), "{framing}: {response}");
        let end = Instant::now() + Duration::from_secs(5);
        while stream.write_all(&chunk).is_ok() {
            assert!(Instant::now() < end, "{framing}: the connection stays open");
        }
    }
}

/// Guards against bodies that stop arriving and hold memory for as long as their callers like.
#[test]
fn a_body_of_which_nothing_arrives_is_refused_as_late() {
    let (address, running) = start_server(STALL_TIMEOUT);
    for framing in ["content-length: 9", "transfer-encoding: chunked"] {
        let mut stream = connect(address);
        let head = format!("POST /late HTTP/1.1\r\nhost: a\r\n{framing}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        assert!(response.starts_with("HTTP/1.1 408"), "{response}");
        assert!(response.contains("nickellead-error: body-late"), "{response}");
        assert!(response.contains("nickellead-outcome: not-run"), "{response}");
    }
    wait_until(|| running.load(Ordering::SeqCst) == 0);
}

/// Guards against an honest slow caller that is taken for one that stopped.
#[test]
fn a_body_that_arrives_slowly_is_read() {
    let (address, _) = start_server(LONG_TIMEOUT);
    let mut stream = connect(address);
    let head = "POST /slow HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 8\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    for _ in 0..8 {
        std::thread::sleep(LONG_TIMEOUT / 6);
        stream.write_all(b"x").unwrap();
    }
    assert_eq!(read_bodies(stream), b"/slow=xxxxxxxx;");
}
