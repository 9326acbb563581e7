//! Timer thread that sends ticks to all subscribers in a process.

use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

use nickellead_core::Timestamp;

use crate::BootClock;

/// Receives the ticks of one subscriber. Returns `false` to cancel the subscription.
pub type TickSink = Box<dyn Fn(Timestamp) -> bool + Send>;

/// Maximum number of subscriptions that wait to be added.
const SUBSCRIBE_QUEUE_CAPACITY: usize = 32;

struct Subscription {
    period: Duration,
    due: Timestamp,
    sink: TickSink,
}

/// Timer that sends a tick to each subscriber once per period.
///
/// The ticks of a slow subscriber are skipped and not queued.
#[derive(Debug)]
pub struct TimerService {
    sender: SyncSender<(Duration, TickSink)>,
    thread: JoinHandle<()>,
}

impl TimerService {
    /// Starts the timer's thread.
    ///
    /// # Errors
    /// Returns the error of the operating system if the thread can't be started.
    pub fn start() -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(SUBSCRIBE_QUEUE_CAPACITY);
        let thread =
            std::thread::Builder::new().name("timer".to_owned()).spawn(move || run(&receiver))?;
        Ok(Self { sender, thread })
    }

    /// Subscribes to a tick every `period`.
    pub fn subscribe(&self, period: Duration, sink: TickSink) {
        // The thread lives as long as the service, so a failed send can only occur during shutdown.
        let _ = self.sender.send((period, sink));
    }

    /// Stops the timer's thread and waits until it has ended.
    pub fn stop(self) {
        drop(self.sender);
        let _ = self.thread.join();
    }
}

fn run(receiver: &Receiver<(Duration, TickSink)>) {
    let clock = BootClock;
    let mut subscriptions: Vec<Subscription> = Vec::new();
    loop {
        match receiver.recv_timeout(time_to_next_tick(&subscriptions, clock.now())) {
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

/// Time until the next tick is due; one second without subscriptions.
fn time_to_next_tick(subscriptions: &[Subscription], now: Timestamp) -> Duration {
    const IDLE_INTERVAL: Duration = Duration::from_secs(1);
    let next = subscriptions.iter().map(|subscription| subscription.due).min();
    next.map_or(IDLE_INTERVAL, |due| due.since(now))
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
