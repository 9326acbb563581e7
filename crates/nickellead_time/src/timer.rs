//! One thread that ticks for every part of a process.

use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

use nickellead_core::Timestamp;

use crate::BootClock;

/// Where a subscriber wants its ticks; answers `false` when it is gone.
pub type TickSink = Box<dyn Fn(Timestamp) -> bool + Send>;

/// Most subscribers that may wait to be added.
const SUBSCRIBE_RING: usize = 32;

struct Subscription {
    period: Duration,
    due: Timestamp,
    sink: TickSink,
}

/// The timer of one process: parts subscribe with a period and get ticks.
///
/// A subscriber that lags loses ticks; ticks are never queued up for it.
#[derive(Debug)]
pub struct TimerService {
    sender: SyncSender<(Duration, TickSink)>,
    thread: JoinHandle<()>,
}

impl TimerService {
    /// Starts the timer's thread.
    ///
    /// # Errors
    /// Returns the system's error when it refuses a thread.
    pub fn start() -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(SUBSCRIBE_RING);
        let thread =
            std::thread::Builder::new().name("timer".to_owned()).spawn(move || run(&receiver))?;
        Ok(Self { sender, thread })
    }

    /// Asks for a tick every `period`.
    pub fn subscribe(&self, period: Duration, sink: TickSink) {
        // The timer's thread lives as long as the service, so a failed send means shutdown.
        let _ = self.sender.send((period, sink));
    }

    /// Ends the timer's thread once its current wait is over.
    pub fn stop(self) {
        drop(self.sender);
        let _ = self.thread.join();
    }
}

fn run(receiver: &Receiver<(Duration, TickSink)>) {
    let clock = BootClock;
    let mut subscriptions: Vec<Subscription> = Vec::new();
    loop {
        match receiver.recv_timeout(wait_length(&subscriptions, clock.now())) {
            Ok((period, sink)) => {
                let due = clock.now() + period;
                subscriptions.push(Subscription { period, due, sink });
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        fire(&mut subscriptions, clock.now());
    }
}

/// How long until the next tick is due; a second when nobody subscribed.
fn wait_length(subscriptions: &[Subscription], now: Timestamp) -> Duration {
    const IDLE: Duration = Duration::from_secs(1);
    let next = subscriptions.iter().map(|subscription| subscription.due).min();
    next.map_or(IDLE, |due| due.since(now))
}

fn fire(subscriptions: &mut Vec<Subscription>, now: Timestamp) {
    subscriptions.retain_mut(|subscription| {
        if subscription.due > now {
            return true;
        }
        subscription.due = now + subscription.period;
        (subscription.sink)(now)
    });
}
