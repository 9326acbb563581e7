//! The request workers: one thread each, with its own listener and table.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;

use nickellead_proxy::{
    ProxyLimits, ProxyMetrics, ProxyWorker, ServeState, WorkerUpdate, serve_http,
};

use crate::channel::ChannelReceiver;
use crate::readiness::Readiness;

/// What reaches a worker over its ring.
pub(crate) enum WorkerMessage {
    /// Something to take over.
    Update(WorkerUpdate),
    /// All that it needs to serve went before this.
    Initialized,
}

/// Starts one worker's thread.
///
/// # Errors
/// The system's error when it refuses a thread.
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
            runtime.block_on(run(worker, listener, limits, updates, state));
        }
    })
}

/// What a worker is told, and where it notes what it has taken over.
pub(crate) struct WorkerUpdates {
    pub(crate) receiver: ChannelReceiver<WorkerMessage>,
    pub(crate) readiness: Arc<Readiness>,
    /// The worker's index among those of the VM.
    pub(crate) index: usize,
}

impl WorkerUpdates {
    /// Takes over all that comes.
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
    limits: ProxyLimits,
    updates: WorkerUpdates,
    state: Arc<ServeState>,
) {
    actix_rt::spawn(updates.apply_all(Rc::clone(&worker)));
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
