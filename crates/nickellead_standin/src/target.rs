//! Stand-in for a target: runs requests in slots, sheds excess load and checks grants with the grant guard.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, Request, Response, StatusCode};
use nickellead_core::{Epoch, Incarnation, Name, ShardIndex, TargetKey};
use nickellead_lease::{GrantGuard, RequestTicket, RunRefusal, ShardGrant, TargetOrder};
use nickellead_proxy::{EPOCH_HEADER, REFUSAL_HEADER, REQUEST_ID_HEADER, SHARD_HEADER};
use nickellead_time::BootClock;
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use crate::effect::EffectRecord;
use crate::serve::{StandinServer, empty, json, read_all};

/// Header with the caller's number of an operation.
pub(crate) const OPERATION_HEADER: &str = "x-operation-id";

/// Settings of a stand-in target.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Name of the declared target.
    pub name: Name,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Maximum number of requests that wait for a slot; more are shed.
    pub queue_capacity: u16,
    /// Service time of a request, in microseconds.
    pub service_time_us: u64,
}

/// Application data that all stand-in targets of one process share.
#[derive(Clone, Debug, Default)]
pub struct SharedState(Arc<Mutex<SharedTables>>);

#[derive(Debug, Default)]
struct SharedTables {
    counters: HashMap<String, u64>,
    effects: Vec<EffectRecord>,
    file: Option<File>,
}

impl SharedState {
    /// Creates a state that also appends every effect to a file, one line of JSON each.
    ///
    /// # Errors
    /// Returns the I/O error if the file can't be opened.
    pub fn with_effect_log(path: &Path) -> std::io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let tables = SharedTables { file: Some(file), ..SharedTables::default() };
        Ok(Self(Arc::new(Mutex::new(tables))))
    }

    fn lock(&self) -> MutexGuard<'_, SharedTables> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Copy of all effects recorded by this process.
    #[must_use]
    pub fn effects(&self) -> Vec<EffectRecord> {
        self.lock().effects.clone()
    }

    /// Increments the counter of the path, records the effect and returns the new count.
    ///
    /// Reads the clock under the lock, so that effects are ordered by time.
    fn apply_effect(&self, path: &str, make_record: impl FnOnce(u64) -> EffectRecord) -> u64 {
        let mut tables = self.lock();
        let counter = tables.counters.entry(path.to_owned()).or_default();
        *counter += 1;
        let count = *counter;
        let record = make_record(BootClock.micros());
        if let (Some(file), Ok(line)) = (&mut tables.file, serde_json::to_string(&record)) {
            // A target that can't record an effect must not report success.
            file.write_all(format!("{line}\n").as_bytes())
                .unwrap_or_else(|_| std::process::abort());
        }
        tables.effects.push(record);
        count
    }
}

/// Handle of a running stand-in target.
#[derive(Clone, Debug)]
pub struct StandinTarget {
    guard: Arc<Mutex<GrantGuard>>,
    crashed: Arc<AtomicBool>,
    server: Arc<StandinServer>,
}

impl StandinTarget {
    /// Starts a new instance without grants on its own thread.
    ///
    /// # Errors
    /// Returns the I/O error if the address can't be bound.
    pub fn start(settings: TargetSettings, shared: SharedState) -> std::io::Result<Self> {
        let key = TargetKey::from(&settings.name);
        let guard = GrantGuard::new(key, Incarnation(fastrand::u64(1..)));
        let guard = Arc::new(Mutex::new(guard));
        let service_guard = Arc::clone(&guard);
        let server = StandinServer::start(settings.address, move || {
            let slots = Rc::new(Semaphore::new(usize::from(settings.slots)));
            let service = Rc::new(TargetService {
                settings,
                guard: service_guard,
                shared,
                slots,
                waiting: std::cell::Cell::new(0),
            });
            move |request| {
                let service = Rc::clone(&service);
                async move { service.respond(request).await }
            }
        })?;
        Ok(Self { guard, crashed: Arc::default(), server: Arc::new(server) })
    }

    /// Whether the target may run requests for a shard now.
    #[must_use]
    pub fn owns(&self, shard: ShardIndex) -> bool {
        let crashed = self.crashed.load(Ordering::Relaxed);
        !crashed && lock(&self.guard).owns(shard, BootClock.now())
    }

    /// Shards that the target may run requests for now.
    #[must_use]
    pub fn owned_shards(&self) -> Vec<ShardIndex> {
        if self.crashed.load(Ordering::Relaxed) {
            return Vec::new();
        }
        let guard = lock(&self.guard);
        let now = BootClock.now();
        let grants = guard.held_grants().into_iter();
        grants.map(|grant| grant.shard).filter(|shard| guard.owns(*shard, now)).collect()
    }

    /// Announces that the target wants to leave.
    pub fn announce_leaving(&self) {
        lock(&self.guard).announce_leaving();
    }

    /// Simulates a crash of the machine: stops at once and breaks all connections.
    ///
    /// A crashed target owns no shard.
    pub fn crash(&self) {
        self.crashed.store(true, Ordering::Relaxed);
        self.server.crash();
    }
}

