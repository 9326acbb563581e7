//! HTTP/2 connections of callers: what they are served, and where their limits are.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use actix_http::{Request as HandledRequest, Response, StatusCode};
use bytes::Bytes;
use h2::client::{ResponseFuture, SendRequest};
use h2::{Reason, RecvStream, SendStream};
use http::Request;
use nickellead_limit::ByteBudget;
use nickellead_proxy::{ServeState, bind_listener, read_body, serve_http};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a response may lie untaken, where a test waits for it.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// The same where callers take their responses, however busy the machine is.
const LONG_TIMEOUT: Duration = Duration::from_secs(8);
const BODY_LIMIT: usize = 2_000_000;
/// More than the window of a connection.
const LARGE_BYTES: usize = 500_000;
/// Streams that a connection may have open.
const STREAMS: usize = 100;
const LONG_TIME: Duration = Duration::from_secs(10);

/// Counts a request until its handler is dropped.
struct Running(Arc<AtomicUsize>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Serves requests whose response is their body, or a large one for `/large`; those to `/wait` have none.
fn start_server(stall_timeout: Duration) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = bind_listener(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let running = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&running);
    std::thread::spawn(move || {
        actix_rt::Runtime::new().unwrap().block_on(async move {
            let memory = ByteBudget::new(None);
            let handler = move |mut request: HandledRequest| {
                counted.fetch_add(1, Ordering::SeqCst);
                let guard = Running(Arc::clone(&counted));
                let mut held = memory.admit_body(0).unwrap();
                async move {
                    let _guard = guard;
                    if request.path() == "/wait" {
                        std::future::pending::<()>().await;
                    }
                    let payload = request.take_payload();
                    let body = read_body(payload, None, BODY_LIMIT, &mut held).await.unwrap();
                    let body = match request.path() {
                        "/large" => vec![b'l'; LARGE_BYTES],
                        _ => body.to_vec(),
                    };
                    let mut response = Response::build(StatusCode::OK);
                    response.insert_header(("x-host", request.uri().host().unwrap_or("-")));
                    response.body(body).map_into_boxed_body()
                }
            };
            let state = Arc::new(ServeState::with_stall_timeout(Some(stall_timeout)));
            serve_http(listener, 100, state, handler).await;
        });
    });
    (address, running)
}

/// Runs a test that opens connections.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async { timeout(LONG_TIME, test).await.unwrap() });
}

async fn connect(address: SocketAddr) -> SendRequest<Bytes> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(async move { drop(connection.await) });
    sender.ready().await.unwrap()
}

fn send(
    sender: &mut SendRequest<Bytes>,
    method: &str,
    path: &str,
    is_whole: bool,
) -> (ResponseFuture, SendStream<Bytes>) {
    let uri = format!("http://board.example{path}");
    let request = Request::builder().method(method).uri(uri).body(()).unwrap();
    sender.send_request(request, is_whole).unwrap()
}

/// Sends a whole body as its window allows.
async fn send_body(mut stream: SendStream<Bytes>, body: &[u8]) {
    let mut rest = Bytes::copy_from_slice(body);
    while !rest.is_empty() {
        stream.reserve_capacity(rest.len());
        let room = std::future::poll_fn(|context| stream.poll_capacity(context)).await;
        let piece = rest.split_to(room.unwrap().unwrap().min(rest.len()));
        stream.send_data(piece, rest.is_empty()).unwrap();
    }
}

/// Reads a whole body; `Err` with the reason if the stream was reset.
async fn receive(mut body: RecvStream) -> Result<Vec<u8>, Reason> {
    let mut whole = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|error| error.reason().unwrap())?;
        body.flow_control().release_capacity(chunk.len()).unwrap();
        whole.extend_from_slice(&chunk);
    }
    Ok(whole)
}

