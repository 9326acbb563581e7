//! Responses to callers when targets fail, time out or send malformed bytes.
//!
//! The target is a raw socket that sends exactly the bytes that a test specifies.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use actix_http::Request;
use nickellead_api::{DeclaredConfig, DeclaredService, DeclaredTarget};
use nickellead_core::{Epoch, Name, ServiceKey, ShardIndex, TargetKey, Version};
use nickellead_lease::{RouteChange, ShardOwner};
use nickellead_proxy::{
    ProxyLimits, ProxyMetrics, ProxyWorker, ServeState, WorkerUpdate, bind_listener, serve_http,
};

/// Path of a request that keeps the thread of a worker busy.
const BUSY_PATH: &str = "/busy";
/// For how long: above the deadline of all operations.
const BUSY: Duration = Duration::from_millis(700);

/// Behavior of a raw target on one connection, given the request that it read.
type Script = Box<dyn Fn(&mut TcpStream, &str) + Send>;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// Starts a raw target; returns its address and the requests that it reads.
fn raw_target(script: Script) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, requests) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut bytes = [0; 4_096];
            let read = stream.read(&mut bytes).unwrap_or(0);
            let request = String::from_utf8_lossy(&bytes[..read]).into_owned();
            script(&mut stream, &request);
            if sender.send(request).is_err() {
                return;
            }
        }
    });
    (address, requests)
}

fn declare(target: SocketAddr) -> DeclaredConfig {
    let spec = serde_json::from_str(
        r#"{"zones": ["zone-a"], "shards": 1, "key": {"from": "path", "segment": 2},
            "body_limit": 64,
            "operations": [{"name": "book", "method": "POST", "repeat": "once",
                            "deadline_ms": 400},
                           {"name": "list", "method": "GET", "repeat": "repeatable",
                            "deadline_ms": 400}]}"#,
    );
    let target_spec = format!(
        r#"{{"service": "boards", "zone": "zone-a", "address": "{target}", "slots": 4,
            "connections": 130}}"#
    );
    DeclaredConfig {
        revision: Version(1),
        services: vec![DeclaredService {
            name: name("boards"),
            version: Version(1),
            spec: spec.unwrap(),
        }],
        targets: vec![DeclaredTarget {
            name: name("board-0"),
            version: Version(1),
            spec: serde_json::from_str(&target_spec).unwrap(),
        }],
    }
}

/// Runs a worker in front of one target until the test process ends.
fn router(target: SocketAddr) -> SocketAddr {
    let owner = ShardOwner::Target { target: TargetKey::from(&name("board-0")), epoch: Epoch(3) };
    let service = ServiceKey::from(&name("boards"));
    let change = RouteChange { service, shard: ShardIndex(0), owner };
    let config = WorkerUpdate::Config(Arc::new(declare(target)));
    run_worker(vec![config, WorkerUpdate::Routes(vec![change].into())])
}

/// Runs a worker with these updates until the test process ends.
fn run_worker(updates: Vec<WorkerUpdate>) -> SocketAddr {
    let listener = bind_listener(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        actix_rt::Runtime::new().unwrap().block_on(async move {
            let worker = ProxyWorker::new(ProxyLimits::default(), 1, ProxyMetrics::default());
            updates.iter().for_each(|update| worker.update(update));
            let handler = move |request| {
                let worker = std::rc::Rc::clone(&worker);
                if Request::path(&request) == BUSY_PATH {
                    std::thread::sleep(BUSY);
                }
                async move { worker.handle(request).await }
            };
            serve_http(listener, 100, Arc::new(ServeState::default()), handler).await;
        });
    });
    address
}

/// Guards against a VM that has just started reporting that the service does not exist.
#[test]
fn a_worker_without_declarations_responds_not_configured() {
    let response = book(run_worker(Vec::new()));
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("not-configured") && response.contains("retry-after"), "{response}");
}

fn send(router: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(router).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = Vec::new();
    // A lost connection returns the bytes before it; one that hangs fails the test.
    if let Err(error) = stream.read_to_end(&mut response) {
        assert_ne!(error.kind(), std::io::ErrorKind::WouldBlock, "the router holds the connection");
    }
    String::from_utf8_lossy(&response).into_owned()
}

fn book(router: SocketAddr) -> String {
    send(router, "POST /boards/book/key-1 HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n")
}

