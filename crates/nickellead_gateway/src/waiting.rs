//! Waiting for a condition that another task notifies.

use tokio::sync::Notify;

/// Waits until `check` returns a value; it is called at once and after each notification of
/// `changed`.
pub(crate) async fn wait_for<T>(changed: &Notify, check: impl Fn() -> Option<T>) -> T {
    loop {
        // Registers before the check, so that no notification in between is lost.
        let notified = changed.notified();
        if let Some(value) = check() {
            return value;
        }
        notified.await;
    }
}
