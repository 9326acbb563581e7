//! Bounded channels between the threads of a VM.

use tokio::sync::mpsc;

/// Sender of a bounded channel.
pub(crate) type ChannelSender<T> = mpsc::Sender<T>;
/// Receiver of a bounded channel.
pub(crate) type ChannelReceiver<T> = mpsc::Receiver<T>;

/// Capacity of each channel, in messages.
pub(crate) const CHANNEL_CAPACITY: usize = 4_096;

/// Creates a channel of [`CHANNEL_CAPACITY`] messages.
pub(crate) fn channel<T>() -> (ChannelSender<T>, ChannelReceiver<T>) {
    mpsc::channel(CHANNEL_CAPACITY)
}

/// Sends without blocking; returns whether the channel accepted the message.
///
/// A full or closed channel drops the message. A later tick, heartbeat or delta
/// repeats it.
pub(crate) fn try_send<T>(sender: &ChannelSender<T>, message: T) -> bool {
    sender.try_send(message).is_ok()
}
