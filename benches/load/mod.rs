//! Load for the throughput and latency benchmarks: senders, a target stand-in and a bare proxy.
//!
//! A round sends requests for a fixed time over a fixed number of connections, either closed loop
//! or at a given rate. Rounds of all paths alternate; the result of a path is its best round.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::body::{BoxBody, SizedStream};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use hdrhistogram::Histogram;
use nickellead_proxy::{ServeState, bind_listener, serve_http};

/// Number of sending threads.
const SENDER_THREADS: usize = 3;
/// Number of connections per sending thread.
const CONNECTIONS_PER_THREAD: usize = 16;
/// Duration of one round.
const ROUND_DURATION: Duration = Duration::from_secs(3);
/// Number of rounds per path.
const ROUNDS_PER_PATH: usize = 3;
/// Number of keys that one connection requests in turn.
const KEY_COUNT: u32 = 4_096;
/// Maximum number of connections of a benchmark server: more than the senders open.
const MAX_SERVER_CONNECTIONS: usize = 10_000;

/// A measured path and the shape of its requests.
#[derive(Clone, Copy)]
pub struct LoadPath {
    /// Name in the results.
    pub name: &'static str,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Prefix of the URL path; the number of the key follows.
    pub prefix: &'static str,
    /// Returns the headers of a request for a key.
    pub headers: fn(u32) -> Vec<(&'static str, String)>,
}

/// Result of one round.
#[derive(Clone, Copy, Default)]
pub struct LoadRound {
    /// Answered requests per second.
    pub rate: f64,
    /// Median latency in microseconds.
    pub p50: u64,
    /// 99th percentile of the latency in microseconds.
    pub p99: u64,
}

impl LoadRound {
    /// Prints the result as one line.
    pub fn print(&self, name: &str, load: &str) {
        println!(
            "proxy={name} load={load} requests_a_second={:.0} p50_us={} p99_us={}",
            self.rate, self.p50, self.p99
        );
    }
}

/// Returns half the rate of the slowest path, in requests per second.
pub fn half_of_slowest(full: &[LoadRound]) -> f64 {
    full.iter().map(|round| round.rate).fold(f64::MAX, f64::min) / 2.0
}

/// Returns the best round of each path, at full load or at a rate in requests per second.
pub fn measure(paths: &[LoadPath], rate: Option<f64>) -> Vec<LoadRound> {
    let mut best = vec![LoadRound::default(); paths.len()];
    for _ in 0..ROUNDS_PER_PATH {
        for (index, path) in paths.iter().enumerate() {
            let round = send_round(*path, rate);
            let is_better = match rate {
                None => round.rate > best[index].rate,
                Some(_) => best[index].p99 == 0 || round.p99 < best[index].p99,
            };
            if is_better {
                best[index] = round;
            }
        }
    }
    best
}

fn send_round(path: LoadPath, rate: Option<f64>) -> LoadRound {
    let interval = rate.map(|rate| {
        Duration::from_secs_f64((SENDER_THREADS * CONNECTIONS_PER_THREAD) as f64 / rate)
    });
    let sender = |_| std::thread::spawn(move || send_from_thread(path, interval));
    let senders: Vec<_> = (0..SENDER_THREADS).map(sender).collect();
    let mut merged = Histogram::<u64>::new(3).unwrap();
    for sender in senders {
        merged.add(sender.join().unwrap()).unwrap();
    }
    LoadRound {
        rate: merged.len() as f64 / ROUND_DURATION.as_secs_f64(),
        p50: merged.value_at_quantile(0.5),
        p99: merged.value_at_quantile(0.99),
    }
}

fn send_from_thread(path: LoadPath, interval: Option<Duration>) -> Histogram<u64> {
    actix_rt::Runtime::new().unwrap().block_on(async move {
        let connections: Vec<_> = (0..CONNECTIONS_PER_THREAD)
            .map(|index| actix_rt::spawn(send_on_connection(path, index, interval)))
            .collect();
        let mut merged = Histogram::<u64>::new(3).unwrap();
        for connection in connections {
            merged.add(connection.await.unwrap()).unwrap();
        }
        merged
    })
}

async fn send_on_connection(
    path: LoadPath,
    index: usize,
    interval: Option<Duration>,
) -> Histogram<u64> {
    let client = awc::Client::builder().timeout(Duration::from_secs(5)).finish();
    let mut latencies = Histogram::<u64>::new(3).unwrap();
    let end = Instant::now() + ROUND_DURATION;
    let mut number = 0_u32;
    let start_offset = interval.unwrap_or_default() / CONNECTIONS_PER_THREAD as u32;
    let mut next = Instant::now() + start_offset * index as u32;
    while Instant::now() < end {
        if let Some(interval) = interval {
            next += interval;
            // Busy-wait: the timer of the runtime has millisecond resolution and would cause bursts.
            while Instant::now() < next {
                tokio::task::yield_now().await;
            }
        }
        number += 1;
        let key = number % KEY_COUNT;
        let mut request = client.get(format!("http://{}{}{key}", path.address, path.prefix));
        for header in (path.headers)(key) {
            request = request.insert_header(header);
        }
        let start = Instant::now();
        let response = request.send().await;
        let mut response = response.map_err(|error| format!("{}: {error}", path.name)).unwrap();
        assert!(response.status().is_success(), "{}: {}", path.name, response.status());
        response.body().await.unwrap();
        latencies.record(start.elapsed().as_micros() as u64).unwrap();
    }
    latencies
}

/// Starts a server on a new thread and returns its address.
pub fn start<M, H, F>(make_handler: M) -> SocketAddr
where
    M: FnOnce() -> H + Send + 'static,
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    // The listener sets SO_REUSEPORT: with a fixed port, concurrent runs would share the requests.
    let listener = bind_listener(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        actix_rt::Runtime::new().unwrap().block_on(async move {
            serve_http(
                listener,
                MAX_SERVER_CONNECTIONS,
                Arc::new(ServeState::default()),
                make_handler(),
            )
            .await;
        });
    });
    address
}

