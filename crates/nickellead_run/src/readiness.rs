//! Readiness of this VM for callers, and the revision of its active declarations.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use nickellead_core::Version;

/// State that one request worker has applied.
///
/// The worker itself records it: a VM that became ready when updates were only sent to its workers
/// would refuse callers until the workers had applied them.
#[derive(Debug, Default)]
pub(crate) struct WorkerProgress {
    initialized: AtomicBool,
    revision: AtomicU64,
}

impl WorkerProgress {
    /// Records that the worker has applied declarations and owners.
    pub(crate) fn set_initialized(&self) {
        self.initialized.store(true, Ordering::Relaxed);
    }

    /// Records the revision of the declarations that the worker uses.
    pub(crate) fn set_revision(&self, revision: Version) {
        self.revision.store(revision.0, Ordering::Relaxed);
    }

    /// Whether the worker can serve requests.
    pub(crate) fn is_initialized(&self) -> bool {
        self.initialized.load(Ordering::Relaxed)
    }
}

/// Readiness for callers: all request workers are initialized and the VM is not stopping.
#[derive(Debug)]
pub(crate) struct Readiness {
    workers: Vec<WorkerProgress>,
    stopping: AtomicBool,
}

impl Readiness {
    /// Creates the state of a VM with `count` uninitialized workers.
    pub(crate) fn with_workers(count: u16) -> Self {
        let workers = (0..count).map(|_| WorkerProgress::default()).collect();
        Self { workers, stopping: AtomicBool::new(false) }
    }

    /// State that the worker at `index` has applied.
    pub(crate) fn worker(&self, index: usize) -> &WorkerProgress {
        &self.workers[index]
    }

    /// Revision of the declarations that all workers have applied.
    pub(crate) fn revision(&self) -> Version {
        let revisions = self.workers.iter().map(|worker| worker.revision.load(Ordering::Relaxed));
        Version(revisions.min().unwrap_or_default())
    }

    /// Turns readiness off for good.
    pub(crate) fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether a balancer may send callers to this VM.
    pub(crate) fn is_ready(&self) -> bool {
        let initialized = self.workers.iter().all(WorkerProgress::is_initialized);
        initialized && !self.stopping.load(Ordering::Relaxed)
    }
}