/// A complete response to a request, with the identifier of the request.
fn complete_response(request: &str) -> String {
    let id = request.lines().find_map(|line| line.strip_prefix("nickellead-request-id: "));
    format!(
        "HTTP/1.1 200 OK\r\nnickellead-request-id: {}\r\ncontent-length: 5\r\n\r\nhello",
        id.unwrap_or("0")
    )
}

fn is_not_run(response: &str) -> bool {
    response.contains("nickellead-outcome: not-run")
}

/// Once a request was written to a connection, only the target can tell that it did not run, so a
/// lost connection must leave the outcome unknown.
#[test]
fn a_truncated_response_is_never_complete_and_never_not_run() {
    let length = complete_response("nickellead-request-id: 1048576").len();
    let (sender, cuts) = channel::<usize>();
    let cuts = std::sync::Mutex::new(cuts);
    let (target, requests) = raw_target(Box::new(move |stream, request| {
        let cut = cuts.lock().unwrap().recv().unwrap();
        let response = complete_response(request);
        let _ = stream.write_all(&response.as_bytes()[..cut.min(response.len())]);
    }));
    let router = router(target);
    for cut in 0..length {
        sender.send(cut).unwrap();
        let response = book(router);
        let request = requests.recv_timeout(Duration::from_secs(5)).unwrap();
        assert!(!is_not_run(&response), "cut at {cut}: {response}");
        if cut < complete_response(&request).len() {
            assert!(!response.ends_with("hello"), "cut at {cut}: {response}");
        }
    }
    sender.send(usize::MAX).unwrap();
    let response = book(router);
    assert!(response.ends_with("hello"), "{response}");
}

/// Only the last chunk marks the end of a chunked response.
#[test]
fn a_truncated_chunked_response_is_never_complete() {
    let chunks = "5\r\nhello\r\n0\r\n\r\n";
    let (sender, cuts) = channel::<usize>();
    let cuts = std::sync::Mutex::new(cuts);
    let (target, requests) = raw_target(Box::new(move |stream, request| {
        let cut = cuts.lock().unwrap().recv().unwrap();
        let head =
            complete_response(request).replace("content-length: 5", "transfer-encoding: chunked");
        let head = head.strip_suffix("hello").unwrap();
        let _ = stream.write_all(format!("{head}{}", &chunks[..cut]).as_bytes());
    }));
    let router = router(target);
    for cut in 0..chunks.len() {
        sender.send(cut).unwrap();
        let response = book(router);
        requests.recv_timeout(Duration::from_secs(5)).unwrap();
        assert!(!response.ends_with("0\r\n\r\n"), "cut at {cut}: {response}");
    }
    sender.send(chunks.len()).unwrap();
    assert!(book(router).ends_with("0\r\n\r\n"));
}

#[test]
fn a_refused_connection_is_not_run() {
    let unused = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let response = book(router(unused));
    assert!(is_not_run(&response), "{response}");
    assert!(response.contains("nickellead-error: target-unreachable"), "{response}");
    assert!(response.contains("retry-after:"), "{response}");
}

#[test]
fn a_response_with_another_request_id_is_rejected() {
    let (target, _requests) = raw_target(Box::new(|stream, _| {
        let other = complete_response("nickellead-request-id: 17");
        let _ = stream.write_all(other.as_bytes());
    }));
    let response = book(router(target));
    assert!(response.contains("nickellead-error: answer-malformed"), "{response}");
    assert!(!response.contains("hello"), "{response}");
}

#[test]
fn a_silent_target_times_out_at_the_deadline_as_unknown() {
    let (sender, held) = channel::<TcpStream>();
    let (target, _requests) = raw_target(Box::new(move |stream, _| {
        sender.send(stream.try_clone().unwrap()).unwrap();
    }));
    let response = book(router(target));
    assert!(response.contains("nickellead-error: answer-late"), "{response}");
    assert!(response.contains("nickellead-outcome: unknown"), "{response}");
    drop(held);
}

#[test]
fn a_response_that_stalls_in_its_body_is_aborted_at_the_deadline() {
    let (sender, held) = channel::<TcpStream>();
    let (target, _requests) = raw_target(Box::new(move |stream, request| {
        let part = complete_response(request);
        let _ = stream.write_all(part.strip_suffix("lo").unwrap().as_bytes());
        sender.send(stream.try_clone().unwrap()).unwrap();
    }));
    let response = book(router(target));
    assert!(response.ends_with("hel"), "not aborted: {response}");
    drop(held);
}

