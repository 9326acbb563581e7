//! What callers are told when the connection to a target breaks, byte by byte.
//!
//! The target here is a raw socket that says exactly what the test wants.
#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use nickellead_api::{DeclaredConfig, DeclaredService, DeclaredTarget};
use nickellead_core::{Epoch, Name, ServiceKey, ShardIndex, TargetKey, Version};
use nickellead_lease::{RouteChange, ShardOwner};
use nickellead_proxy::{
    ProxyLimits, ProxyMetrics, ProxyWorker, ServeState, WorkerUpdate, bind_listener, serve_http,
};

/// How a raw target treats one connection, given the request that it read.
type Script = Box<dyn Fn(&mut TcpStream, &str) + Send>;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// A raw target; returns its address and what it read from each connection.
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
                            "deadline_ms": 400}]}"#,
    );
    let spec_of_target = format!(
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
            spec: serde_json::from_str(&spec_of_target).unwrap(),
        }],
    }
}

/// A worker in front of one target, for as long as the test runs.
fn router(target: SocketAddr) -> SocketAddr {
    let owner = ShardOwner::Target { target: TargetKey::from(&name("board-0")), epoch: Epoch(3) };
    let service = ServiceKey::from(&name("boards"));
    let change = RouteChange { service, shard: ShardIndex(0), owner };
    let config = WorkerUpdate::Config(Arc::new(declare(target)));
    run_worker(vec![config, WorkerUpdate::Routes(vec![change].into())])
}

/// Runs a worker that has been told these updates, for as long as the test runs.
fn run_worker(updates: Vec<WorkerUpdate>) -> SocketAddr {
    let listener = bind_listener(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        actix_rt::Runtime::new().unwrap().block_on(async move {
            let worker = ProxyWorker::new(ProxyLimits::default(), 1, ProxyMetrics::default());
            updates.iter().for_each(|update| worker.update(update));
            let handler = move |request| {
                let worker = std::rc::Rc::clone(&worker);
                async move { worker.handle(request).await }
            };
            serve_http(listener, 100, Arc::new(ServeState::default()), handler).await;
        });
    });
    address
}

/// A VM that has just started said that the service does not exist, and its caller gave up.
#[test]
fn a_worker_that_knows_no_declarations_says_so() {
    let answer = book(run_worker(Vec::new()));
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("not-configured") && answer.contains("retry-after"), "{answer}");
}

fn send(router: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(router).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = Vec::new();
    // A connection that breaks off gives what came before; one that hangs fails the test.
    if let Err(error) = stream.read_to_end(&mut answer) {
        assert_ne!(error.kind(), std::io::ErrorKind::WouldBlock, "the router holds the connection");
    }
    String::from_utf8_lossy(&answer).into_owned()
}

fn book(router: SocketAddr) -> String {
    send(router, "POST /boards/book/key-1 HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n")
}

/// A whole answer to a request, with the number that the request carries.
fn whole_answer(request: &str) -> String {
    let id = request.lines().find_map(|line| line.strip_prefix("nickellead-request-id: "));
    format!(
        "HTTP/1.1 200 OK\r\nnickellead-request-id: {}\r\ncontent-length: 5\r\n\r\nhello",
        id.unwrap_or("0")
    )
}

fn is_not_run(answer: &str) -> bool {
    answer.contains("nickellead-outcome: not-run")
}

/// Once a request was handed to a connection, only the target can prove that
/// it did not run: a connection that breaks leaves it unknown.
#[test]
fn an_answer_cut_at_any_byte_is_never_whole_and_never_called_not_run() {
    let length = whole_answer("nickellead-request-id: 1048576").len();
    let (sender, cuts) = channel::<usize>();
    let cuts = std::sync::Mutex::new(cuts);
    let (target, requests) = raw_target(Box::new(move |stream, request| {
        let cut = cuts.lock().unwrap().recv().unwrap();
        let answer = whole_answer(request);
        let _ = stream.write_all(&answer.as_bytes()[..cut.min(answer.len())]);
    }));
    let router = router(target);
    for cut in 0..length {
        sender.send(cut).unwrap();
        let answer = book(router);
        let request = requests.recv_timeout(Duration::from_secs(5)).unwrap();
        assert!(!is_not_run(&answer), "cut at {cut}: {answer}");
        if cut < whole_answer(&request).len() {
            assert!(!answer.ends_with("hello"), "cut at {cut}: {answer}");
        }
    }
    sender.send(usize::MAX).unwrap();
    let answer = book(router);
    assert!(answer.ends_with("hello"), "{answer}");
}

