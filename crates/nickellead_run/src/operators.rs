//! Operators' thread: resource API, status, metrics, liveness and readiness.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use nickellead_api::{FieldError, ObjectKind, ResourceObject, ServiceSpec, TargetSpec, read_json};
use nickellead_core::{ErrorKind, Name, Version};
use nickellead_limit::{ByteBudget, HeldBytes, MemoryBounds};
use nickellead_platform::{CallCounter, PlatformClient, PlatformError};
use nickellead_proxy::{ServeBounds, ServeState, error_response, read_body, serve_http};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use serde::Serialize;
use serde_json::json;
use tokio::sync::oneshot;

use crate::channel::{ChannelSender, try_send};
use crate::coordination::{CoordinationMessage, CoordinationStatus};
use crate::object_status::StatusView;
use crate::peers::PeerMessage;
use crate::readiness::Readiness;

/// Maximum number of concurrent connections from operators.
const MAX_CONNECTIONS: usize = 256;
/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Maximum time that a watch request is held open.
const MAX_WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of status requests to the coordination and peers threads.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Dependencies of the operators' thread.
pub(crate) struct OperatorContext {
    pub(crate) vm: Name,
    pub(crate) zone: Name,
    pub(crate) listener: TcpListener,
    pub(crate) platform: SocketAddr,
    pub(crate) call_counter: CallCounter,
    pub(crate) registry: Registry,
    pub(crate) coordination: ChannelSender<CoordinationMessage>,
    pub(crate) peers: ChannelSender<PeerMessage>,
    pub(crate) readiness: Arc<Readiness>,
    pub(crate) state: Arc<ServeState>,
    /// Most bytes that this thread holds for operators.
    pub(crate) memory: MemoryBounds,
}

/// Starts the operators' thread.
///
/// # Errors
/// Returns the error of the operating system if the thread can't be started.
pub(crate) fn build(context: OperatorContext) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name("operators".to_owned()).spawn(move || {
        if let Ok(runtime) = actix_rt::Runtime::new() {
            runtime.block_on(run(context));
        }
    })
}

async fn run(context: OperatorContext) {
    let state = Arc::clone(&context.state);
    let client = PlatformClient::new(context.platform, context.call_counter.clone());
    let Ok(listener) = context.listener.try_clone() else {
        return;
    };
    let memory = ByteBudget::with_bounds(context.memory);
    let bounds = ServeBounds::new(MAX_CONNECTIONS, memory.clone());
    let api = Rc::new(OperatorApi { context, client, memory });
    let handler = move |request| {
        let api = Rc::clone(&api);
        async move { api.respond(request).await.unwrap_or_else(ApiError::into_response) }
    };
    serve_http(listener, bounds, state, handler).await;
}

/// Reason why the API rejects a request.
#[derive(Debug)]
enum ApiError {
    NotFound,
    MethodNotAllowed,
    Field(FieldError),
    Platform(PlatformError),
    TooLarge,
    Unread(ErrorKind),
}

impl ApiError {
    fn into_response(self) -> Response<BoxBody> {
        match self {
            Self::NotFound => error(StatusCode::NOT_FOUND, "not-found", "no such path or object"),
            Self::MethodNotAllowed => {
                let reason = "this kind or path does not support the method";
                error(StatusCode::METHOD_NOT_ALLOWED, "method-not-allowed", reason)
            }
            Self::TooLarge => {
                error(StatusCode::PAYLOAD_TOO_LARGE, "too-large", "the request body exceeds 1 MiB")
            }
            Self::Unread(kind) => error_response(kind),
            Self::Field(field) => reply(
                StatusCode::UNPROCESSABLE_ENTITY,
                &json!({"error": "invalid", "field": field.field, "reason": field.reason}),
            ),
            Self::Platform(PlatformError::NotFound) => Self::NotFound.into_response(),
            Self::Platform(PlatformError::Conflict(version)) => reply(
                StatusCode::CONFLICT,
                &json!({"error": "conflict", "version": version,
                    "reason": "the object has changed: read it again, write with its version"}),
            ),
            Self::Platform(PlatformError::Compacted) => {
                error(StatusCode::GONE, "compacted", "list again and watch from the new revision")
            }
            Self::Platform(other) => {
                error(StatusCode::SERVICE_UNAVAILABLE, "platform", &other.to_string())
            }
        }
    }
}

