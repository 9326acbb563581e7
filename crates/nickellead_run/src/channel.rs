//! The bounded rings that join threads.

use tokio::sync::mpsc;

/// Sending end of a ring.
pub(crate) type ChannelSender<T> = mpsc::Sender<T>;
/// Receiving end of a ring.
pub(crate) type ChannelReceiver<T> = mpsc::Receiver<T>;

/// Messages that a ring holds.
pub(crate) const CHANNEL_CAPACITY: usize = 4_096;

/// A ring between two threads.
pub(crate) fn channel<T>() -> (ChannelSender<T>, ChannelReceiver<T>) {
    mpsc::channel(CHANNEL_CAPACITY)
}

/// Sends without waiting; tells whether the message went in.
///
/// A full ring loses the message: every message here is repeated by a later
/// tick, heartbeat or delta.
pub(crate) fn try_send<T>(sender: &ChannelSender<T>, message: T) -> bool {
    sender.try_send(message).is_ok()
}
