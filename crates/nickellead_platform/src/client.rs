//! Client of the platform's object API.

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

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;
/// Timeout of a call, in addition to the wait time of a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Error of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// No response or an error of the platform; a write may have taken effect.
    #[error("the platform is unavailable: {0}")]
    Unavailable(String),
    /// The object has another version.
    #[error("the object has version {0} now: read it and retry")]
    Conflict(Version),
    /// There is no such object.
    #[error("there is no such object")]
    NotFound,
    /// The platform no longer keeps the changes that the watch requested.
    #[error("the platform no longer keeps the changes since that revision: list the objects again")]
    Compacted,
    /// The response can't be decoded.
    #[error("malformed response of the platform: {0}")]
    Malformed(String),
}

/// Counter of calls, shared by all clones.
#[derive(Clone, Debug, Default)]
pub struct CallCounter(Arc<AtomicU64>);

impl CallCounter {
    /// Number of calls so far, including failed ones.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Client of the platform for one thread.
#[derive(Clone)]
pub struct PlatformClient {
    http: awc::Client,
    base: String,
    counter: CallCounter,
}

impl PlatformClient {
    /// Creates a client of the platform at `address`; `counter` counts its calls.
    #[must_use]
    pub fn new(address: SocketAddr, counter: CallCounter) -> Self {
        let http = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
        Self { http, base: format!("http://{address}/v1"), counter }
    }

    /// Reads and decodes the spec of one object.
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

    /// Writes the spec of one object if it has the expected version; 0 means it must not exist.
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
    /// [`PlatformError::NotFound`] when there is no such object, or another error of the call.
    pub async fn get(
        &self,
        kind: ObjectKind,
        name: &Name,
    ) -> Result<ResourceObject, PlatformError> {
        let path = format!("/objects/{}/{name}", kind.as_str());
        self.call(Method::GET, &path, None, CALL_TIMEOUT).await
    }

    /// Writes one object if it has the expected version; 0 means that it must not exist.
    ///
    /// # Errors
    /// [`PlatformError::Conflict`] when the version differs. After
    /// [`PlatformError::Unavailable`] the write may have taken effect: read the object again.
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

    /// Lists all objects of the declared kinds.
    ///
    /// # Errors
    /// A [`PlatformError`] of the call.
    pub async fn list_declared(&self) -> Result<ObjectList, PlatformError> {
        self.call(Method::GET, "/objects", None, CALL_TIMEOUT).await
    }

    /// Waits for changes of declared objects after a revision, for at most `wait`.
    ///
    /// # Errors
    /// [`PlatformError::Compacted`] when the caller must list the objects first.
    pub async fn watch(&self, from: Version, wait: Duration) -> Result<WatchPage, PlatformError> {
        let path = format!("/watch?from={from}&wait_ms={}", wait.as_millis());
        self.call(Method::GET, &path, None, wait + CALL_TIMEOUT).await
    }

    /// Lists the VMs; the platform's list may lag behind.
    ///
    /// # Errors
    /// A [`PlatformError`] of the call.
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
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
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
