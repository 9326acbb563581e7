//! A thread that answers HTTP requests, and small answers.

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

/// Connections that a stand-in takes.
const CONNECTIONS_MAX: usize = 8_192;

/// A server on a thread of its own, stopped when dropped.
#[derive(Debug)]
pub(crate) struct StandinServer {
    state: Arc<ServeState>,
    lost: Arc<Notify>,
    thread: Option<JoinHandle<()>>,
}

impl StandinServer {
    /// Starts answering at `address`; `make` builds the handler on the new thread.
    pub(crate) fn start<M, H, F>(address: SocketAddr, make: M) -> std::io::Result<Self>
    where
        M: FnOnce() -> H + Send + 'static,
        H: Fn(Request) -> F + Clone + 'static,
        F: Future<Output = Response<BoxBody>> + 'static,
    {
        drop(std::net::TcpListener::bind(address)?);
        let listener = bind_listener(address)?;
        let state = Arc::new(ServeState::default());
        let shared = Arc::clone(&state);
        let lost = Arc::new(Notify::new());
        let ended = Arc::clone(&lost);
        let thread = std::thread::Builder::new().name("standin".to_owned()).spawn(move || {
            if let Ok(runtime) = actix_rt::Runtime::new() {
                runtime.block_on(async move {
                    // When it is lost, the runtime ends and cuts every connection.
                    tokio::select! {
                        () = serve_http(listener, CONNECTIONS_MAX, shared, make()) => {}
                        () = ended.notified() => {}
                    }
                });
            }
        })?;
        Ok(Self { state, lost, thread: Some(thread) })
    }

    /// Ends at once, as a machine that is taken away: every connection breaks.
    pub(crate) fn lose(&self) {
        self.state.stop();
        self.lost.notify_one();
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.state.stop();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was already reported on standard error.
            let _ = thread.join();
        }
    }
}

/// Reads a request's body, whatever its length.
pub(crate) async fn read_all(request: &mut Request) -> Vec<u8> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(Ok(part)) = payload.next().await {
        body.extend_from_slice(&part);
    }
    body.to_vec()
}

/// An answer with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, body: &T) -> Response<BoxBody> {
    let body = serde_json::to_string(body).unwrap_or_default();
    let mut builder = Response::build(status);
    builder.insert_header(("content-type", "application/json"));
    builder.body(body).map_into_boxed_body()
}

/// An answer with no body.
pub(crate) fn empty(status: StatusCode) -> Response<BoxBody> {
    Response::build(status).finish().map_into_boxed_body()
}

/// One parameter of a query.
pub(crate) fn query_number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}
