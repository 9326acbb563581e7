//! Shutdown state of this VM.

use std::time::Instant;

use tokio::sync::watch;

/// The deadline for responses once the VM is stopping; written once, read by the request thread.
#[derive(Debug)]
pub(crate) struct DrainState(watch::Sender<Option<Instant>>);

impl Default for DrainState {
    fn default() -> Self {
        Self(watch::channel(None).0)
    }
}

impl DrainState {
    /// Starts draining: requests without a response at `deadline` get an error.
    pub(crate) fn start(&self, deadline: Instant) {
        // A second stop signal does not move the deadline.
        self.0.send_if_modified(|known| known.replace(known.unwrap_or(deadline)).is_none());
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.0.borrow().is_some()
    }

    /// Whether the drain deadline is before `until`, so that a request could be cut off.
    pub(crate) fn ends_before(&self, until: Instant) -> bool {
        self.0.borrow().is_some_and(|deadline| until > deadline)
    }

    /// Waits for the drain deadline; never returns if the VM is not stopping.
    pub(crate) async fn wait_for_deadline(&self) {
        let mut drain = self.0.subscribe();
        // The sender is borrowed by this function, so the channel can't be closed.
        let deadline = drain.wait_for(Option::is_some).await.ok().and_then(|deadline| *deadline);
        match deadline {
            Some(deadline) => tokio::time::sleep_until(deadline.into()).await,
            None => std::future::pending().await,
        }
    }
}
