//! `get`, `apply`, `delete` and `watch`: command-line client of the resource API.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use awc::http::{Method, StatusCode};
use nickellead_api::{ObjectKind, ResourceObject, read_json};
use nickellead_core::Version;
use serde_json::Value;

use super::{EXIT_USAGE, fail, print_line};

/// Timeout of a call, in addition to the requested wait.
const CALL_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);
/// Time that one watch call waits for changes.
const WATCH_WAIT_MS: u64 = 10_000;

/// show objects, or the status of a VM
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub(super) struct GetCommand {
    /// operators' address of any VM
    #[argh(option)]
    vm: SocketAddr,
    /// output format: table, or json for complete objects
    #[argh(option, short = 'o', default = "String::from(\"table\")")]
    output: String,
    /// kind: service, target, mandate, placement or status
    #[argh(positional)]
    kind: String,
    /// name of one object
    #[argh(positional)]
    name: Option<String>,
}

/// write declarations; idempotent
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(super) struct ApplyCommand {
    /// operators' address of any VM
    #[argh(option)]
    vm: SocketAddr,
    /// JSON file or folder of JSON files, each with one object or a list of objects
    #[argh(option, short = 'f')]
    file: PathBuf,
    /// show the changes without writing them
    #[argh(switch)]
    dry_run: bool,
}

/// delete one object
#[derive(FromArgs)]
#[argh(subcommand, name = "delete")]
pub(super) struct DeleteCommand {
    /// operators' address of any VM
    #[argh(option)]
    vm: SocketAddr,
    /// kind: service or target
    #[argh(positional)]
    kind: String,
    /// name of the object
    #[argh(positional)]
    name: String,
}

/// print changes of declarations as they occur
#[derive(FromArgs)]
#[argh(subcommand, name = "watch")]
pub(super) struct WatchCommand {
    /// operators' address of any VM
    #[argh(option)]
    vm: SocketAddr,
    /// revision to resume from; default is the current one
    #[argh(option)]
    from: Option<u64>,
    /// number of ten-second waits before the command ends; default is no limit
    #[argh(option)]
    waits: Option<u64>,
}

impl GetCommand {
    pub(super) fn run(self) -> ExitCode {
        exit_code(block_on(self.show()))
    }

    async fn show(self) -> Result<(), String> {
        let api = ApiClient::new(self.vm);
        if self.kind == "status" {
            let status = api.call(Method::GET, "/v1/status", None).await?;
            print_line(&pretty(&status));
            return Ok(());
        }
        let kind = parse_kind(&self.kind)?;
        let objects = match &self.name {
            Some(name) => vec![api.get(kind, name).await?.ok_or("there is no such object")?],
            None => api.list().await?.into_iter().filter(|object| object.kind == kind).collect(),
        };
        for object in objects {
            if self.output == "json" {
                print_line(&pretty(&serde_json::to_value(&object).unwrap_or_default()));
            } else {
                print_line(&format!(
                    "{:<10} {:<28} {:>8} {}",
                    object.kind.as_str(),
                    object.name,
                    object.version,
                    summary(&object)
                ));
            }
        }
        Ok(())
    }
}

impl ApplyCommand {
    pub(super) fn run(self) -> ExitCode {
        exit_code(block_on(self.apply()))
    }

    async fn apply(self) -> Result<(), String> {
        let mut objects = Vec::new();
        for path in declaration_files(&self.file)? {
            objects.extend(read_declarations(&path)?);
        }
        // Writes services before the targets that refer to them.
        objects.sort_by(|left, right| (left.kind, &left.name).cmp(&(right.kind, &right.name)));
        let api = ApiClient::new(self.vm);
        for object in objects {
            self.apply_one(&api, &object).await?;
        }
        Ok(())
    }

    async fn apply_one(&self, api: &ApiClient, object: &ResourceObject) -> Result<(), String> {
        let label = format!("{}/{}", object.kind.as_str(), object.name);
        let old = api.get(object.kind, object.name.as_str()).await?;
        let desired = normalized_spec(object)?;
        let version = match &old {
            Some(old) if normalized_spec(old)? == desired => {
                print_line(&format!("{label} unchanged"));
                return Ok(());
            }
            Some(old) => old.version,
            None => Version::ZERO,
        };
        let verb = if old.is_some() { "changed" } else { "created" };
        if self.dry_run {
            print_line(&format!("{label} would be {verb}"));
            return Ok(());
        }
        let path =
            format!("/v1/objects/{}/{}?version={version}", object.kind.as_str(), object.name);
        let response = api.call(Method::PUT, &path, Some(&desired)).await;
        let response = response.map_err(|error| format!("{label}: {error}"))?;
        print_line(&format!("{label} {verb}, version {}", response["version"]));
        Ok(())
    }
}

impl DeleteCommand {
    pub(super) fn run(self) -> ExitCode {
        exit_code(block_on(async {
            let api = ApiClient::new(self.vm);
            let kind = parse_kind(&self.kind)?;
            let Some(object) = api.get(kind, &self.name).await? else {
                print_line(&format!("{}/{} is not there", self.kind, self.name));
                return Ok(());
            };
            let path =
                format!("/v1/objects/{}/{}?version={}", self.kind, self.name, object.version);
            api.call(Method::DELETE, &path, None).await?;
            print_line(&format!("{}/{} deleted", self.kind, self.name));
            Ok(())
        }))
    }
}

