//! Request workers: one thread each, with its own listener and routing table.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;

use nickellead_proxy::{
    ProxyLimits, ProxyMetrics, ProxyWorker, ServeState, WorkerUpdate, serve_http,
};

use crate::channel::ChannelReceiver;
use crate::readiness::Readiness;

/// Message to a request worker.
pub(crate) enum WorkerMessage {
    /// Change of declarations or routes.
    Update(WorkerUpdate),
    /// All state that the worker needs to serve requests was sent before this message.
    Initialized,
}

/// Starts the thread of one worker.
///
/// # Errors
/// Returns the error of the operating system if the thread can't be started.
pub(crate) fn build(
    updates: WorkerUpdates,
    listener: TcpListener,
    limits: ProxyLimits,
    seed: u64,
    metrics: ProxyMetrics,
    state: Arc<ServeState>,
) -> std::io::Result<JoinHandle<()>> {
    let index = updates.index;
    std::thread::Builder::new().name(format!("requests-{index}")).spawn(move || {
        if let Ok(runtime) = actix_rt::Runtime::new() {
            let worker = ProxyWorker::new(limits, seed, metrics);
            runtime.block_on(run(worker, listener, updates, state));
        }
    })
}

/// Updates to a worker, and where it records those that it has applied.
pub(crate) struct WorkerUpdates {
    pub(crate) receiver: ChannelReceiver<WorkerMessage>,
    pub(crate) readiness: Arc<Readiness>,
    /// The worker's index among those of the VM.
    pub(crate) index: usize,
}

impl WorkerUpdates {
    /// Applies updates until the channel is closed.
    async fn apply_all(mut self, worker: Rc<ProxyWorker>) {
        let progress = self.readiness.worker(self.index);
        while let Some(message) = self.receiver.recv().await {
            match message {
                WorkerMessage::Update(update) => {
                    worker.update(&update);
                    if let WorkerUpdate::Config(config) = update {
                        progress.set_revision(config.revision);
                    }
                }
                WorkerMessage::Initialized => progress.set_initialized(),
            }
        }
    }
}

async fn run(
    worker: Rc<ProxyWorker>,
    listener: TcpListener,
    updates: WorkerUpdates,
    state: Arc<ServeState>,
) {
    actix_rt::spawn(updates.apply_all(Rc::clone(&worker)));
    let bounds = worker.serve_bounds();
    let handler = move |request| {
        let worker = Rc::clone(&worker);
        async move { worker.handle(request).await }
    };
    serve_http(listener, bounds, Arc::clone(&state), handler).await;
    while state.running_requests() > 0 {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    // Lets the last responses leave the socket before the runtime ends.
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
}