/// Future of a response of a benchmark server.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<BoxBody>>>>;

/// Returns the handler of a target stand-in, which responds at once with the request id and the given headers.
pub fn target_standin(
    id_header: &'static str,
    headers: &'static [(&'static str, &'static str)],
) -> impl Fn(Request) -> ResponseFuture + Clone + 'static {
    move |request: Request| {
        Box::pin(async move {
            let mut builder = Response::build(StatusCode::OK);
            if let Some(id) = request.headers().get(id_header).cloned() {
                builder.insert_header((id_header, id));
            }
            for header in headers {
                builder.insert_header(*header);
            }
            builder.body("{\"slot\": \"10:30\"}").map_into_boxed_body()
        })
    }
}

/// Returns the handler of a proxy that forwards every request to one target, without routing or limits.
pub fn bare_proxy(target: SocketAddr) -> impl Fn(Request) -> ResponseFuture + Clone + 'static {
    let client = awc::Client::builder().no_default_headers().finish();
    move |request: Request| {
        let client = client.clone();
        Box::pin(async move {
            let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
            let mut forwarded =
                client.request(request.method().clone(), format!("http://{target}{path}"));
            for (name, value) in request.headers().iter().filter(|(name, _)| *name != "host") {
                forwarded = forwarded.append_header((name.clone(), value.clone()));
            }
            let response = forwarded.send().await.unwrap();
            let mut builder = Response::build(response.status());
            for (name, value) in
                response.headers().iter().filter(|(name, _)| *name != "content-length")
            {
                builder.append_header((name.clone(), value.clone()));
            }
            let length = response.headers().get("content-length").unwrap();
            let size = length.to_str().unwrap().parse().unwrap();
            builder.body(SizedStream::new(size, response)).map_into_boxed_body()
        })
    }
}