#[test]
fn large_bodies_pass_in_both_directions_beside_each_other() {
    let (address, _) = start_server(LONG_TIMEOUT);
    run(async move {
        let mut sender = connect(address).await;
        let body: Vec<u8> = (0..LARGE_BYTES).map(|index| index as u8).collect();
        let (first, first_body) = send(&mut sender, "POST", "/echo", false);
        let (second, second_body) = send(&mut sender, "POST", "/echo", false);
        let (large, _) = send(&mut sender, "GET", "/large", true);
        let (head, _) = send(&mut sender, "HEAD", "/large", true);
        tokio::join!(send_body(first_body, &body), send_body(second_body, &body));
        let (first, second) = (first.await.unwrap(), second.await.unwrap());
        for response in [&first, &second] {
            assert_eq!(response.headers()["x-host"], "board.example");
            assert_eq!(response.headers()["content-length"], LARGE_BYTES.to_string());
        }
        let large = large.await.unwrap();
        // A stream that is not read uses up the window of all.
        let (first, second, large) = tokio::join!(
            receive(first.into_body()),
            receive(second.into_body()),
            receive(large.into_body())
        );
        assert!(first.unwrap() == body && second.unwrap() == body);
        assert_eq!(large.unwrap().len(), LARGE_BYTES);
        let head = head.await.unwrap();
        assert_eq!(head.headers()["content-length"], LARGE_BYTES.to_string());
        assert!(receive(head.into_body()).await.unwrap().is_empty());
    });
}

/// Guards against requests that go on for callers that have reset their streams, or left.
#[test]
fn a_request_ends_with_its_stream_and_with_its_connection() {
    let (address, running) = start_server(STALL_TIMEOUT);
    let counted = Arc::clone(&running);
    run(async move {
        let mut sender = connect(address).await;
        let (_reset, mut stream) = send(&mut sender, "POST", "/wait", false);
        let (_kept, _stream) = send(&mut sender, "GET", "/wait", true);
        wait_for(&counted, 2).await;
        stream.send_reset(Reason::CANCEL);
        wait_for(&counted, 1).await;
        let (response, _) = send(&mut sender, "GET", "/echo", true);
        assert_eq!(response.await.unwrap().status(), 200);
        drop(sender);
    });
    run(async move { wait_for(&running, 0).await });
}

async fn wait_for(running: &AtomicUsize, count: usize) {
    while running.load(Ordering::SeqCst) != count {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against streams that hold their responses for as long as their callers like.
#[test]
fn a_stream_whose_response_is_not_taken_is_reset_and_others_are_served() {
    let (address, _) = start_server(STALL_TIMEOUT);
    run(async move {
        let mut sender = connect(address).await;
        let (large, _) = send(&mut sender, "GET", "/large", true);
        let unread = large.await.unwrap().into_body();
        tokio::time::sleep(STALL_TIMEOUT * 3).await;
        assert_eq!(receive(unread).await, Err(Reason::CANCEL));
        let (response, body) = send(&mut sender, "POST", "/echo", false);
        send_body(body, b"x").await;
        assert_eq!(receive(response.await.unwrap().into_body()).await.unwrap(), b"x");
    });
}

/// Guards against any number of streams on one connection.
#[test]
fn a_caller_is_told_how_many_streams_it_may_open() {
    let (address, running) = start_server(STALL_TIMEOUT);
    run(async move {
        let mut sender = connect(address).await;
        // The caller knows the limit once it has had a response.
        let (response, _) = send(&mut sender, "GET", "/echo", true);
        assert_eq!(response.await.unwrap().status(), 200);
        let mut open = Vec::new();
        for _ in 0..STREAMS {
            sender = sender.ready().await.unwrap();
            open.push(send(&mut sender, "GET", "/wait", true));
        }
        wait_for(&running, STREAMS).await;
        let mut later = sender.clone();
        // It waits at the caller until another one ends.
        let (_waiting, _) = send(&mut later, "GET", "/wait", true);
        tokio::time::sleep(STALL_TIMEOUT).await;
        assert_eq!(running.load(Ordering::SeqCst), STREAMS);
        drop(open);
    });
}
