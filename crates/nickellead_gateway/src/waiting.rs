//! Waiting for something that others bring about.

use tokio::sync::Notify;

/// Waits until `look` finds something: it looks at once, and again whenever `changed` is woken.
pub(crate) async fn wait_for<T>(changed: &Notify, look: impl Fn() -> Option<T>) -> T {
    loop {
        // Listening starts before the look, so that no change in between is missed.
        let woken = changed.notified();
        if let Some(found) = look() {
            return found;
        }
        woken.await;
    }
}
