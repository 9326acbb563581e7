//! Stand-ins for callers: a load of limited duration with a record of every outcome.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::http::Method;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::target::{OPERATION_HEADER, TargetResponse};

/// Requests of one group of callers.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Name of the service, the first segment of the path.
    pub service: String,
    /// Name of the operation, the second segment of the path.
    pub operation: String,
    /// HTTP method; an invalid one is sent as GET.
    pub method: String,
    /// Whether each operation may run at most once; it then carries a unique number.
    pub at_most_once: bool,
    /// Number of concurrent callers.
    pub callers: u32,
    /// Number of keys, requested with a Zipf distribution.
    pub keys: u32,
}

/// Settings of a load of limited duration.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Addresses of entry VMs, used round robin.
    pub entry_addresses: Vec<SocketAddr>,
    /// Groups of callers, which run concurrently.
    pub groups: Vec<CallerSettings>,
    /// Duration of the load.
    pub duration: Duration,
    /// Delay of a caller between an outcome and its next request.
    pub think_time: Duration,
    /// Seed of the random keys, and prefix of each operation number.
    pub seed: u64,
}

/// Outcomes that the callers recorded.
#[derive(Debug, Default, Serialize)]
pub struct LoadReport {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of complete responses of targets.
    pub answered: u64,
    /// Number of responses with the outcome `not-run`.
    pub refused: u64,
    /// Number of responses with the outcome `unknown`, and of missing or incomplete responses.
    pub unknown: u64,
    /// Number of responses to a different request.
    pub wrong_answers: u64,
    /// Number of errors by code.
    pub errors: HashMap<String, u64>,
    /// Numbers of operations with the outcome `not-run`.
    pub not_run: Vec<u64>,
    /// Numbers of operations with a complete response.
    pub done: Vec<u64>,
    /// Unavailability of each path that failed and recovered, in milliseconds: from its first failure to
    /// the last one before the next complete response. This is a lower bound for rarely requested keys.
    pub unavailable_ms: Vec<u64>,
    /// Time of each refused or unknown outcome, in milliseconds since the start.
    pub failures_ms: Vec<u64>,
    /// Latency of completed requests, in microseconds: p50, p99 and maximum.
    pub latency_us: [u64; 3],
}

enum CallerOutcome {
    Completed,
    WrongResponse,
    NotRun(String),
    Unknown(String),
}

struct Recorder {
    report: LoadReport,
    latency: Option<Histogram<u64>>,
    start: Instant,
    /// Start of the first and time of the last failure of each path that currently fails.
    failing: HashMap<String, (Instant, Instant)>,
}

/// Runs a load on the current thread's runtime and returns the recorded outcomes.
pub async fn run_load(settings: LoadSettings) -> LoadReport {
    let recorder = std::rc::Rc::new(std::cell::RefCell::new(Recorder {
        report: LoadReport::default(),
        latency: Histogram::new_with_max(60_000_000, 3).ok(),
        start: Instant::now(),
        failing: HashMap::new(),
    }));
    let mut callers = Vec::new();
    let mut number = 0;
    for group in &settings.groups {
        for _ in 0..group.callers {
            number += 1;
            let caller =
                run_caller(number, group.clone(), settings.clone(), std::rc::Rc::clone(&recorder));
            callers.push(actix_rt::spawn(caller));
        }
    }
    for caller in callers {
        // The panic hook has already reported a caller that panicked.
        let _ = caller.await;
    }
    let mut recorder = recorder.borrow_mut();
    let mut report = std::mem::take(&mut recorder.report);
    if let Some(latency) = &recorder.latency {
        let at = |quantile| latency.value_at_quantile(quantile);
        report.latency_us = [at(0.5), at(0.99), latency.max()];
    }
    report
}

async fn run_caller(
    number: u64,
    group: CallerSettings,
    settings: LoadSettings,
    recorder: std::rc::Rc<std::cell::RefCell<Recorder>>,
) {
    let client = awc::Client::builder().timeout(Duration::from_secs(10)).finish();
    let mut rng = fastrand::Rng::with_seed(settings.seed.wrapping_mul(31).wrapping_add(number));
    let end = Instant::now() + settings.duration;
    let mut count = 0_u64;
    while Instant::now() < end {
        count += 1;
        let unique = (settings.seed << 48) | (number << 32) | count;
        let operation = if group.at_most_once { unique } else { 0 };
        let index = (number + count) as usize % settings.entry_addresses.len().max(1);
        let Some(entry) = settings.entry_addresses.get(index) else {
            return;
        };
        let key = zipf(group.keys, &mut rng);
        let path = format!("/{}/{}/key-{key}", group.service, group.operation);
        let started = Instant::now();
        let outcome = send(&client, *entry, &group.method, &path, operation).await;
        recorder.borrow_mut().record(outcome, operation, &path, started);
        actix_rt::time::sleep(settings.think_time).await;
    }
}

async fn send(
    client: &awc::Client,
    entry: SocketAddr,
    method: &str,
    path: &str,
    operation: u64,
) -> CallerOutcome {
    let method = Method::from_bytes(method.as_bytes()).unwrap_or(Method::GET);
    let request = client
        .request(method, format!("http://{entry}{path}"))
        .insert_header((OPERATION_HEADER, operation.to_string()));
    let mut response = match request.send().await {
        Ok(response) => response,
        Err(error) => return CallerOutcome::Unknown(format!("no answer: {error}")),
    };
    let header = |name: &str| {
        let value = response.headers().get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    if let Some(outcome) = header("nickellead-outcome") {
        let code = header("nickellead-error").unwrap_or_default();
        return match outcome.as_str() {
            "not-run" => CallerOutcome::NotRun(code),
            _ => CallerOutcome::Unknown(code),
        };
    }
    match response.json::<TargetResponse>().await {
        Ok(body) if body.path == path && body.operation == operation => CallerOutcome::Completed,
        Ok(_) => CallerOutcome::WrongResponse,
        Err(error) => CallerOutcome::Unknown(format!("answer not whole: {error}")),
    }
}

/// Draws a key from a Zipf distribution with exponent 1, by inverting its continuous form.
fn zipf(keys: u32, rng: &mut fastrand::Rng) -> u32 {
    let max = f64::from(keys.max(1));
    let rank = (max + 1.0).powf(rng.f64());
    (rank as u32).saturating_sub(1).min(keys.saturating_sub(1))
}

impl Recorder {
    fn record(&mut self, outcome: CallerOutcome, operation: u64, path: &str, started: Instant) {
        let report = &mut self.report;
        report.sent += 1;
        let code = match outcome {
            CallerOutcome::Completed => {
                report.answered += 1;
                if let Some((first, last)) = self.failing.remove(path) {
                    let duration = last.duration_since(first);
                    report.unavailable_ms.push(duration.as_millis() as u64);
                }
                if operation > 0 {
                    report.done.push(operation);
                }
                if let Some(latency) = &mut self.latency {
                    // Values above the range of the histogram count as its maximum.
                    latency.saturating_record(started.elapsed().as_micros() as u64);
                }
                return;
            }
            CallerOutcome::WrongResponse => {
                report.wrong_answers += 1;
                return;
            }
            CallerOutcome::NotRun(code) => {
                report.refused += 1;
                if operation > 0 {
                    report.not_run.push(operation);
                }
                code
            }
            CallerOutcome::Unknown(code) => {
                report.unknown += 1;
                code
            }
        };
        let now = Instant::now();
        self.failing.entry(path.to_owned()).or_insert((started, now)).1 = now;
        report.failures_ms.push(self.start.elapsed().as_millis() as u64);
        *report.errors.entry(code).or_default() += 1;
    }
}