impl WatchCommand {
    pub(super) fn run(self) -> ExitCode {
        exit_code(block_on(async {
            let api = ApiClient::new(self.vm);
            let mut from = match self.from {
                Some(from) => from,
                None => {
                    let list = api.call(Method::GET, "/v1/objects", None).await?;
                    list["revision"].as_u64().unwrap_or(0)
                }
            };
            let mut waits = 0;
            while self.waits.is_none_or(|limit| waits < limit) {
                waits += 1;
                let path = format!("/v1/watch?from={from}&wait_ms={WATCH_WAIT_MS}");
                let page = api.call(Method::GET, &path, None).await?;
                for event in page["events"].as_array().into_iter().flatten() {
                    print_line(&event.to_string());
                }
                from = page["revision"].as_u64().unwrap_or(from);
            }
            Ok(())
        }))
    }
}

struct ApiClient {
    http: awc::Client,
    vm: SocketAddr,
}

impl ApiClient {
    fn new(vm: SocketAddr) -> Self {
        let watch_wait = std::time::Duration::from_millis(WATCH_WAIT_MS);
        let http = awc::Client::builder().timeout(watch_wait + CALL_TIMEOUT).finish();
        Self { http, vm }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, String> {
        let (status, body) = self.exchange(method, path, body).await?;
        if status.is_success() { Ok(body) } else { Err(error_message(status, &body)) }
    }

    async fn get(&self, kind: ObjectKind, name: &str) -> Result<Option<ResourceObject>, String> {
        let path = format!("/v1/objects/{}/{name}", kind.as_str());
        let (status, body) = self.exchange(Method::GET, &path, None).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        if !status.is_success() {
            return Err(error_message(status, &body));
        }
        serde_json::from_value(body).map(Some).map_err(|error| error.to_string())
    }

    async fn list(&self) -> Result<Vec<ResourceObject>, String> {
        let list = self.call(Method::GET, "/v1/objects", None).await?;
        serde_json::from_value(list["items"].clone()).map_err(|error| error.to_string())
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(StatusCode, Value), String> {
        let request = self.http.request(method, format!("http://{}{path}", self.vm));
        let sent = match body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        };
        let mut response = sent.map_err(|error| format!("VM {}: {error}", self.vm))?;
        let body = response.body().limit(32 << 20).await.map_err(|error| error.to_string())?;
        Ok((response.status(), serde_json::from_slice(&body).unwrap_or(Value::Null)))
    }
}

fn error_message(status: StatusCode, body: &Value) -> String {
    let reason = body["reason"].as_str().unwrap_or("no reason given");
    match body["field"].as_str() {
        Some(field) => format!("field {field}: {reason}"),
        None => format!("{status}: {reason}"),
    }
}

fn parse_kind(name: &str) -> Result<ObjectKind, String> {
    ObjectKind::from_name(name).ok_or_else(|| {
        format!("unknown kind {name:?}: use service, target, mandate, placement or status")
    })
}

/// Spec with all defaults filled in, so that equivalent declarations compare equal.
fn normalized_spec(object: &ResourceObject) -> Result<Value, String> {
    let text = object.spec.to_string();
    let normalized = match object.kind {
        ObjectKind::Service => read_json::<nickellead_api::ServiceSpec>(text.as_bytes())
            .map(|spec| serde_json::to_value(spec).unwrap_or_default()),
        ObjectKind::Target => read_json::<nickellead_api::TargetSpec>(text.as_bytes())
            .map(|spec| serde_json::to_value(spec).unwrap_or_default()),
        ObjectKind::Mandate | ObjectKind::Placement => {
            return Err(format!("{} is only written by the system", object.kind.as_str()));
        }
    };
    normalized.map_err(|error| format!("{}/{}: {error}", object.kind.as_str(), object.name))
}

fn declaration_files(path: &Path) -> Result<Vec<PathBuf>, String> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let entries =
        std::fs::read_dir(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let mut files: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    files.retain(|file| file.extension().is_some_and(|extension| extension == "json"));
    files.sort();
    Ok(files)
}

fn read_declarations(path: &Path) -> Result<Vec<ResourceObject>, String> {
    let display = path.display();
    let text = std::fs::read(path).map_err(|error| format!("{display}: {error}"))?;
    let value: Value =
        serde_json::from_slice(&text).map_err(|error| format!("{display}: {error}"))?;
    let text = match value {
        list @ Value::Array(_) => list,
        one => Value::Array(vec![one]),
    };
    read_json(text.to_string().as_bytes()).map_err(|error| format!("{display}: {error}"))
}

fn summary(object: &ResourceObject) -> String {
    match object.kind {
        ObjectKind::Service => format!(
            "zones={} shards={} {}",
            object.spec["zones"],
            object.spec["shards"],
            status_summary(object)
        ),
        ObjectKind::Target => format!(
            "service={} zone={} state={} {}",
            object.spec["service"],
            object.spec["zone"],
            object.spec["state"],
            status_summary(object)
        ),
        ObjectKind::Mandate | ObjectKind::Placement => String::new(),
    }
}

/// Status of the object as known to the VM that responded.
fn status_summary(object: &ResourceObject) -> String {
    let Some(status) = &object.status else { return "status=unknown".to_owned() };
    let in_force = format!("in_force={}", status["in_force"]);
    match status["zones"].as_array() {
        None => format!("{in_force} shards={}", status["shards"]),
        Some(zones) => {
            let total =
                |field: &str| zones.iter().filter_map(|zone| zone[field].as_u64()).sum::<u64>();
            let (served, moving, nobody) = (total("served"), total("moving"), total("nobody"));
            format!("{in_force} served={served} moving={moving} nobody={nobody}")
        }
    }
}

fn pretty(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}

fn block_on<F: Future<Output = Result<(), String>>>(work: F) -> Result<(), String> {
    actix_rt::Runtime::new().map_err(|error| error.to_string())?.block_on(work)
}

fn exit_code(outcome: Result<(), String>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => fail(EXIT_USAGE, &message),
    }
}
