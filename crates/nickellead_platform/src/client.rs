//! Calls of the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use awc::http::{Method, StatusCode};
use bytes::Bytes;
use nickellead_api::{ObjectKind, ResourceObject};
use nickellead_core::{Name, Version};
use nickellead_lease::{ReadOutcome, WriteOutcome};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::message::{ListedVm, ObjectList, WatchPage, WriteReceipt};

/// Largest answer that is read, in bytes; the platform holds values up to a megabyte.
const ANSWER_LIMIT: usize = 32 * 1024 * 1024;
/// How long an answer may take beyond what the call asks for.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why a call of the platform gave nothing.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// No answer, or an error of the platform: a write may have taken effect.
    #[error("the platform did not answer: {0}")]
    Unavailable(String),
    /// The object has another version.
    #[error("the object has version {0} now: read it and decide anew")]
    Conflict(Version),
    /// There is no such object.
    #[error("there is no such object")]
    NotFound,
    /// The watch asked for changes that are not kept any more.
    #[error("the changes since then are not kept any more: list anew")]
    Compacted,
    /// The answer can't be read.
    #[error("the platform's answer can't be read: {0}")]
    Malformed(String),
}

/// Counts calls, for the budget and for metrics.
#[derive(Clone, Debug, Default)]
pub struct CallCounter(Arc<AtomicU64>);

impl CallCounter {
    /// Calls made so far.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// A client for one thread.
#[derive(Clone)]
pub struct PlatformClient {
    http: awc::Client,
    base: String,
    counter: CallCounter,
}

impl PlatformClient {
    /// A client of the platform at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, counter: CallCounter) -> Self {
        let http = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
        Self { http, base: format!("http://{address}/v1"), counter }
    }

    /// Reads one object's spec.
    pub async fn read<T: DeserializeOwned>(&self, kind: ObjectKind, name: &Name) -> ReadOutcome<T> {
        match self.get(kind, name).await {
            Ok(object) => match serde_json::from_value(object.spec) {
                Ok(spec) => ReadOutcome::Found(spec, object.version),
                Err(_) => ReadOutcome::Failed,
            },
            Err(PlatformError::NotFound) => ReadOutcome::Absent,
            Err(_) => ReadOutcome::Failed,
        }
    }

    /// Writes one object's spec if it has the expected version; 0 means absent.
    pub async fn write<T: Serialize>(
        &self,
        kind: ObjectKind,
        name: &Name,
        expected: Version,
        spec: &T,
    ) -> WriteOutcome {
        match self.put(kind, name, expected, spec).await {
            Ok(version) => WriteOutcome::Done(version),
            Err(PlatformError::Conflict(_)) => WriteOutcome::Conflict,
            Err(_) => WriteOutcome::Failed,
        }
    }

    /// Reads one object.
    ///
    /// # Errors
    /// [`PlatformError::NotFound`] when there is none; else why it could not be read.
    pub async fn get(
        &self,
        kind: ObjectKind,
        name: &Name,
    ) -> Result<ResourceObject, PlatformError> {
        let path = format!("/objects/{}/{name}", kind.as_str());
        self.call(Method::GET, &path, None, CALL_TIMEOUT).await
    }

    /// Writes one object if it has the expected version; 0 means absent.
    ///
    /// # Errors
    /// [`PlatformError::Conflict`] when the version differs. After
    /// [`PlatformError::Unavailable`] the write may have taken effect: read back.
    pub async fn put<T: Serialize>(
        &self,
        kind: ObjectKind,
        name: &Name,
        expected: Version,
        spec: &T,
    ) -> Result<Version, PlatformError> {
        let body = serde_json::to_vec(spec)
            .map_err(|error| PlatformError::Malformed(error.to_string()))?;
        let path = format!("/objects/{}/{name}?version={expected}", kind.as_str());
        let receipt: WriteReceipt =
            self.call(Method::PUT, &path, Some(body.into()), CALL_TIMEOUT).await?;
        Ok(receipt.version)
    }

    /// Deletes one object if it has the expected version.
    ///
    /// # Errors
    /// As [`PlatformClient::put`].
    pub async fn delete(
        &self,
        kind: ObjectKind,
        name: &Name,
        expected: Version,
    ) -> Result<Version, PlatformError> {
        let path = format!("/objects/{}/{name}?version={expected}", kind.as_str());
        let receipt: WriteReceipt = self.call(Method::DELETE, &path, None, CALL_TIMEOUT).await?;
        Ok(receipt.version)
    }

    /// Lists every object of the declared kinds.
    ///
    /// # Errors
    /// Why nothing could be read.
    pub async fn list_declared(&self) -> Result<ObjectList, PlatformError> {
        self.call(Method::GET, "/objects", None, CALL_TIMEOUT).await
    }

    /// Waits for changes of declared objects after a revision, for a bounded time.
    ///
    /// # Errors
    /// [`PlatformError::Compacted`] when a list is needed first.
    pub async fn watch(&self, from: Version, wait: Duration) -> Result<WatchPage, PlatformError> {
        let path = format!("/watch?from={from}&wait_ms={}", wait.as_millis());
        self.call(Method::GET, &path, None, wait + CALL_TIMEOUT).await
    }

    /// The platform's lagging list of VMs.
    ///
    /// # Errors
    /// Why nothing could be read.
    pub async fn vms(&self) -> Result<Vec<ListedVm>, PlatformError> {
        self.call(Method::GET, "/vms", None, CALL_TIMEOUT).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<Bytes>,
        timeout: Duration,
    ) -> Result<T, PlatformError> {
        self.counter.add();
        let request = self.http.request(method, format!("{}{path}", self.base)).timeout(timeout);
        let sent = match body {
            Some(body) => request.send_body(body).await,
            None => request.send().await,
        };
        let response = sent.map_err(|error| PlatformError::Unavailable(error.to_string()))?;
        let mut response = response.timeout(timeout);
        let body = response.body().limit(ANSWER_LIMIT).await;
        let body = body.map_err(|error| PlatformError::Unavailable(error.to_string()))?;
        match response.status() {
            StatusCode::OK => read_body(&body),
            StatusCode::NOT_FOUND => Err(PlatformError::NotFound),
            StatusCode::GONE => Err(PlatformError::Compacted),
            StatusCode::CONFLICT => {
                Err(PlatformError::Conflict(read_body::<WriteReceipt>(&body)?.version))
            }
            status => Err(PlatformError::Unavailable(status.to_string())),
        }
    }
}

fn read_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|error| PlatformError::Malformed(error.to_string()))
}
