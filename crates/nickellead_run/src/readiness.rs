//! Whether the balancer should send callers to this VM.

use std::sync::atomic::{AtomicBool, Ordering};

/// Readiness: the VM knows where requests go, and is not stopping.
#[derive(Debug, Default)]
pub(crate) struct Readiness {
    informed: AtomicBool,
    stopping: AtomicBool,
}

impl Readiness {
    /// Notes that declarations and owners are known.
    pub(crate) fn inform(&self) {
        self.informed.store(true, Ordering::Relaxed);
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
