//! A request worker against a bare pass-through proxy of the same libraries.
//!
//! `cargo bench --bench speed` prints requests a second of both, one core each,
//! and the 99th percentile of both at half of the slower one's load. Rounds of
//! the two alternate; the best round of each counts.
#![allow(clippy::unwrap_used, clippy::print_stdout, missing_docs)]

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use actix_http::body::{BoxBody, SizedStream};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use hdrhistogram::Histogram;
use nickellead_api::{DeclaredConfig, DeclaredService, DeclaredTarget};
use nickellead_core::{Epoch, Name, ServiceKey, ShardIndex, TargetKey, Version};
use nickellead_lease::{RouteChange, ShardOwner};
use nickellead_proxy::{
    ProxyLimits, ProxyMetrics, ProxyWorker, REQUEST_ID_HEADER, ServeState, WorkerUpdate,
    bind_listener, serve_http,
};

/// Threads that send, and connections of each.
const SENDERS: usize = 3;
const CONNECTIONS: usize = 16;
/// Length of one round.
const ROUND: Duration = Duration::from_secs(3);
/// Rounds of each proxy.
const ROUNDS: usize = 3;
/// Shards of the service.
const SHARDS: u32 = 131_072;

fn main() {
    let target = start(|| {
        |request: Request| async move {
            let id = request.headers().get(REQUEST_ID_HEADER).cloned();
            let mut builder = Response::build(StatusCode::OK);
            if let Some(id) = id {
                builder.insert_header((REQUEST_ID_HEADER, id));
            }
            builder.body("{\"slot\": \"10:30\"}").map_into_boxed_body()
        }
    });
    let bare = start(move || bare_proxy(target));
    let router = start(move || router(target));
    let full = measure(&[bare, router], None);
    let half = full.iter().map(|round| round.rate).fold(f64::MAX, f64::min) / 2.0;
    let paced = measure(&[bare, router], Some(half));
    let names = ["bare", "router"];
    for (name, round) in names.iter().zip(&full) {
        println!("proxy={name} load=full requests_a_second={:.0} p99_us={}", round.rate, round.p99);
    }
    for (name, round) in names.iter().zip(&paced) {
        println!("proxy={name} load=half requests_a_second={:.0} p99_us={}", round.rate, round.p99);
    }
    println!(
        "router_to_bare_rate={:.3} router_minus_bare_p99_us={}",
        full[1].rate / full[0].rate,
        paced[1].p99 as i64 - paced[0].p99 as i64
    );
}

#[derive(Clone, Copy, Default)]
struct Round {
    rate: f64,
    p99: u64,
}

/// The best round of each proxy; the rounds alternate.
fn measure(proxies: &[SocketAddr], rate: Option<f64>) -> Vec<Round> {
    let mut best: Vec<Round> = vec![Round::default(); proxies.len()];
    for _ in 0..ROUNDS {
        for (place, proxy) in proxies.iter().enumerate() {
            let round = send_round(*proxy, rate);
            let better = match rate {
                None => round.rate > best[place].rate,
                Some(_) => best[place].p99 == 0 || round.p99 < best[place].p99,
            };
            if better {
                best[place] = round;
            }
        }
    }
    best
}

fn send_round(proxy: SocketAddr, rate: Option<f64>) -> Round {
    let pause = rate.map(|rate| Duration::from_secs_f64((SENDERS * CONNECTIONS) as f64 / rate));
    let sender = |_| std::thread::spawn(move || send_from_thread(proxy, pause));
    let senders: Vec<_> = (0..SENDERS).map(sender).collect();
    let mut all = Histogram::<u64>::new(3).unwrap();
    for sender in senders {
        all.add(sender.join().unwrap()).unwrap();
    }
    Round { rate: all.len() as f64 / ROUND.as_secs_f64(), p99: all.value_at_quantile(0.99) }
}

fn send_from_thread(proxy: SocketAddr, pause: Option<Duration>) -> Histogram<u64> {
    actix_rt::Runtime::new().unwrap().block_on(async move {
        let connections: Vec<_> = (0..CONNECTIONS)
            .map(|place| actix_rt::spawn(send_on_connection(proxy, place, pause)))
            .collect();
        let mut all = Histogram::<u64>::new(3).unwrap();
        for connection in connections {
            all.add(connection.await.unwrap()).unwrap();
        }
        all
    })
}

