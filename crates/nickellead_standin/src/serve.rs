//! HTTP server on its own thread, and helpers for requests and responses.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use bytes::BytesMut;
use futures_util::StreamExt;
use nickellead_proxy::{ServeState, bind_listener, serve_http};
use serde::Serialize;
use tokio::sync::Notify;

/// Maximum number of concurrent connections of a stand-in.
const MAX_CONNECTIONS: usize = 8_192;

/// HTTP server on its own thread; stops when dropped.
#[derive(Debug)]
pub(crate) struct StandinServer {
    state: Arc<ServeState>,
    crash_signal: Arc<Notify>,
    thread: Option<JoinHandle<()>>,
}

impl StandinServer {
    /// Starts serving at `address`; `make_handler` builds the handler on the new thread.
    pub(crate) fn start<M, H, F>(address: SocketAddr, make_handler: M) -> std::io::Result<Self>
    where
        M: FnOnce() -> H + Send + 'static,
        H: Fn(Request) -> F + Clone + 'static,
        F: Future<Output = Response<BoxBody>> + 'static,
    {
        drop(std::net::TcpListener::bind(address)?);
        let listener = bind_listener(address)?;
        let state = Arc::new(ServeState::default());
        let shared = Arc::clone(&state);
        let crash_signal = Arc::new(Notify::new());
        let crashed = Arc::clone(&crash_signal);
        let thread = std::thread::Builder::new().name("standin".to_owned()).spawn(move || {
            if let Ok(runtime) = actix_rt::Runtime::new() {
                runtime.block_on(async move {
                    // After a crash signal the runtime ends, which closes all connections.
                    tokio::select! {
                        () = serve_http(listener, MAX_CONNECTIONS, shared, make_handler()) => {}
                        () = crashed.notified() => {}
                    }
                });
            }
        })?;
        Ok(Self { state, crash_signal, thread: Some(thread) })
    }

    /// Simulates a crash of the machine: stops at once and breaks all connections.
    pub(crate) fn crash(&self) {
        self.state.stop();
        self.crash_signal.notify_one();
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.state.stop();
        if let Some(thread) = self.thread.take() {
            // The panic hook has already reported a panic of the thread.
            let _ = thread.join();
        }
    }
}

/// Reads the body of a request, without a size limit.
pub(crate) async fn read_all(request: &mut Request) -> Vec<u8> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(Ok(chunk)) = payload.next().await {
        body.extend_from_slice(&chunk);
    }
    body.to_vec()
}

/// Builds a response with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, body: &T) -> Response<BoxBody> {
    let body = serde_json::to_string(body).unwrap_or_default();
    let mut builder = Response::build(status);
    builder.insert_header(("content-type", "application/json"));
    builder.body(body).map_into_boxed_body()
}

/// Builds a response without a body.
pub(crate) fn empty(status: StatusCode) -> Response<BoxBody> {
    Response::build(status).finish().map_into_boxed_body()
}

/// Parses the value of one query parameter; `None` if missing or not a number.
pub(crate) fn query_number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}
