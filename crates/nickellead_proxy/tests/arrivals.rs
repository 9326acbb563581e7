//! When requests arrived that lay unread while the server's thread was busy.
#![allow(clippy::unwrap_used)]

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use actix_http::{Request, Response};
use nickellead_proxy::{ServeState, arrival_of, bind_listener, serve_http};

/// How long the server's thread is busy.
const BUSY: Duration = Duration::from_millis(400);
/// Most time for which a request lies unread at a thread that has nothing else to do, beside other work on
/// the machine.
const MOST_UNREAD_MILLIS: u64 = 150;
/// When the requests are sent that lie unread, after the thread became busy.
const HEAD_START: Duration = Duration::from_millis(100);

/// Starts a server that responds with for how many milliseconds a request lay unread; its thread is busy
/// after a request for `/busy`.
fn start_server() -> SocketAddr {
    let (listener, address) = open_listener();
    serve(listener);
    assert!(exchange(&connect(address), "/") < MOST_UNREAD_MILLIS);
    address
}

fn open_listener() -> (TcpListener, SocketAddr) {
    let listener = bind_listener("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    // The system begins to note times of arrival a moment after it was asked to.
    std::thread::sleep(HEAD_START);
    (listener, address)
}

fn serve(listener: TcpListener) {
    let handler = |request: Request| {
        let unread = arrival_of(&request).elapsed();
        let is_busy = request.path() == "/busy";
        async move {
            if is_busy {
                std::thread::sleep(BUSY);
            }
            Response::ok().set_body(unread.as_millis().to_string()).map_into_boxed_body()
        }
    };
    std::thread::spawn(move || {
        let state = Arc::new(ServeState::default());
        let serving = serve_http(listener, 100, state, handler);
        actix_rt::Runtime::new().unwrap().block_on(serving);
    });
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

fn head(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

/// Reads one response and returns its body.
fn read_millis(reader: &mut impl BufRead) -> u64 {
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    String::from_utf8(body).unwrap().parse().unwrap()
}

fn exchange(mut stream: &TcpStream, path: &str) -> u64 {
    stream.write_all(head(path).as_bytes()).unwrap();
    read_millis(&mut BufReader::new(stream))
}

/// Makes the server's thread busy, and returns shortly after it has become so.
fn keep_busy(address: SocketAddr) -> TcpStream {
    let mut stream = connect(address);
    stream.write_all(head("/busy").as_bytes()).unwrap();
    std::thread::sleep(HEAD_START);
    stream
}

/// Asserts that a request lay unread from [`HEAD_START`] until the thread was free.
fn assert_unread(millis: u64) {
    assert!((200..1_000).contains(&millis), "{millis} ms");
}

#[test]
fn a_request_that_is_read_at_once_has_just_arrived() {
    let address = start_server();
    let stream = connect(address);
    for _ in 0..3 {
        let millis = exchange(&stream, "/");
        assert!(millis < MOST_UNREAD_MILLIS, "{millis} ms");
    }
}

/// Guards callers whose connections wait to be accepted while a VM stands still.
#[test]
fn a_request_on_a_new_connection_lay_unread_while_the_thread_was_busy() {
    let address = start_server();
    let _busy = keep_busy(address);
    let streams = [connect(address), connect(address)];
    for mut stream in &streams {
        stream.write_all(head("/").as_bytes()).unwrap();
    }
    for stream in &streams {
        assert_unread(read_millis(&mut BufReader::new(stream)));
    }
}

/// Guards callers of a VM that is stopped while it starts.
#[test]
fn a_request_lay_unread_since_before_the_server_began_to_serve() {
    let (listener, address) = open_listener();
    let mut stream = connect(address);
    stream.write_all(head("/").as_bytes()).unwrap();
    std::thread::sleep(BUSY);
    serve(listener);
    let millis = read_millis(&mut BufReader::new(&stream));
    assert!((400..1_000).contains(&millis), "{millis} ms");
}

#[test]
fn a_request_on_a_kept_connection_lay_unread_while_the_thread_was_busy() {
    let address = start_server();
    let stream = connect(address);
    assert!(exchange(&stream, "/") < MOST_UNREAD_MILLIS);
    let _busy = keep_busy(address);
    assert_unread(exchange(&stream, "/"));
}

#[test]
fn requests_that_are_read_together_lay_unread_together() {
    let address = start_server();
    let mut stream = connect(address);
    assert!(exchange(&stream, "/") < MOST_UNREAD_MILLIS);
    let _busy = keep_busy(address);
    stream.write_all([head("/"), head("/")].concat().as_bytes()).unwrap();
    let mut reader = BufReader::new(&stream);
    assert_unread(read_millis(&mut reader));
    assert_unread(read_millis(&mut reader));
}

/// Guards callers whose requests take long to arrive: that time is their own.
#[test]
fn a_request_in_segments_arrives_with_the_last_one() {
    let address = start_server();
    let mut stream = connect(address);
    let whole = head("/");
    let (first, last) = whole.split_at(10);
    stream.write_all(first.as_bytes()).unwrap();
    std::thread::sleep(BUSY);
    stream.write_all(last.as_bytes()).unwrap();
    let millis = read_millis(&mut BufReader::new(&stream));
    assert!(millis < MOST_UNREAD_MILLIS, "{millis} ms");
}

#[actix_rt::test]
async fn a_request_over_http2_lay_unread_while_the_thread_was_busy() {
    let address = start_server();
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    actix_rt::spawn(async move { connection.await.unwrap() });
    let get = async || {
        let mut sender = sender.clone().ready().await.unwrap();
        let request = http::Request::get("http://a/").body(()).unwrap();
        let (response, _) = sender.send_request(request, true).unwrap();
        let mut body = response.await.unwrap().into_body();
        let bytes = body.data().await.unwrap().unwrap();
        String::from_utf8(bytes.to_vec()).unwrap().parse::<u64>().unwrap()
    };
    assert!(get().await < MOST_UNREAD_MILLIS);
    let _busy = keep_busy(address);
    assert_unread(get().await);
}
