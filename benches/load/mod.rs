//! Load for the benchmarks of speed: senders, the target stand-in and the bare pass-through proxy.
//!
//! A round sends for a fixed time over a fixed number of connections, as fast as answers come or at
//! a given rate. Rounds of all measured paths alternate; the best round of each counts.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::body::{BoxBody, SizedStream};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use hdrhistogram::Histogram;
use nickellead_proxy::{ServeState, bind_listener, serve_http};

/// Threads that send.
const SENDERS: usize = 3;
/// Connections of each thread that sends.
const CONNECTIONS: usize = 16;
/// Length of one round.
const ROUND: Duration = Duration::from_secs(3);
/// Rounds of each path.
const ROUNDS: usize = 3;
/// Keys that one connection asks for in turn.
const KEYS: u32 = 4_096;
/// Callers' connections that a server of a benchmark takes: more than the senders open.
const SERVER_CONNECTIONS: usize = 10_000;

/// A path that requests are sent over, and how they look.
#[derive(Clone, Copy)]
pub struct LoadPath {
    /// What it is called in the figures.
    pub name: &'static str,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Beginning of the requests' path; the number of the key follows.
    pub prefix: &'static str,
    /// Headers of a request for a key.
    pub headers: fn(u32) -> Vec<(&'static str, String)>,
}

/// What one round gave.
#[derive(Clone, Copy, Default)]
pub struct LoadRound {
    /// Answered requests a second.
    pub rate: f64,
    /// Median time of an answer, in microseconds.
    pub p50: u64,
    /// 99th percentile of the time of an answer, in microseconds.
    pub p99: u64,
}

impl LoadRound {
    /// Prints the figures of one path.
    pub fn print(&self, name: &str, load: &str) {
        println!(
            "proxy={name} load={load} requests_a_second={:.0} p50_us={} p99_us={}",
            self.rate, self.p50, self.p99
        );
    }
}

/// Half the rate of the slowest path, in requests a second.
pub fn half_of_slowest(full: &[LoadRound]) -> f64 {
    full.iter().map(|round| round.rate).fold(f64::MAX, f64::min) / 2.0
}

/// The best round of each path, at full load or at a rate in requests a second.
pub fn measure(paths: &[LoadPath], rate: Option<f64>) -> Vec<LoadRound> {
    let mut best = vec![LoadRound::default(); paths.len()];
    for _ in 0..ROUNDS {
        for (place, path) in paths.iter().enumerate() {
            let round = send_round(*path, rate);
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

fn send_round(path: LoadPath, rate: Option<f64>) -> LoadRound {
    let pause = rate.map(|rate| Duration::from_secs_f64((SENDERS * CONNECTIONS) as f64 / rate));
    let sender = |_| std::thread::spawn(move || send_from_thread(path, pause));
    let senders: Vec<_> = (0..SENDERS).map(sender).collect();
    let mut all = Histogram::<u64>::new(3).unwrap();
    for sender in senders {
        all.add(sender.join().unwrap()).unwrap();
    }
    LoadRound {
        rate: all.len() as f64 / ROUND.as_secs_f64(),
        p50: all.value_at_quantile(0.5),
        p99: all.value_at_quantile(0.99),
    }
}

fn send_from_thread(path: LoadPath, pause: Option<Duration>) -> Histogram<u64> {
    actix_rt::Runtime::new().unwrap().block_on(async move {
        let connections: Vec<_> = (0..CONNECTIONS)
            .map(|place| actix_rt::spawn(send_on_connection(path, place, pause)))
            .collect();
        let mut all = Histogram::<u64>::new(3).unwrap();
        for connection in connections {
            all.add(connection.await.unwrap()).unwrap();
        }
        all
    })
}

async fn send_on_connection(
    path: LoadPath,
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
        let key = number % KEYS;
        let mut request = client.get(format!("http://{}{}{key}", path.address, path.prefix));
        for header in (path.headers)(key) {
            request = request.insert_header(header);
        }
        let start = Instant::now();
        let answer = request.send().await;
        let mut answer = answer.map_err(|error| format!("{}: {error}", path.name)).unwrap();
        assert!(answer.status().is_success(), "{}: {}", path.name, answer.status());
        answer.body().await.unwrap();
        times.record(start.elapsed().as_micros() as u64).unwrap();
    }
    times
}

/// Starts a server on a thread of its own.
pub fn start<M, H, F>(make: M) -> SocketAddr
where
    M: FnOnce() -> H + Send + 'static,
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    // The listener shares its port: a fixed one would give half the requests to another run.
    let listener = bind_listener(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        actix_rt::Runtime::new().unwrap().block_on(async move {
            serve_http(listener, SERVER_CONNECTIONS, Arc::new(ServeState::default()), make()).await;
        });
    });
    address
}

/// An answer that a server of a benchmark works on.
pub type BoxedAnswer = Pin<Box<dyn Future<Output = Response<BoxBody>>>>;

/// The target stand-in: answers at once, with the request's id and the given marks of a target.
pub fn target_standin(
    id_header: &'static str,
    marks: &'static [(&'static str, &'static str)],
) -> impl Fn(Request) -> BoxedAnswer + Clone + 'static {
    move |request: Request| {
        Box::pin(async move {
            let mut builder = Response::build(StatusCode::OK);
            if let Some(id) = request.headers().get(id_header).cloned() {
                builder.insert_header((id_header, id));
            }
            for mark in marks {
                builder.insert_header(*mark);
            }
            builder.body("{\"slot\": \"10:30\"}").map_into_boxed_body()
        })
    }
}

/// Passes every request on to one target: no keys, no ownership, no limits.
pub fn bare_proxy(target: SocketAddr) -> impl Fn(Request) -> BoxedAnswer + Clone + 'static {
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
