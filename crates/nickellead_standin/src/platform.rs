//! Stand-in for the platform's object API.

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

/// Interval at which a waiting watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Injected faults; they can be changed at run time by a request to `/admin/faults`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Whether every call fails without an effect.
    pub down: bool,
    /// Delay added to every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of writes in 1,000 that take effect but lose their response.
    pub lost_answers: u32,
}

/// Settings at the start of the stand-in.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// List of VMs that it serves.
    pub vms: Vec<ListedVm>,
}

#[derive(Debug, Default)]
struct PlatformState {
    store: ObjectStore,
    vms: Vec<ListedVm>,
    faults: PlatformFaults,
}

/// Handle of a running stand-in; dropping the last clone stops it.
#[derive(Clone, Debug)]
pub struct StandinPlatform {
    state: Arc<Mutex<PlatformState>>,
    _server: Arc<StandinServer>,
}

impl StandinPlatform {
    /// Starts the stand-in on its own thread.
    ///
    /// # Errors
    /// Returns the I/O error if the address can't be bound.
    pub fn start(settings: PlatformSettings) -> std::io::Result<Self> {
        let state = PlatformState { vms: settings.vms, ..PlatformState::default() };
        let state = Arc::new(Mutex::new(state));
        let shared = Arc::clone(&state);
        let server = StandinServer::start(settings.address, move || {
            let service = Rc::new(PlatformService { state: shared });
            move |request| {
                let service = Rc::clone(&service);
                async move { service.respond(request).await }
            }
        })?;
        Ok(Self { state, _server: Arc::new(server) })
    }

    /// Copy of the current objects.
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
    async fn respond(&self, mut request: Request) -> Response<BoxBody> {
        let body = read_all(&mut request).await;
        let path = request.path().to_owned();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        if let ["admin", command] = segments.as_slice() {
            return self.administer(command, &body);
        }
        let faults = lock(&self.state).faults;
        if faults.slow_ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if lock(&self.state).faults.down {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let query = request.uri().query().unwrap_or_default().to_owned();
        let response = self.handle_call(request.method(), &segments, &query, &body).await;
        let response_lost = fastrand::u32(0..1_000) < faults.lost_answers;
        if response_lost && request.method() != Method::GET {
            return empty(StatusCode::GATEWAY_TIMEOUT);
        }
        response
    }

    async fn handle_call(
        &self,
        method: &Method,
        segments: &[&str],
        query: &str,
        body: &[u8],
    ) -> Response<BoxBody> {
        match (method.as_str(), segments) {
            ("GET", ["v1", "vms"]) => json(StatusCode::OK, &lock(&self.state).vms),
            ("GET", ["v1", "objects"]) => {
                json(StatusCode::OK, &lock(&self.state).store.list_declared())
            }
            ("GET", ["v1", "watch"]) => self.watch(query).await,
            (method, ["v1", "objects", kind, name]) => {
                let (Some(kind), Ok(name)) = (ObjectKind::from_name(kind), Name::new(name)) else {
                    return empty(StatusCode::NOT_FOUND);
                };
                self.handle_object(method, kind, &name, query, body)
            }
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    fn handle_object(
        &self,
        method: &str,
        kind: ObjectKind,
        name: &Name,
        query: &str,
        body: &[u8],
    ) -> Response<BoxBody> {
        let mut state = lock(&self.state);
        let expected = Version(query_number(query, "version").unwrap_or(0));
        let result = match method {
            "GET" => {
                return match state.store.get(kind, name) {
                    Ok(object) => json(StatusCode::OK, &object),
                    Err(error) => error_response(error),
                };
            }
            "PUT" => match serde_json::from_slice(body) {
                Ok(spec) => state.store.put(kind, name, expected, spec),
                Err(_) => return empty(StatusCode::BAD_REQUEST),
            },
            "DELETE" => state.store.delete(kind, name, expected),
            _ => return empty(StatusCode::METHOD_NOT_ALLOWED),
        };
        match result {
            Ok(version) => json(StatusCode::OK, &WriteReceipt { version }),
            Err(error) => error_response(error),
        }
    }

    async fn watch(&self, query: &str) -> Response<BoxBody> {
        let from = Version(query_number(query, "from").unwrap_or(0));
        let timeout = Duration::from_millis(query_number(query, "wait_ms").unwrap_or(0));
        let deadline = Instant::now() + timeout;
        loop {
            {
                let state = lock(&self.state);
                if state.faults.down {
                    return empty(StatusCode::SERVICE_UNAVAILABLE);
                }
                match state.store.changes_since(from) {
                    Err(error) => return error_response(error),
                    Ok(page) if !page.events.is_empty() || Instant::now() >= deadline => {
                        return json(StatusCode::OK, &page);
                    }
                    Ok(_) => {}
                }
            }
            actix_rt::time::sleep(WATCH_POLL_INTERVAL).await;
        }
    }

    fn administer(&self, command: &str, body: &[u8]) -> Response<BoxBody> {
        let mut state = lock(&self.state);
        match command {
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

fn error_response(error: StoreError) -> Response<BoxBody> {
    match error {
        StoreError::NotFound => empty(StatusCode::NOT_FOUND),
        StoreError::Compacted => empty(StatusCode::GONE),
        StoreError::Conflict(version) => json(StatusCode::CONFLICT, &WriteReceipt { version }),
    }
}
