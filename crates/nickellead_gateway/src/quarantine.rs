//! What a VM knows of requests that make targets fall, shared by its threads.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_event::{EventName, log_event};
use nickellead_quarantine::{
    BrokenRequest, CrashReport, QuarantineTable, RequestMark, RequestVerdict, TargetFall,
};
use nickellead_time::BootClock;
use tokio::sync::watch;

/// Added to all times, so that falls from before the start of this machine keep their order.
const CLOCK_OFFSET: Duration = Duration::from_secs(7 * 24 * 3_600);

/// Interval between two looks for first falls that are to be told to other VMs.
const RELEASE_INTERVAL: Duration = Duration::from_millis(100);

/// The table of one VM. The request thread counts falls and asks it, the control thread exchanges reports
/// with other VMs.
///
/// The lock is only held for one step of the table.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedQuarantine(Arc<QuarantineState>);

#[derive(Debug, Default)]
struct QuarantineState {
    table: Mutex<QuarantineTable>,
    /// Whether the table may know a mark, so that requests need no lock while it does not.
    has_marks: AtomicBool,
    /// Number of the last change that is told to other VMs.
    changed: watch::Sender<u64>,
}

/// Numbers for metrics.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QuarantineCounts {
    pub(crate) quarantined: usize,
    pub(crate) suspected: usize,
    pub(crate) dropped: u64,
}

/// Numbers of the last change before and after reports were applied.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MergedChanges {
    before: u64,
    after: u64,
}

impl MergedChanges {
    /// Up to which change the VM that told the reports knows this table, if it knew it up to `known` before.
    /// What it told itself it need not be told.
    pub(crate) fn known_after(self, known: u64) -> u64 {
        if self.before == known { self.after } else { known }
    }
}

impl SharedQuarantine {
    /// Locks the table; a poisoned lock is ignored, because the table is consistent after each of its
    /// steps.
    fn lock(&self) -> MutexGuard<'_, QuarantineTable> {
        self.0.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the table, and tells the control thread if there is something to tell other VMs.
    fn change<T>(&self, edit: impl FnOnce(&mut QuarantineTable, Timestamp) -> T) -> T {
        let mut table = self.lock();
        let result = edit(&mut table, now());
        self.0.has_marks.store(!table.is_empty(), Ordering::Release);
        let sequence = table.sequence();
        drop(table);
        self.0.changed.send_if_modified(|known| std::mem::replace(known, sequence) != sequence);
        result
    }

    /// Whether any mark is known.
    pub(crate) fn has_marks(&self) -> bool {
        self.0.has_marks.load(Ordering::Acquire)
    }

    /// What to do with requests of this mark.
    pub(crate) fn verdict(&self, mark: RequestMark) -> RequestVerdict {
        self.lock().verdict(mark, now())
    }

    /// How much longer requests of this mark are refused.
    pub(crate) fn time_left(&self, mark: RequestMark) -> Duration {
        match self.verdict(mark) {
            RequestVerdict::Quarantined { until } => until.since(now()),
            RequestVerdict::Unsuspected | RequestVerdict::Suspected { .. } => Duration::ZERO,
        }
    }

    /// Records that a target fell with a request.
    pub(crate) fn record_fall(&self, target: &str, request: &BrokenRequest) {
        let fall = TargetFall {
            target: target.to_owned(),
            sent: request.sent + CLOCK_OFFSET,
            fell: request.broke + CLOCK_OFFSET,
        };
        if self.change(|table, now| table.record_fall(request.mark, fall, now)) {
            self.log_quarantined(request.mark);
        }
    }

    /// Records that a target answered a request of this mark.
    pub(crate) fn record_answer(&self, mark: RequestMark) {
        self.change(|table, now| table.record_answer(mark, now));
    }

    /// Number of targets other than `except` that fell with requests of this mark.
    pub(crate) fn count_falls(&self, mark: RequestMark, except: &[String]) -> usize {
        let table = self.lock();
        table.falls(mark).iter().filter(|fall| !except.contains(&fall.target)).count()
    }

    /// The targets that fell with requests of this mark and how long ago, for the log.
    pub(crate) fn describe_falls(&self, mark: RequestMark) -> String {
        let (table, now) = (self.lock(), now());
        let falls = table.falls(mark).iter();
        let falls =
            falls.map(|fall| format!("{}@{}ms", fall.target, now.since(fall.fell).as_millis()));
        falls.collect::<Vec<_>>().join(",")
    }

    pub(crate) fn counts(&self) -> QuarantineCounts {
        let table = self.lock();
        let (quarantined, suspected) = table.counts(now());
        QuarantineCounts { quarantined, suspected, dropped: table.dropped() }
    }

    /// Applies what another VM told.
    pub(crate) fn merge(&self, reports: Vec<CrashReport>) -> MergedChanges {
        let (quarantined, changes) = self.change(|table, now| {
            let before = table.sequence();
            let quarantined = table.merge(reports, now);
            (quarantined, MergedChanges { before, after: table.sequence() })
        });
        quarantined.into_iter().for_each(|mark| self.log_quarantined(mark));
        changes
    }

    /// What to tell a VM that knows everything up to the change with number `known`, and the number of the
    /// last change.
    pub(crate) fn reports_since(&self, known: u64) -> (Vec<CrashReport>, u64) {
        let table = self.lock();
        (table.reports_since(known, now()), table.sequence())
    }

    /// Notified of each change that is told to other VMs.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.0.changed.subscribe()
    }

    /// Tells first falls when their time has come, for as long as the runtime runs.
    pub(crate) async fn release_reports(self) {
        loop {
            tokio::time::sleep(RELEASE_INTERVAL).await;
            if self.has_marks() {
                self.change(QuarantineTable::release_due);
            }
        }
    }

    fn log_quarantined(&self, mark: RequestMark) {
        let pairs: [(&str, &dyn std::fmt::Display); 3] = [
            ("mark", &mark),
            ("fallen", &self.describe_falls(mark)),
            ("left_ms", &self.time_left(mark).as_millis()),
        ];
        log_event(EventName::RequestQuarantined, &pairs);
    }
}

/// The time of the table.
fn now() -> Timestamp {
    BootClock.now() + CLOCK_OFFSET
}
