//! Requests that the server answers or drops without handing them to the request path.
//!
//! What it answers by itself, and that a connection ended, must not hide that a request was handed on.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_http::{Request, Response};
use nickellead_proxy::{ServeState, bind_listener, serve_http};

/// Longer than the server waits for the first head of a connection.
const LONG_TIME: Duration = Duration::from_millis(5_600);
const READ_TIMEOUT: Duration = Duration::from_secs(12);

/// A server that records the paths of the requests that it hands on.
struct RecordingServer {
    address: SocketAddr,
    state: Arc<ServeState>,
    handled: Arc<Mutex<Vec<String>>>,
}

impl RecordingServer {
    /// Starts a server whose requests take `LONG_TIME` for the path `/slow`, and stop its thread as
    /// long for `/block`.
    fn start() -> Self {
        let listener = bind_listener(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(ServeState::default());
        let handled = Arc::new(Mutex::new(Vec::new()));
        let (served, record) = (Arc::clone(&state), Arc::clone(&handled));
        std::thread::spawn(move || {
            actix_rt::Runtime::new().unwrap().block_on(async move {
                let handler = move |request: Request| {
                    let path = request.path().to_owned();
                    record.lock().unwrap().push(path.clone());
                    async move {
                        match path.as_str() {
                            "/slow" => tokio::time::sleep(LONG_TIME).await,
                            "/block" => std::thread::sleep(LONG_TIME),
                            _ => {}
                        }
                        Response::ok().set_body(path).map_into_boxed_body()
                    }
                };
                serve_http(listener, 100, served, handler).await;
            });
        });
        Self { address, state, handled }
    }

    fn connect(&self, bytes: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        stream.write_all(bytes.as_bytes()).unwrap();
        stream
    }

    fn has_handled(&self, path: &str) -> bool {
        self.handled.lock().unwrap().iter().any(|handled| handled == path)
    }

    fn wait_until_handled(&self, path: &str) {
        let end = Instant::now() + READ_TIMEOUT;
        while !self.has_handled(path) {
            assert!(Instant::now() < end, "{path} was not handled");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

fn head(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

/// What arrives on a connection until its end, or until nothing has come for a while.
fn read_all(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    // A connection that was reset, or that stays open, returns what came before.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards the promise of a 408: the timer of a slow head must not answer a request that is being served,
/// nor one that is served later.
#[test]
fn a_slow_head_behind_a_request_is_not_answered_for_that_request() {
    let server = RecordingServer::start();
    let slow_head = head("/next");
    let (begin, rest) = slow_head.split_at(10);
    let mut stream = server.connect(&format!("{}{begin}", head("/slow")));
    server.wait_until_handled("/slow");
    std::thread::sleep(LONG_TIME + Duration::from_millis(200));
    let closing = rest.replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
    stream.write_all(closing.as_bytes()).unwrap();
    let responses = read_all(stream);
    assert!(responses.starts_with("HTTP/1.1 200"), "{responses}");
    assert!(responses.contains("/slow"), "{responses}");
    assert!(!responses.contains("HTTP/1.1 408"), "{responses}");
    assert_eq!(responses.contains("/next"), server.has_handled("/next"), "{responses}");
}

/// Guards the promise of a 408 on a thread that stood still: the timer of a head has expired, and the rest
/// of the head has arrived.
#[test]
fn a_request_that_is_answered_with_408_was_not_handed_on() {
    let server = RecordingServer::start();
    let callers: Vec<(String, TcpStream, String)> = (0..20)
        .map(|number| {
            let path = format!("/late-{number}");
            let whole = head(&path).replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
            let (begin, rest) = whole.split_at(8);
            (path, server.connect(begin), rest.to_owned())
        })
        .collect();
    // The server has read the beginning of each head.
    std::thread::sleep(Duration::from_millis(300));
    let _blocking = server.connect(&head("/block"));
    server.wait_until_handled("/block");
    let mut refused = 0;
    let callers: Vec<(String, TcpStream)> = callers
        .into_iter()
        .map(|(path, mut stream, rest)| {
            stream.write_all(rest.as_bytes()).unwrap();
            (path, stream)
        })
        .collect();
    for (path, stream) in callers {
        let response = read_all(stream);
        let was_handled = server.has_handled(&path);
        let is_served = response.starts_with("HTTP/1.1 200");
        assert_eq!(was_handled, is_served, "{path}: {response}");
        refused += usize::from(response.starts_with("HTTP/1.1 408"));
    }
    println!("{refused} of 20 heads were answered with 408");
}

/// A request that followed another one on a connection was still handed on after the response to the
/// first one had said that the connection closes: its caller takes it for unread, and may send it again.
#[test]
fn no_request_is_handed_on_after_a_response_that_closes_its_connection() {
    let server = RecordingServer::start();
    server.state.drain();
    let stream = server.connect(&format!("{}{}", head("/first"), head("/second")));
    let responses = read_all(stream);
    assert!(responses.contains("connection: close"), "{responses}");
    assert!(responses.contains("/first"), "{responses}");
    assert!(!server.has_handled("/second"), "{responses}");
}

/// A thread that stood still handed on the requests of callers that had left meanwhile: targets ran them
/// for nobody.
#[test]
fn a_request_whose_caller_has_left_before_it_is_read_is_not_handed_on() {
    let server = RecordingServer::start();
    // Connections that the server knows, and one that it accepts too late.
    let mut callers: Vec<TcpStream> = (0..10).map(|_| server.connect(&head("/warm"))).collect();
    server.wait_until_handled("/warm");
    // Half of them have read the response before, so that they end the connection without a reset.
    let mut bytes = [0; 4_096];
    callers[..5].iter_mut().for_each(|stream| assert!(stream.read(&mut bytes).unwrap() > 0));
    std::thread::sleep(Duration::from_millis(100));
    let _blocking = server.connect(&head("/block"));
    server.wait_until_handled("/block");
    callers.push(TcpStream::connect(server.address).unwrap());
    for (number, stream) in callers.iter_mut().enumerate() {
        stream.write_all(head(&format!("/left-{number}")).as_bytes()).unwrap();
    }
    drop(callers);
    let last = server.connect(&head("/last"));
    server.wait_until_handled("/last");
    drop(last);
    let handled = server.handled.lock().unwrap().clone();
    let left = handled.iter().filter(|path| path.starts_with("/left"));
    assert_eq!(left.count(), 0, "{handled:?}");
}