/// The same for an answer in chunks, whose end only the last chunk tells.
#[test]
fn an_answer_in_chunks_cut_at_any_byte_is_never_whole() {
    let chunks = "5\r\nhello\r\n0\r\n\r\n";
    let (sender, cuts) = channel::<usize>();
    let cuts = std::sync::Mutex::new(cuts);
    let (target, requests) = raw_target(Box::new(move |stream, request| {
        let cut = cuts.lock().unwrap().recv().unwrap();
        let head = whole_answer(request).replace("content-length: 5", "transfer-encoding: chunked");
        let head = head.strip_suffix("hello").unwrap();
        let _ = stream.write_all(format!("{head}{}", &chunks[..cut]).as_bytes());
    }));
    let router = router(target);
    for cut in 0..chunks.len() {
        sender.send(cut).unwrap();
        let answer = book(router);
        requests.recv_timeout(Duration::from_secs(5)).unwrap();
        assert!(!answer.ends_with("0\r\n\r\n"), "cut at {cut}: {answer}");
    }
    sender.send(chunks.len()).unwrap();
    assert!(book(router).ends_with("0\r\n\r\n"));
}

#[test]
fn a_connection_that_was_never_made_is_not_run() {
    let nobody = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let answer = book(router(nobody));
    assert!(is_not_run(&answer), "{answer}");
    assert!(answer.contains("nickellead-error: target-unreachable"), "{answer}");
    assert!(answer.contains("retry-after:"), "{answer}");
}

#[test]
fn an_answer_with_another_requests_number_reaches_nobody() {
    let (target, _requests) = raw_target(Box::new(|stream, _| {
        let other = whole_answer("nickellead-request-id: 17");
        let _ = stream.write_all(other.as_bytes());
    }));
    let answer = book(router(target));
    assert!(answer.contains("nickellead-error: answer-malformed"), "{answer}");
    assert!(!answer.contains("hello"), "{answer}");
}

#[test]
fn a_silent_target_is_given_up_at_the_deadline_as_unknown() {
    let (sender, held) = channel::<TcpStream>();
    let (target, _requests) = raw_target(Box::new(move |stream, _| {
        sender.send(stream.try_clone().unwrap()).unwrap();
    }));
    let answer = book(router(target));
    assert!(answer.contains("nickellead-error: answer-late"), "{answer}");
    assert!(answer.contains("nickellead-outcome: unknown"), "{answer}");
    drop(held);
}

#[test]
fn an_answer_that_stalls_in_its_body_is_broken_off_at_the_deadline() {
    let (sender, held) = channel::<TcpStream>();
    let (target, _requests) = raw_target(Box::new(move |stream, request| {
        let part = whole_answer(request);
        let _ = stream.write_all(part.strip_suffix("lo").unwrap().as_bytes());
        sender.send(stream.try_clone().unwrap()).unwrap();
    }));
    let answer = book(router(target));
    assert!(answer.ends_with("hel"), "not broken off: {answer}");
    drop(held);
}

#[test]
fn garbage_from_a_target_is_an_error_kind() {
    let (target, _requests) = raw_target(Box::new(|stream, _| {
        let _ = stream.write_all(b"\x00\xff no http at all\r\n\r\n");
    }));
    let answer = book(router(target));
    assert!(answer.contains("nickellead-outcome: unknown"), "{answer}");
}

#[test]
fn a_targets_refusal_is_not_run_and_its_headers_stay_inside() {
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
    let answer = send(router, forged);
    assert!(is_not_run(&answer), "{answer}");
    assert!(answer.contains("nickellead-error: target-busy"), "{answer}");
    let request = requests.recv_timeout(Duration::from_secs(5)).unwrap();
    assert!(request.contains("nickellead-epoch: 3\r\n"), "{request}");
    assert!(
        !request.contains("epoch: 99"),
        "a caller's internal header reached a target: {request}"
    );
}

#[test]
fn bad_requests_get_a_clear_answer_and_reach_no_target() {
    let (target, requests) = raw_target(Box::new(|stream, request| {
        let _ = stream.write_all(whole_answer(request).as_bytes());
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
        let answer = send(router, &request);
        assert!(answer.contains(&format!("nickellead-error: {code}\r\n")), "{code}: {answer}");
        assert!(answer.starts_with("HTTP/1.1 4") && is_not_run(&answer), "{code}: {answer}");
    }
    assert!(requests.try_recv().is_err(), "a bad request reached the target");
}

#[test]
fn callers_may_speak_http_2() {
    let (target, _requests) = raw_target(Box::new(|stream, request| {
        let _ = stream.write_all(whole_answer(request).as_bytes());
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
        let (answer, _) = sender.send_request(request.body(()).unwrap(), true).unwrap();
        let answer = answer.await.unwrap();
        let status = answer.status();
        (status, answer.into_body().data().await.unwrap().unwrap())
    });
    assert_eq!((status.as_u16(), &body[..]), (200, &b"hello"[..]));
}
