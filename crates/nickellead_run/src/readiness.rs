//! Whether the balancer should send callers to this VM, and what is in force on it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use nickellead_core::Version;

/// What one request worker has taken over.
///
/// The worker itself notes it: what was only sent to it is taken over milliseconds later on a busy
/// machine, and callers that came meanwhile were refused.
#[derive(Debug, Default)]
pub(crate) struct WorkerProgress {
    initialized: AtomicBool,
    revision: AtomicU64,
}

impl WorkerProgress {
    /// Notes that declarations and owners are known.
    pub(crate) fn set_initialized(&self) {
        self.initialized.store(true, Ordering::Relaxed);
    }

    /// Notes which revision of the declarations decides about requests.
    pub(crate) fn set_revision(&self, revision: Version) {
        self.revision.store(revision.0, Ordering::Relaxed);
    }

    /// Whether it can serve.
    pub(crate) fn is_initialized(&self) -> bool {
        self.initialized.load(Ordering::Relaxed)
    }
}

/// Readiness: every request worker knows where requests go, and the VM is not stopping.
#[derive(Debug)]
pub(crate) struct Readiness {
    workers: Vec<WorkerProgress>,
    stopping: AtomicBool,
}

impl Readiness {
    /// A VM whose workers know nothing yet.
    pub(crate) fn with_workers(count: u16) -> Self {
        let workers = (0..count).map(|_| WorkerProgress::default()).collect();
        Self { workers, stopping: AtomicBool::new(false) }
    }

    /// What one worker has taken over.
    pub(crate) fn worker(&self, index: usize) -> &WorkerProgress {
        &self.workers[index]
    }

    /// The revision of the declarations in force here: on every worker.
    pub(crate) fn revision(&self) -> Version {
        let revisions = self.workers.iter().map(|worker| worker.revision.load(Ordering::Relaxed));
        Version(revisions.min().unwrap_or_default())
    }

    /// Notes that the VM is stopping.
    pub(crate) fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        let initialized = self.workers.iter().all(WorkerProgress::is_initialized);
        initialized && !self.stopping.load(Ordering::Relaxed)
    }
}