#[test]
fn garbage_from_a_target_is_an_error_kind() {
    let (target, _requests) = raw_target(Box::new(|stream, _| {
        let _ = stream.write_all(b"\x00\xff no http at all\r\n\r\n");
    }));
    let response = book(router(target));
    assert!(response.contains("nickellead-outcome: unknown"), "{response}");
}

/// Guards against a caller that gets a status that no response can have, such as 000, as an answer.
#[test]
fn an_impossible_status_from_a_target_is_no_answer() {
    let lines = [
        "000 Odd",
        "000",
        "099 Odd",
        "0 Odd",
        "20 Odd",
        "0200 OK",
        "2000 OK",
        "-200 OK",
        "+200 OK",
        "20x OK",
        "100 Continue",
        "101 Switching Protocols",
        "102 Processing",
        "103 Early Hints",
        "199 Odd",
    ];
    for line in lines {
        let (target, _requests) = raw_target(Box::new(move |stream, request| {
            let response = complete_response(request);
            let (_, rest) = response.split_once("\r\n").unwrap();
            let _ = stream.write_all(format!("HTTP/1.1 {line}\r\n{rest}").as_bytes());
        }));
        let response = book(router(target));
        let is_error =
            ["502", "504"].iter().any(|one| response.contains(&format!("HTTP/1.1 {one} ")));
        assert!(is_error, "{line}: {response}");
        assert!(response.contains("nickellead-outcome: unknown"), "{line}: {response}");
    }
}

#[test]
fn a_refusal_is_not_run_and_internal_headers_are_not_forwarded() {
    let (target, requests) = raw_target(Box::new(|stream, request| {
        let id = request.lines().find_map(|line| line.strip_prefix("nickellead-request-id: "));
        let id = id.unwrap();
        let refusal = format!(
            "HTTP/1.1 503 Busy\r\nnickellead-request-id: {id}\r\nnickellead-refused: busy\r\n\
             connection: close\r\ncontent-length: 0\r\n\r\n"
        );
        let _ = stream.write_all(refusal.as_bytes());
    }));
    let router = router(target);
    let forged = "POST /boards/book/key-1 HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\
                  nickellead-epoch: 99\r\nnickellead-shard: 7\r\n\r\n";
    let response = send(router, forged);
    assert!(is_not_run(&response), "{response}");
    assert!(response.contains("nickellead-error: target-busy"), "{response}");
    let request = requests.recv_timeout(Duration::from_secs(5)).unwrap();
    assert!(request.contains("nickellead-epoch: 3\r\n"), "{request}");
    assert!(
        !request.contains("epoch: 99"),
        "a caller's internal header reached a target: {request}"
    );
}

#[test]
fn invalid_requests_are_rejected_and_reach_no_target() {
    let (target, requests) = raw_target(Box::new(|stream, request| {
        let _ = stream.write_all(complete_response(request).as_bytes());
    }));
    let router = router(target);
    let long_key = "k".repeat(600);
    let head = "host: t\r\nconnection: close\r\n";
    let cases = [
        (format!("POST /boards/book HTTP/1.1\r\n{head}\r\n"), "key-missing"),
        (format!("POST /boards/book/{long_key} HTTP/1.1\r\n{head}\r\n"), "key-too-long"),
        (format!("POST /nothing/book/k HTTP/1.1\r\n{head}\r\n"), "unknown-service"),
        (format!("GET /boards/book/k HTTP/1.1\r\n{head}\r\n"), "unknown-operation"),
        (
            format!("POST /boards/book/k HTTP/1.1\r\n{head}nickellead-deadline-ms: soon\r\n\r\n"),
            "request-malformed",
        ),
        (
            format!(
                "POST /boards/book/k HTTP/1.1\r\n{head}content-length: 65\r\n\r\n{}",
                "b".repeat(65)
            ),
            "body-too-large",
        ),
    ];
    for (request, code) in cases {
        let response = send(router, &request);
        assert!(response.contains(&format!("nickellead-error: {code}\r\n")), "{code}: {response}");
        assert!(response.starts_with("HTTP/1.1 4") && is_not_run(&response), "{code}: {response}");
    }
    assert!(requests.try_recv().is_err(), "an invalid request reached the target");
}

