//! Whether the balancer should send callers to this VM, and what is in force on it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use nickellead_core::Version;

/// Readiness: the VM knows where requests go, and is not stopping.
#[derive(Debug, Default)]
pub(crate) struct Readiness {
    informed: AtomicBool,
    stopping: AtomicBool,
    revision: AtomicU64,
}

impl Readiness {
    /// Notes that declarations and owners are known.
    pub(crate) fn inform(&self) {
        self.informed.store(true, Ordering::Relaxed);
    }

    /// Notes which revision of the declarations the request workers were told.
    pub(crate) fn set_revision(&self, revision: Version) {
        self.revision.store(revision.0, Ordering::Relaxed);
    }

    /// The revision of the declarations in force here.
    pub(crate) fn revision(&self) -> Version {
        Version(self.revision.load(Ordering::Relaxed))
    }

    /// Notes that the VM is stopping.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.informed.load(Ordering::Relaxed) && !self.stopping.load(Ordering::Relaxed)
    }
}