impl From<PlatformError> for ApiError {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

impl From<FieldError> for ApiError {
    fn from(error: FieldError) -> Self {
        Self::Field(error)
    }
}

struct OperatorApi {
    context: OperatorContext,
    client: PlatformClient,
    memory: ByteBudget,
}

impl OperatorApi {
    async fn respond(&self, mut request: Request) -> Result<Response<BoxBody>, ApiError> {
        let path = request.path().to_owned();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        let method = request.method().clone();
        match (method.clone(), segments.as_slice()) {
            (Method::GET, ["healthz"]) => Ok(text(StatusCode::OK, "live\n")),
            (Method::GET, ["readyz"]) => Ok(self.readiness()),
            (Method::GET, ["metrics"]) => Ok(self.metrics()),
            (Method::GET, ["v1", "status"]) => Ok(self.status().await),
            (Method::GET, ["v1", "watch"]) => self.watch(&request).await,
            (Method::GET, ["v1", "objects"]) => {
                let mut list = self.client.list_declared().await?;
                self.add_statuses(&mut list.items).await;
                Ok(reply(StatusCode::OK, &list))
            }
            (method, ["v1", "objects", kind, name]) => {
                let kind = ObjectKind::from_name(kind).ok_or(ApiError::NotFound)?;
                let name =
                    Name::new(name).map_err(|error| FieldError::new("name", error.to_string()))?;
                let (body, _held) = read_whole_body(&mut request, &self.memory).await?;
                let query = request.uri().query().unwrap_or_default().to_owned();
                self.handle_object(method, kind, &name, &query, &body).await
            }
            (Method::GET, _) => Err(ApiError::NotFound),
            _ => Err(ApiError::MethodNotAllowed),
        }
    }

    async fn handle_object(
        &self,
        method: Method,
        kind: ObjectKind,
        name: &Name,
        query: &str,
        body: &[u8],
    ) -> Result<Response<BoxBody>, ApiError> {
        if method == Method::GET {
            let mut object = self.client.get(kind, name).await?;
            self.add_statuses(std::slice::from_mut(&mut object)).await;
            return Ok(reply(StatusCode::OK, &object));
        }
        if !kind.is_declared() {
            return Err(ApiError::MethodNotAllowed);
        }
        let expected = query_number(query, "version")
            .ok_or_else(|| FieldError::new("version", "is required: 0 to create an object"))?;
        let expected = Version(expected);
        let version = match method {
            Method::PUT => self.put(kind, name, expected, body).await?,
            Method::DELETE => self.delete(kind, name, expected).await?,
            _ => return Err(ApiError::MethodNotAllowed),
        };
        Ok(reply(StatusCode::OK, &json!({"kind": kind, "name": name, "version": version})))
    }

    /// Adds a status to each object; leaves it out if the peers thread does not respond in time.
    async fn add_statuses(&self, objects: &mut [ResourceObject]) {
        let (sender, receiver) = oneshot::channel();
        try_send(&self.context.peers, PeerMessage::Summarize(sender));
        let Ok(Ok(zones)) = tokio::time::timeout(STATUS_TIMEOUT, receiver).await else { return };
        let revision = self.context.readiness.revision();
        let view = StatusView { vm: &self.context.vm, revision, zones: &zones };
        objects.iter_mut().for_each(|object| view.add_status(object));
    }

    async fn put(
        &self,
        kind: ObjectKind,
        name: &Name,
        expected: Version,
        body: &[u8],
    ) -> Result<Version, ApiError> {
        let current = match self.client.get(kind, name).await {
            Ok(object) => Some(object),
            Err(PlatformError::NotFound) => None,
            Err(error) => return Err(error.into()),
        };
        let spec = match kind {
            ObjectKind::Service => check_service(body, current.as_ref())?,
            ObjectKind::Target => self.check_target(body, current.as_ref()).await?,
            ObjectKind::Mandate | ObjectKind::Placement => return Err(ApiError::MethodNotAllowed),
        };
        match self.client.put(kind, name, expected, &spec).await {
            // The write may have taken effect although its response was lost: read it back.
            Err(PlatformError::Unavailable(reason)) => match self.client.get(kind, name).await {
                Ok(object) if object.spec == spec && object.version > expected => {
                    Ok(object.version)
                }
                _ => Err(PlatformError::Unavailable(reason).into()),
            },
            other => Ok(other?),
        }
    }

    async fn check_target(
        &self,
        body: &[u8],
        current: Option<&ResourceObject>,
    ) -> Result<serde_json::Value, ApiError> {
        let spec: TargetSpec = read_json(body)?;
        spec.check()?;
        if let Some(current) =
            current.and_then(|current| serde_json::from_value(current.spec.clone()).ok())
        {
            spec.check_change(&current)?;
        }
        let service = match self.client.get(ObjectKind::Service, &spec.service).await {
            Ok(object) => object,
            Err(PlatformError::NotFound) => {
                return Err(FieldError::new("service", "is not declared: declare it first").into());
            }
            Err(error) => return Err(error.into()),
        };
        let service: Option<ServiceSpec> = serde_json::from_value(service.spec).ok();
        if service.is_some_and(|service| !service.zones.contains(&spec.zone)) {
            return Err(FieldError::new("zone", "is not among the service's zones").into());
        }
        Ok(to_value(&spec))
    }