#[test]
fn callers_may_speak_http_2() {
    let (target, _requests) = raw_target(Box::new(|stream, request| {
        let _ = stream.write_all(complete_response(request).as_bytes());
    }));
    let router = router(target);
    let (status, body) = actix_rt::Runtime::new().unwrap().block_on(async move {
        let stream = tokio::net::TcpStream::connect(router).await.unwrap();
        let (sender, connection) = h2::client::handshake(stream).await.unwrap();
        actix_rt::spawn(async move {
            let _ = connection.await;
        });
        let mut sender = sender.ready().await.unwrap();
        let request = http::Request::post(format!("http://{router}/boards/book/key-1"));
        let (response, _) = sender.send_request(request.body(()).unwrap(), true).unwrap();
        let response = response.await.unwrap();
        let status = response.status();
        (status, response.into_body().data().await.unwrap().unwrap())
    });
    assert_eq!((status.as_u16(), &body[..]), (200, &b"hello"[..]));
}

/// A repeatable request that was lost, and refused when it was sent again, was called not run: the target
/// had run it.
#[test]
fn a_request_that_may_have_run_is_not_called_refused_after_another_attempt() {
    let is_first = AtomicBool::new(true);
    let (target, _requests) = raw_target(Box::new(move |stream, request| {
        if is_first.swap(false, Ordering::Relaxed) {
            // It ran, and the connection ends without the response.
            return;
        }
        let refusal = complete_response(request)
            .replace("200 OK", "503 Busy\r\nnickellead-refused: busy\r\nconnection: close");
        let _ = stream.write_all(refusal.as_bytes());
    }));
    let list = "GET /boards/list/key-1 HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n";
    let response = send(router(target), list);
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert!(response.contains("nickellead-outcome: unknown"), "{response}");
}

/// Runs a target that refuses the first request, sends that refusal once more in place of the next response,
/// and runs all other requests for a while.
fn target_that_refuses_twice() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut is_first = true;
        for stream in listener.incoming() {
            let refuses = std::mem::take(&mut is_first);
            std::thread::spawn(move || serve_refusing_twice(stream.unwrap(), refuses));
        }
    });
    address
}

/// Serves one connection; the first request is refused, and refused once more, if `refuses` is set.
fn serve_refusing_twice(mut stream: TcpStream, mut refuses: bool) {
    const WORK_TIME: Duration = Duration::from_millis(100);
    let mut surplus = String::new();
    let mut bytes = [0; 4_096];
    while let Some(read) = stream.read(&mut bytes).ok().filter(|read| *read > 0) {
        let request = String::from_utf8_lossy(&bytes[..read]).into_owned();
        if stream.write_all(std::mem::take(&mut surplus).as_bytes()).is_err() {
            return;
        }
        let response = complete_response(&request);
        if std::mem::take(&mut refuses) {
            let refusal = response.replace("200 OK", "503 Busy\r\nnickellead-refused: other");
            surplus =
                refusal.replace("content-length: 5\r\n\r\nhello", "content-length: 0\r\n\r\n");
            let _ = stream.write_all(surplus.as_bytes());
            continue;
        }
        std::thread::sleep(WORK_TIME);
        let _ = stream.write_all(response.as_bytes());
    }
}

/// Guards against a surplus response that costs every later request on its connection its response: the
/// connection was used again although the response to the request before was still due there.
#[test]
fn a_late_copy_of_a_refusal_costs_one_request_at_most() {
    let router = router(target_that_refuses_twice());
    let responses: Vec<String> = (0..6).map(|_| book(router)).collect();
    let failed = responses.iter().filter(|response| !response.ends_with("hello"));
    assert!(failed.count() <= 1, "{responses:#?}");
}

/// Guards against taking a late copy of a refusal for the response to the next attempt at the same target:
/// the identifier shows the difference only if no attempt has that of another one.
#[test]
fn each_attempt_of_a_request_has_an_identifier_of_its_own() {
    let (target, requests) = raw_target(Box::new(|stream, request| {
        let refusal = complete_response(request)
            .replace("200 OK", "503 Busy\r\nnickellead-refused: busy\r\nconnection: close");
        let _ = stream.write_all(refusal.as_bytes());
    }));
    book(router(target));
    let mut ids: Vec<String> = requests
        .try_iter()
        .filter_map(|request| {
            let id =
                request.lines().find_map(|line| line.strip_prefix("nickellead-request-id: "))?;
            Some(id.to_owned())
        })
        .collect();
    let attempts = ids.len();
    ids.sort();
    ids.dedup();
    assert!(attempts > 1 && ids.len() == attempts, "{attempts} attempts with {ids:?}");
}

