//! Whether this VM is stopping, and until when it answers.

use std::time::Instant;

use tokio::sync::watch;

/// Set once, when the signal to stop came; read by the request duty.
#[derive(Debug)]
pub(crate) struct DrainState(watch::Sender<Option<Instant>>);

impl Default for DrainState {
    fn default() -> Self {
        Self(watch::channel(None).0)
    }
}

impl DrainState {
    /// Notes that the last answers are made at `end`.
    pub(crate) fn start(&self, end: Instant) {
        // A second signal changes nothing.
        self.0.send_if_modified(|known| known.replace(known.unwrap_or(end)).is_none());
    }

    /// Whether the VM is stopping.
    pub(crate) fn is_draining(&self) -> bool {
        self.0.borrow().is_some()
    }

    /// Whether a request that may take until `until` could be cut by the end.
    pub(crate) fn ends_before(&self, until: Instant) -> bool {
        self.0.borrow().is_some_and(|end| until > end)
    }

    /// Returns when the last answers are to be made; never while the VM isn't stopping.
    pub(crate) async fn wait_for_deadline(&self) {
        let mut started = self.0.subscribe();
        // An error would mean that the state is gone, and this function borrows it.
        let end = started.wait_for(Option::is_some).await.ok().and_then(|end| *end);
        match end {
            Some(end) => tokio::time::sleep_until(end.into()).await,
            None => std::future::pending().await,
        }
    }
}
