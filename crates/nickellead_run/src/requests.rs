//! The request workers: one thread each, with its own listener and table.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;

use nickellead_proxy::{
    ProxyLimits, ProxyMetrics, ProxyWorker, ServeState, WorkerUpdate, serve_http,
};

use crate::ring::RingReceiver;

/// Starts one worker's thread.
///
/// # Errors
/// The system's error when it refuses a thread.
pub(crate) fn build(
    place: u16,
    listener: TcpListener,
    limits: ProxyLimits,
    seed: u64,
    receiver: RingReceiver<WorkerUpdate>,
    metrics: ProxyMetrics,
    state: Arc<ServeState>,
) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name(format!("requests-{place}")).spawn(move || {
        if let Ok(runtime) = actix_rt::Runtime::new() {
            let worker = ProxyWorker::new(limits, seed, metrics);
            runtime.block_on(run(worker, listener, limits, receiver, state));
        }
    })
}

async fn run(
    worker: Rc<ProxyWorker>,
    listener: TcpListener,
    limits: ProxyLimits,
    mut receiver: RingReceiver<WorkerUpdate>,
    state: Arc<ServeState>,
) {
    let updated = Rc::clone(&worker);
    actix_rt::spawn(async move {
        while let Some(update) = receiver.recv().await {
            updated.update(&update);
        }
    });
    let handler = move |request| {
        let worker = Rc::clone(&worker);
        async move { worker.answer(request).await }
    };
    serve_http(listener, limits.connections, Arc::clone(&state), handler).await;
    while state.running() > 0 {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    // The last answers' bytes leave before the runtime ends.
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
}
