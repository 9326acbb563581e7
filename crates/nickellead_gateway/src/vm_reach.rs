//! Whether this VM reaches targets, as its threads tell each other.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::Notify;

/// Whether this VM reaches targets; clones share the state.
///
/// The request thread checks targets. The control thread reports orders that failed, and leaves the
/// mandate (leader lease) to VMs that reach targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReachSignal(Arc<SignalState>);

#[derive(Debug, Default)]
struct SignalState {
    yields: AtomicBool,
    order_failed: Notify,
    yields_changed: Notify,
}

impl ReachSignal {
    /// Reports that an order reached no target.
    pub(crate) fn report_failed_order(&self) {
        self.0.order_failed.notify_one();
    }

    /// Waits for an order that reached no target.
    pub(crate) async fn wait_for_failed_order(&self) {
        self.0.order_failed.notified().await;
    }

    /// Sets whether this VM reaches no target while another VM does.
    pub(crate) fn set_yields(&self, yields: bool) {
        let before = self.0.yields.swap(yields, Ordering::Relaxed);
        if yields && !before {
            self.0.yields_changed.notify_one();
        }
    }

    /// Whether roles that need targets are left to other VMs.
    pub(crate) fn yields(&self) -> bool {
        self.0.yields.load(Ordering::Relaxed)
    }

    /// Waits until roles that need targets are to be left to other VMs.
    pub(crate) async fn wait_to_yield(&self) {
        while !self.yields() {
            self.0.yields_changed.notified().await;
        }
    }
}
