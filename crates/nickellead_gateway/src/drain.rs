//! Whether this VM is stopping, and when its process ends.

use std::sync::OnceLock;
use std::time::Instant;

/// Set once, when the signal to stop came; read by the request duty.
#[derive(Debug, Default)]
pub(crate) struct DrainState(OnceLock<Instant>);

impl DrainState {
    /// Notes that the process ends at `end` in any case.
    pub(crate) fn start(&self, end: Instant) {
        // A second signal changes nothing.
        let _ = self.0.set(end);
    }

    /// Whether the VM is stopping.
    pub(crate) fn is_draining(&self) -> bool {
        self.0.get().is_some()
    }

    /// Whether a request that may take until `until` could be cut by the end.
    pub(crate) fn would_cut(&self, until: Instant) -> bool {
        self.0.get().is_some_and(|end| until > *end)
    }
}