    async fn delete(
        &self,
        kind: ObjectKind,
        name: &Name,
        expected: Version,
    ) -> Result<Version, ApiError> {
        if kind == ObjectKind::Service {
            let list = self.client.list_declared().await?;
            let is_target_of_service = |item: &ResourceObject| {
                item.kind == ObjectKind::Target && item.spec["service"] == name.as_str()
            };
            if list.items.iter().any(is_target_of_service) {
                let reason = "still has targets: drain and delete them first";
                return Err(FieldError::new("name", reason).into());
            }
        }
        Ok(self.client.delete(kind, name, expected).await?)
    }

    async fn watch(&self, request: &Request) -> Result<Response<BoxBody>, ApiError> {
        let query = request.uri().query().unwrap_or_default();
        let from = query_number(query, "from")
            .ok_or_else(|| FieldError::new("from", "is required and must be a revision"))?;
        let timeout = Duration::from_millis(query_number(query, "wait_ms").unwrap_or(10_000));
        let page = self.client.watch(Version(from), timeout.min(MAX_WATCH_TIMEOUT)).await?;
        Ok(reply(StatusCode::OK, &page))
    }

    fn readiness(&self) -> Response<BoxBody> {
        if self.context.readiness.is_ready() {
            text(StatusCode::OK, "ready\n")
        } else {
            text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    fn metrics(&self) -> Response<BoxBody> {
        let mut body = String::new();
        match encode(&mut body, &self.context.registry) {
            Ok(()) => text(StatusCode::OK, &body),
            Err(_) => text(StatusCode::INTERNAL_SERVER_ERROR, "failed to encode metrics\n"),
        }
    }

    async fn status(&self) -> Response<BoxBody> {
        let (sender, receiver) = oneshot::channel();
        try_send(&self.context.coordination, CoordinationMessage::Status(sender));
        let status = tokio::time::timeout(STATUS_TIMEOUT, receiver).await;
        let coordination = match status {
            Ok(Ok(status)) => to_status_json(&status),
            _ => serde_json::Value::Null,
        };
        let body = json!({
            "vm": self.context.vm,
            "zone": self.context.zone,
            "ready": self.context.readiness.is_ready(),
            "config_revision": self.context.readiness.revision(),
            "platform_calls": self.context.call_counter.count(),
            "coordination": coordination,
        });
        reply(StatusCode::OK, &body)
    }
}

fn to_status_json(status: &CoordinationStatus) -> serde_json::Value {
    let target = |target: &nickellead_lease::TargetStatus| {
        json!({
            "name": target.name,
            "phase": target.phase.as_str(),
            "shards": target.shards,
            "leaving": target.leaving,
        })
    };
    json!({
        "phase": status.phase.as_str(),
        "term": status.term,
        "published": [status.published.0, status.published.1],
        "standbys": status.standbys,
        "targets": status.targets.iter().map(target).collect::<Vec<_>>(),
    })
}

fn check_service(
    body: &[u8],
    current: Option<&ResourceObject>,
) -> Result<serde_json::Value, ApiError> {
    let spec: ServiceSpec = read_json(body)?;
    spec.check()?;
    if let Some(current) =
        current.and_then(|current| serde_json::from_value(current.spec.clone()).ok())
    {
        spec.check_change(&current)?;
    }
    Ok(to_value(&spec))
}

fn to_value<T: Serialize>(spec: &T) -> serde_json::Value {
    serde_json::to_value(spec).unwrap_or_default()
}

/// Reads a whole body; what it takes is held until the request ends.
async fn read_whole_body(
    request: &mut Request,
    memory: &ByteBudget,
) -> Result<(Vec<u8>, HeldBytes), ApiError> {
    let refuse = |kind| match kind {
        ErrorKind::BodyTooLarge => ApiError::TooLarge,
        kind => ApiError::Unread(kind),
    };
    let held = memory.admit_body(0);
    let mut held = held.map_err(|_| ApiError::Unread(ErrorKind::MemoryFull))?;
    let reading = read_body(request.take_payload(), None, MAX_BODY_BYTES, &mut held);
    let body = reading.await.map_err(refuse)?;
    Ok((body.to_vec(), held))
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}

fn reply<T: Serialize>(status: StatusCode, body: &T) -> Response<BoxBody> {
    let body = serde_json::to_string(body).unwrap_or_default();
    let mut builder = Response::build(status);
    builder.insert_header(("content-type", "application/json"));
    builder.body(body).map_into_boxed_body()
}

fn text(status: StatusCode, body: &str) -> Response<BoxBody> {
    Response::build(status).body(body.to_owned()).map_into_boxed_body()
}

fn error(status: StatusCode, code: &str, reason: &str) -> Response<BoxBody> {
    reply(status, &json!({"error": code, "reason": reason}))
}