fn lock(guard: &Mutex<GrantGuard>) -> MutexGuard<'_, GrantGuard> {
    guard.lock().unwrap_or_else(PoisonError::into_inner)
}

struct TargetService {
    settings: TargetSettings,
    guard: Arc<Mutex<GrantGuard>>,
    shared: SharedState,
    slots: Rc<Semaphore>,
    waiting: std::cell::Cell<u16>,
}

impl TargetService {
    async fn respond(&self, mut request: Request) -> Response<BoxBody> {
        let body = read_all(&mut request).await;
        if request.path() == "/nickellead/order" {
            return match serde_json::from_slice::<TargetOrder>(&body) {
                Ok(order) => {
                    json(StatusCode::OK, &lock(&self.guard).apply(&order, BootClock.now()))
                }
                Err(_) => empty(StatusCode::BAD_REQUEST),
            };
        }
        if request.path() == "/nickellead/effects" {
            return json(StatusCode::OK, &self.shared.effects());
        }
        if request.path() == "/nickellead/leave" {
            lock(&self.guard).announce_leaving();
            return empty(StatusCode::OK);
        }
        let id = header_number(request.headers(), REQUEST_ID_HEADER).unwrap_or(0);
        let mut response = match self.run(&request).await {
            Ok(result) => json(StatusCode::OK, &result),
            Err(reason) => refusal_response(reason),
        };
        if let Ok(value) = actix_http::header::HeaderValue::from_str(&id.to_string()) {
            let name = actix_http::header::HeaderName::from_static(REQUEST_ID_HEADER);
            response.headers_mut().insert(name, value);
        }
        response
    }

    async fn run(&self, request: &Request) -> Result<TargetResponse, &'static str> {
        let headers = request.headers();
        let shard = header_number(headers, SHARD_HEADER).ok_or("no-shard")?;
        let epoch = header_number(headers, EPOCH_HEADER).ok_or("no-epoch")?;
        let operation = header_number(headers, OPERATION_HEADER).unwrap_or(0);
        let grant = ShardGrant { shard: ShardIndex(shard as u32), epoch: Epoch(epoch) };
        let admitted = lock(&self.guard).admit(grant, BootClock.now());
        let admitted =
            AdmittedRequest { guard: &self.guard, ticket: Some(admitted.map_err(refusal_name)?) };
        self.execute(request.path(), operation, grant, &admitted).await
    }

    async fn execute(
        &self,
        path: &str,
        operation: u64,
        grant: ShardGrant,
        admitted: &AdmittedRequest<'_>,
    ) -> Result<TargetResponse, &'static str> {
        if self.slots.available_permits() == 0 && self.waiting.get() >= self.settings.queue_capacity
        {
            return Err("busy");
        }
        let waiting = WaitingRequest::new(&self.waiting);
        let slot = self.slots.acquire().await;
        drop(waiting);
        let _slot = slot.map_err(|_| "busy")?;
        actix_rt::time::sleep(Duration::from_micros(self.settings.service_time_us)).await;
        admitted.check_effect()?;
        Ok(self.apply_effect(path, operation, grant))
    }

    fn apply_effect(&self, path: &str, operation: u64, grant: ShardGrant) -> TargetResponse {
        let count = self.shared.apply_effect(path, |at_us| EffectRecord {
            at_us,
            target: self.settings.name.clone(),
            service: path.split('/').nth(1).unwrap_or_default().to_owned(),
            operation,
            shard: grant.shard.0,
            epoch: grant.epoch.0,
        });
        TargetResponse { path: path.to_owned(), operation, count }
    }
}

/// Request admitted by the guard; finished on drop, also when its connection breaks.
struct AdmittedRequest<'a> {
    guard: &'a Mutex<GrantGuard>,
    ticket: Option<RequestTicket>,
}

impl AdmittedRequest<'_> {
    fn check_effect(&self) -> Result<(), &'static str> {
        let ticket = self.ticket.as_ref().ok_or("finished")?;
        lock(self.guard).check_effect(ticket, BootClock.now()).map_err(refusal_name)
    }
}

impl Drop for AdmittedRequest<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            lock(self.guard).finish(ticket);
        }
    }
}

/// Counts one request that waits for a slot, until dropped.
struct WaitingRequest<'a>(&'a std::cell::Cell<u16>);

impl<'a> WaitingRequest<'a> {
    fn new(count: &'a std::cell::Cell<u16>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Response of a stand-in target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TargetResponse {
    pub(crate) path: String,
    pub(crate) operation: u64,
    pub(crate) count: u64,
}

fn refusal_response(reason: &'static str) -> Response<BoxBody> {
    let mut builder = Response::build(StatusCode::SERVICE_UNAVAILABLE);
    builder.insert_header((REFUSAL_HEADER, reason));
    builder.finish().map_into_boxed_body()
}

const fn refusal_name(refusal: RunRefusal) -> &'static str {
    match refusal {
        RunRefusal::NoSession => "no-session",
        RunRefusal::NotHeld => "not-held",
        RunRefusal::Releasing => "releasing",
        RunRefusal::WrongEpoch => "wrong-epoch",
    }
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