/// Most bytes that the system takes on both sides of a connection although the router does not read them.
const SYSTEM_BUFFER_BYTES: usize = 4 * 1024 * 1024;
/// Time until a response that can't be right is given up, well below the deadline of 400 ms.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(250);

/// Sends a start and then a unit without end; returns the response to the caller, how long it took, and the
/// bytes that the system took until the connection was closed.
fn book_endless(start: &'static str, unit: &'static str) -> (String, Duration, usize) {
    let (sender, counts) = channel();
    let (target, _requests) = raw_target(Box::new(move |stream, request| {
        socket2::SockRef::from(&*stream).set_send_buffer_size(64 * 1024).unwrap();
        let head = complete_response(request).replace("content-length: 5\r\n\r\nhello", start);
        let block = unit.repeat(16 * 1024 / unit.len());
        let since = std::time::Instant::now();
        let mut bytes = 0;
        let mut next = match start {
            "" => block.as_bytes(),
            _ => head.as_bytes(),
        };
        while since.elapsed() < Duration::from_secs(3) && stream.write_all(next).is_ok() {
            bytes += next.len();
            next = block.as_bytes();
        }
        let _ = sender.send(bytes);
    }));
    let since = std::time::Instant::now();
    let response = book(router(target));
    let duration = since.elapsed();
    let bytes = counts.recv_timeout(Duration::from_secs(5)).unwrap();
    println!("{start:?} {unit:?}: {duration:?}, {bytes} bytes, {:?}", response.lines().next());
    (response, duration, bytes)
}

/// Guards against reading heads without end until the deadline.
#[test]
fn heads_without_end_are_cut() {
    for (start, unit) in [("x-long: ", "x"), ("", "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n")] {
        let (response, duration, bytes) = book_endless(start, unit);
        assert!(response.starts_with("HTTP/1.1 502"), "{response}");
        assert!(!is_not_run(&response), "{response}");
        assert!(duration < MAX_RESPONSE_TIME, "{duration:?}");
        assert!(bytes < SYSTEM_BUFFER_BYTES, "{bytes} bytes");
    }
}

/// Guards against reading the extension of a chunk, or trailers, until the deadline.
#[test]
fn bytes_of_a_body_that_are_no_data_are_cut() {
    for (start, unit) in [
        ("transfer-encoding: chunked\r\n\r\n1;", "x"),
        ("transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", "x-trailer: a\r\n"),
    ] {
        let (response, duration, bytes) = book_endless(start, unit);
        assert!(!response.ends_with("0\r\n\r\n"), "a truncated response: {response}");
        assert!(duration < MAX_RESPONSE_TIME, "{duration:?}");
        assert!(bytes < SYSTEM_BUFFER_BYTES, "{bytes} bytes");
    }
}

/// Guards against passing on a response without its body: one that ends with the connection was taken for
/// one without a body.
#[test]
fn a_body_without_a_length_is_not_taken_for_an_empty_one() {
    let (response, duration, bytes) = book_endless("\r\n", "x");
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert!(!is_not_run(&response), "{response}");
    assert!(duration < MAX_RESPONSE_TIME, "{duration:?}");
    assert!(bytes < SYSTEM_BUFFER_BYTES, "{bytes} bytes");
}

/// Guards against passing on an informational response as the final one.
#[test]
fn an_informational_response_is_not_the_final_one() {
    let (target, _requests) = raw_target(Box::new(|stream, request| {
        let early = complete_response(request).replace("200 OK", "103 Early Hints");
        let _ =
            stream.write_all(early.replace("content-length: 5\r\n\r\nhello", "\r\n").as_bytes());
    }));
    let response = book(router(target));
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert!(!is_not_run(&response), "{response}");
}

/// Guards targets against work for callers that have left: the time for which a request lay unread has
/// passed.
#[test]
fn a_request_that_lay_unread_until_its_deadline_is_not_sent() {
    let (target, requests) = raw_target(Box::new(|stream, request| {
        stream.write_all(complete_response(request).as_bytes()).unwrap();
    }));
    let router = router(target);
    let response = book(router);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    requests.recv().unwrap();
    let mut busy = TcpStream::connect(router).unwrap();
    busy.write_all(format!("GET {BUSY_PATH} HTTP/1.1\r\nhost: t\r\n\r\n").as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    let response = book(router);
    assert!(response.starts_with("HTTP/1.1 504"), "{response}");
    assert!(response.contains("deadline-too-short") && is_not_run(&response), "{response}");
    assert!(requests.try_recv().is_err(), "the target got the request");
}