async fn send_on_connection(
    proxy: SocketAddr,
    place: usize,
    pause: Option<Duration>,
) -> Histogram<u64> {
    let client = awc::Client::builder().timeout(Duration::from_secs(5)).finish();
    let mut times = Histogram::<u64>::new(3).unwrap();
    let end = Instant::now() + ROUND;
    let mut number = 0_u32;
    let share = pause.unwrap_or_default() / CONNECTIONS as u32;
    let mut next = Instant::now() + share * place as u32;
    while Instant::now() < end {
        if let Some(pause) = pause {
            next += pause;
            // The runtime's timer counts whole milliseconds: it would send in bursts.
            while Instant::now() < next {
                tokio::task::yield_now().await;
            }
        }
        number += 1;
        let path = format!("http://{proxy}/boards/look/clinic-{}", number % 4_096);
        let start = Instant::now();
        let mut answer = client.get(path).send().await.unwrap();
        assert!(answer.status().is_success(), "{}", answer.status());
        answer.body().await.unwrap();
        times.record(start.elapsed().as_micros() as u64).unwrap();
    }
    times
}

/// Starts a server on a thread of its own.
fn start<M, H, F>(make: M) -> SocketAddr
where
    M: FnOnce() -> H + Send + 'static,
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    static PORT: AtomicU16 = AtomicU16::new(29_000);
    let address = SocketAddr::from(([127, 0, 0, 1], PORT.fetch_add(1, Ordering::Relaxed)));
    let listener = bind_listener(address).unwrap();
    std::thread::spawn(move || {
        actix_rt::Runtime::new().unwrap().block_on(async move {
            serve_http(listener, 10_000, Arc::new(ServeState::default()), make()).await;
        });
    });
    address
}

type BoxedAnswer = std::pin::Pin<Box<dyn Future<Output = Response<BoxBody>>>>;

/// Passes every request on to one target: no keys, no ownership, no limits.
fn bare_proxy(target: SocketAddr) -> impl Fn(Request) -> BoxedAnswer + Clone + 'static {
    let client = awc::Client::builder().no_default_headers().finish();
    move |request: Request| {
        let client = client.clone();
        Box::pin(async move {
            let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
            let mut sent =
                client.request(request.method().clone(), format!("http://{target}{path}"));
            for (name, value) in request.headers().iter().filter(|(name, _)| *name != "host") {
                sent = sent.append_header((name.clone(), value.clone()));
            }
            let answer = sent.send().await.unwrap();
            let mut builder = Response::build(answer.status());
            for (name, value) in
                answer.headers().iter().filter(|(name, _)| *name != "content-length")
            {
                builder.append_header((name.clone(), value.clone()));
            }
            let length = answer.headers().get("content-length").unwrap();
            let size = length.to_str().unwrap().parse().unwrap();
            builder.body(SizedStream::new(size, answer)).map_into_boxed_body()
        })
    }
}

/// The real worker, with 131,072 shards of one target.
fn router(target: SocketAddr) -> impl Fn(Request) -> BoxedAnswer + Clone + 'static {
    let limits = ProxyLimits { sharers: 1, queue: 1_000, ..ProxyLimits::default() };
    let worker = ProxyWorker::new(limits, 1, ProxyMetrics::default());
    worker.update(&WorkerUpdate::Config(Arc::new(declare(target))));
    let service = ServiceKey::from(&name("boards"));
    let owner = ShardOwner::Target { target: TargetKey::from(&name("board-0")), epoch: Epoch(1) };
    let change = |shard| RouteChange { service, shard: ShardIndex(shard), owner };
    worker.update(&WorkerUpdate::Routes((0..SHARDS).map(change).collect()));
    move |request| {
        let worker = Rc::clone(&worker);
        Box::pin(async move { worker.answer(request).await })
    }
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn declare(target: SocketAddr) -> DeclaredConfig {
    let service = format!(
        r#"{{"zones": ["zone-a"], "shards": {SHARDS}, "key": {{"from": "path", "segment": 2}},
            "operations": [{{"name": "look", "method": "GET", "repeat": "repeatable"}}]}}"#
    );
    let target = format!(
        r#"{{"service": "boards", "zone": "zone-a", "address": "{target}", "slots": 4,
            "connections": 130}}"#
    );
    DeclaredConfig {
        revision: Version(1),
        services: vec![DeclaredService {
            name: name("boards"),
            version: Version(1),
            spec: serde_json::from_str(&service).unwrap(),
        }],
        targets: vec![DeclaredTarget {
            name: name("board-0"),
            version: Version(1),
            spec: serde_json::from_str(&target).unwrap(),
        }],
    }
}
