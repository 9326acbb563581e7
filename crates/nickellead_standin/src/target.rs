//! A stand-in for a target: slots, service time, sheds, and the grant guard.

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

/// Header with a caller's own number of an operation.
pub(crate) const OPERATION_HEADER: &str = "x-operation-id";

/// How a stand-in target starts.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Its name, as declared.
    pub name: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests it runs side by side.
    pub slots: u16,
    /// Requests that may wait for a slot before it sheds.
    pub queue_capacity: u16,
    /// How long a request runs, in microseconds.
    pub service_time_us: u64,
}

/// State that all stand-in targets of one process share: the users' own data.
#[derive(Clone, Debug, Default)]
pub struct SharedState(Arc<Mutex<SharedTables>>);

#[derive(Debug, Default)]
struct SharedTables {
    counters: HashMap<String, u64>,
    effects: Vec<EffectRecord>,
    file: Option<File>,
}

impl SharedState {
    /// State whose effects are also appended to a file, a line of JSON each.
    ///
    /// # Errors
    /// The system's error when the file can't be opened.
    pub fn with_effects_file(path: &Path) -> std::io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let tables = SharedTables { file: Some(file), ..SharedTables::default() };
        Ok(Self(Arc::new(Mutex::new(tables))))
    }

    fn lock(&self) -> MutexGuard<'_, SharedTables> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Every effect so far.
    #[must_use]
    pub fn effects(&self) -> Vec<EffectRecord> {
        self.lock().effects.clone()
    }

    /// Lets a request have its effect; returns the path's count after it.
    ///
    /// The time is taken under the lock, so that effects are in order of time.
    fn effect(&self, path: &str, make: impl FnOnce(u64) -> EffectRecord) -> u64 {
        let mut tables = self.lock();
        let counter = tables.counters.entry(path.to_owned()).or_default();
        *counter += 1;
        let count = *counter;
        let record = make(BootClock.micros());
        if let (Some(file), Ok(line)) = (&mut tables.file, serde_json::to_string(&record)) {
            // A target that can't write its journal must not answer "done".
            file.write_all(format!("{line}\n").as_bytes())
                .unwrap_or_else(|_| std::process::abort());
        }
        tables.effects.push(record);
        count
    }
}

/// A running stand-in target.
#[derive(Clone, Debug)]
pub struct StandinTarget {
    guard: Arc<Mutex<GrantGuard>>,
    lost: Arc<AtomicBool>,
    server: Arc<StandinServer>,
}

impl StandinTarget {
    /// Starts it on a thread of its own, as a new life that holds nothing.
    ///
    /// # Errors
    /// The system's error when the address can't be listened on.
    pub fn start(settings: TargetSettings, shared: SharedState) -> std::io::Result<Self> {
        let key = TargetKey::from(&settings.name);
        let guard = GrantGuard::new(key, Incarnation(fastrand::u64(1..)));
        let guard = Arc::new(Mutex::new(guard));
        let for_service = Arc::clone(&guard);
        let server = StandinServer::start(settings.address, move || {
            let slots = Rc::new(Semaphore::new(usize::from(settings.slots)));
            let service = Rc::new(TargetService {
                settings,
                guard: for_service,
                shared,
                slots,
                waiting: std::cell::Cell::new(0),
            });
            move |request| {
                let service = Rc::clone(&service);
                async move { service.answer(request).await }
            }
        })?;
        Ok(Self { guard, lost: Arc::default(), server: Arc::new(server) })
    }

    /// Whether it may run requests for a shard now.
    #[must_use]
    pub fn owns(&self, shard: ShardIndex) -> bool {
        let lost = self.lost.load(Ordering::Relaxed);
        !lost && lock(&self.guard).owns(shard, BootClock.now())
    }

    /// The shards that it may run requests for now.
    #[must_use]
    pub fn owned_shards(&self) -> Vec<ShardIndex> {
        if self.lost.load(Ordering::Relaxed) {
            return Vec::new();
        }
        let guard = lock(&self.guard);
        let now = BootClock.now();
        let grants = guard.held_grants().into_iter();
        grants.map(|grant| grant.shard).filter(|shard| guard.owns(*shard, now)).collect()
    }

    /// Says that it wants to leave.
    pub fn announce_leaving(&self) {
        lock(&self.guard).announce_leaving();
    }

    /// Ends at once, as a machine that is taken away: every connection breaks.
    ///
    /// What it owned it owns no more: nothing of it runs.
    pub fn crash(&self) {
        self.lost.store(true, Ordering::Relaxed);
        self.server.lose();
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
    async fn answer(&self, mut request: Request) -> Response<BoxBody> {
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
            Ok(answer) => json(StatusCode::OK, &answer),
            Err(reason) => refuse(reason),
        };
        if let Ok(value) = actix_http::header::HeaderValue::from_str(&id.to_string()) {
            let name = actix_http::header::HeaderName::from_static(REQUEST_ID_HEADER);
            response.headers_mut().insert(name, value);
        }
        response
    }

    async fn run(&self, request: &Request) -> Result<TargetAnswer, &'static str> {
        let headers = request.headers();
        let shard = header_number(headers, SHARD_HEADER).ok_or("no-shard")?;
        let epoch = header_number(headers, EPOCH_HEADER).ok_or("no-epoch")?;
        let operation = header_number(headers, OPERATION_HEADER).unwrap_or(0);
        let grant = ShardGrant { shard: ShardIndex(shard as u32), epoch: Epoch(epoch) };
        let admitted = lock(&self.guard).admit(grant, BootClock.now());
        let admitted =
            AdmittedRequest { guard: &self.guard, ticket: Some(admitted.map_err(refusal_name)?) };
        self.work(request.path(), operation, grant, &admitted).await
    }

    async fn work(
        &self,
        path: &str,
        operation: u64,
        grant: ShardGrant,
        admitted: &AdmittedRequest<'_>,
    ) -> Result<TargetAnswer, &'static str> {
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
        Ok(self.effect(path, operation, grant))
    }

    fn effect(&self, path: &str, operation: u64, grant: ShardGrant) -> TargetAnswer {
        let count = self.shared.effect(path, |at_us| EffectRecord {
            at_us,
            target: self.settings.name.clone(),
            service: path.split('/').nth(1).unwrap_or_default().to_owned(),
            operation,
            shard: grant.shard.0,
            epoch: grant.epoch.0,
        });
        TargetAnswer { path: path.to_owned(), operation, count }
    }
}

/// A request that the guard admitted; given back also when its connection breaks.
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

/// Counts one request that waits for a slot.
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

/// What a stand-in target answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TargetAnswer {
    pub(crate) path: String,
    pub(crate) operation: u64,
    pub(crate) count: u64,
}

fn refuse(reason: &'static str) -> Response<BoxBody> {
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
