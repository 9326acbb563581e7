//! The bounded rings that join threads.

use tokio::sync::mpsc;

/// Sending end of a ring.
pub(crate) type RingSender<T> = mpsc::Sender<T>;
/// Receiving end of a ring.
pub(crate) type RingReceiver<T> = mpsc::Receiver<T>;

/// Messages that a ring holds.
pub(crate) const RING_LENGTH: usize = 4_096;

/// A ring between two threads.
pub(crate) fn ring<T>() -> (RingSender<T>, RingReceiver<T>) {
    mpsc::channel(RING_LENGTH)
}

/// Sends without waiting; tells whether the message went in.
///
/// A full ring loses the message: every message here is repeated by a later
/// tick, heartbeat or delta.
pub(crate) fn offer<T>(sender: &RingSender<T>, message: T) -> bool {
    sender.try_send(message).is_ok()
}
