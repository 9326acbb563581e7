//! A stand-in for the platform's object API.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use nickellead_api::ObjectKind;
use nickellead_core::{Name, Version};
use nickellead_platform::{ListedVm, WriteReceipt};
use serde::{Deserialize, Serialize};

use crate::serve::{StandinServer, empty, json, query_number, read_all};
use crate::store::{ObjectStore, StoreError};

/// Between two looks of a waiting watch.
const WATCH_POLL: Duration = Duration::from_millis(5);

/// Ways to fail, changed while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Every call ends with an error and has no effect.
    pub down: bool,
    /// Every call takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// Of 1,000 writes, this many take effect and lose their answer.
    pub lost_answers: u32,
}

/// How the stand-in starts.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its list of VMs.
    pub vms: Vec<ListedVm>,
}

#[derive(Debug, Default)]
struct PlatformState {
    store: ObjectStore,
    vms: Vec<ListedVm>,
    faults: PlatformFaults,
}

/// A running stand-in.
#[derive(Clone, Debug)]
pub struct StandinPlatform {
    state: Arc<Mutex<PlatformState>>,
    _server: Arc<StandinServer>,
}

impl StandinPlatform {
    /// Starts it on a thread of its own.
    ///
    /// # Errors
    /// The system's error when the address can't be listened on.
    pub fn start(settings: PlatformSettings) -> std::io::Result<Self> {
        let state = PlatformState { vms: settings.vms, ..PlatformState::default() };
        let state = Arc::new(Mutex::new(state));
        let shared = Arc::clone(&state);
        let server = StandinServer::start(settings.address, move || {
            let service = Rc::new(PlatformService { state: shared });
            move |request| {
                let service = Rc::clone(&service);
                async move { service.answer(request).await }
            }
        })?;
        Ok(Self { state, _server: Arc::new(server) })
    }

    /// The objects as they are now.
    #[must_use]
    pub fn store(&self) -> ObjectStore {
        lock(&self.state).store.clone()
    }
}

fn lock(state: &Mutex<PlatformState>) -> MutexGuard<'_, PlatformState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

struct PlatformService {
    state: Arc<Mutex<PlatformState>>,
}

impl PlatformService {
    async fn answer(&self, mut request: Request) -> Response<BoxBody> {
        let body = read_all(&mut request).await;
        let path = request.path().to_owned();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        if let ["admin", what] = parts.as_slice() {
            return self.administer(what, &body);
        }
        let faults = lock(&self.state).faults;
        if faults.slow_ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if lock(&self.state).faults.down {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let query = request.uri().query().unwrap_or_default().to_owned();
        let response = self.call(request.method(), &parts, &query, &body).await;
        let lost = fastrand::u32(0..1_000) < faults.lost_answers;
        if lost && request.method() != Method::GET {
            return empty(StatusCode::GATEWAY_TIMEOUT);
        }
        response
    }

    async fn call(
        &self,
        method: &Method,
        parts: &[&str],
        query: &str,
        body: &[u8],
    ) -> Response<BoxBody> {
        match (method.as_str(), parts) {
            ("GET", ["v1", "vms"]) => json(StatusCode::OK, &lock(&self.state).vms),
            ("GET", ["v1", "objects"]) => {
                json(StatusCode::OK, &lock(&self.state).store.list_declared())
            }
            ("GET", ["v1", "watch"]) => self.watch(query).await,
            (method, ["v1", "objects", kind, name]) => {
                let (Some(kind), Ok(name)) = (ObjectKind::from_name(kind), Name::new(name)) else {
                    return empty(StatusCode::NOT_FOUND);
                };
                self.object(method, kind, &name, query, body)
            }
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    fn object(
        &self,
        method: &str,
        kind: ObjectKind,
        name: &Name,
        query: &str,
        body: &[u8],
    ) -> Response<BoxBody> {
        let mut state = lock(&self.state);
        let expected = Version(query_number(query, "version").unwrap_or(0));
        let written = match method {
            "GET" => {
                return match state.store.get(kind, name) {
                    Ok(object) => json(StatusCode::OK, &object),
                    Err(error) => refuse(error),
                };
            }
            "PUT" => match serde_json::from_slice(body) {
                Ok(spec) => state.store.put(kind, name, expected, spec),
                Err(_) => return empty(StatusCode::BAD_REQUEST),
            },
            "DELETE" => state.store.delete(kind, name, expected),
            _ => return empty(StatusCode::METHOD_NOT_ALLOWED),
        };
        match written {
            Ok(version) => json(StatusCode::OK, &WriteReceipt { version }),
            Err(error) => refuse(error),
        }
    }

    async fn watch(&self, query: &str) -> Response<BoxBody> {
        let from = Version(query_number(query, "from").unwrap_or(0));
        let wait = Duration::from_millis(query_number(query, "wait_ms").unwrap_or(0));
        let end = Instant::now() + wait;
        loop {
            {
                let state = lock(&self.state);
                if state.faults.down {
                    return empty(StatusCode::SERVICE_UNAVAILABLE);
                }
                match state.store.changes_since(from) {
                    Err(error) => return refuse(error),
                    Ok(page) if !page.events.is_empty() || Instant::now() >= end => {
                        return json(StatusCode::OK, &page);
                    }
                    Ok(_) => {}
                }
            }
            actix_rt::time::sleep(WATCH_POLL).await;
        }
    }

    fn administer(&self, what: &str, body: &[u8]) -> Response<BoxBody> {
        let mut state = lock(&self.state);
        match what {
            "faults" => match serde_json::from_slice(body) {
                Ok(faults) => state.faults = faults,
                Err(_) => return empty(StatusCode::BAD_REQUEST),
            },
            "vms" => match serde_json::from_slice(body) {
                Ok(vms) => state.vms = vms,
                Err(_) => return empty(StatusCode::BAD_REQUEST),
            },
            "compact" => state.store.compact(),
            _ => return empty(StatusCode::NOT_FOUND),
        }
        empty(StatusCode::OK)
    }
}

fn refuse(error: StoreError) -> Response<BoxBody> {
    match error {
        StoreError::NotFound => empty(StatusCode::NOT_FOUND),
        StoreError::Compacted => empty(StatusCode::GONE),
        StoreError::Conflict(version) => json(StatusCode::CONFLICT, &WriteReceipt { version }),
    }
}
