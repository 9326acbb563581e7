//! Following the store: declarations, targets, ranges.
//!
//! Each part is read once and then watched, from where the book already
//! reaches. A watch that finds its history forgotten reads anew and compares,
//! so that no removal is missed. A watch under way when the store answers again
//! after a failure is started anew: the old one may never be answered. Nothing
//! is asked while another VM tells the news.

use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::cluster_state::{ClusterState, EXPIRY_GRACE};
use crate::relay::UpdateRelay;
use crate::store_health::StoreHealth;
use crate::{Declarations, Revision, Snapshot, StoreError, StorePort, Stored};

/// How long one watch waits for changes: each end of a wait is a call that is paid for.
const WATCH_WAIT: Duration = Duration::from_secs(15);
/// Changes of targets that come within this time are read by one call of the VM that tells others.
const TARGET_PAUSE: Duration = Duration::from_millis(300);
/// The same on a VM that follows the store for itself only: there are many of them at such times,
/// and targets that leave may be sent requests for two seconds.
const TARGET_PAUSE_ALONE: Duration = Duration::from_millis(900);
/// Changes of ranges that come within this time are read by one call of such a VM.
const RANGE_PAUSE_ALONE: Duration = Duration::from_millis(250);
/// Changes of declarations that come within this time are read by one call.
const DECLARATION_PAUSE: Duration = Duration::from_millis(120);

/// Declarations that another VM announced are read from the store when they have not arrived after this
/// time: on the way to a VM with a slow link there may be slower ones. The announcement takes some
/// 0.1 s and the read up to 0.8 s on 10 Mbit/s, and two seconds are allowed from the store's word on.
const ANNOUNCED_WAIT: Duration = Duration::from_millis(900);

/// Between two looks whether the store answers again.
const OUTAGE_PAUSE: Duration = Duration::from_millis(500);
/// All VMs come back to a store that returns spread over this time.
const RETURN_SPREAD: Duration = Duration::from_millis(150);

/// A watch may miss changes, or be cut without a word, while the store drops its history. So a part
/// is read anew when a watch heard nothing for this long: declarations must be in force within two
/// seconds.
const DECLARATIONS_CHECK: Duration = Duration::from_millis(1_000);
/// The same for targets and ranges, of which a VM also learns by being refused.
const LISTS_CHECK: Duration = Duration::from_millis(2_500);
/// The same for evacuated zones, which are to get nothing after five seconds.
const EVACUATIONS_CHECK: Duration = Duration::from_millis(1_500);
/// A part that can't be watched from what was just read is read anew after this time: whatever keeps it from that,
/// the store is not asked without end, and changes are known well within the two seconds that they may take.
const FORGOTTEN_PAUSE: Duration = Duration::from_millis(600);
/// On a VM that follows the store for itself only, checks are this many times rarer.
const ALONE_FACTOR: f64 = 4.0;
/// On a VM that follows the store because its source was lost, and tells others, they are this many
/// times as far apart: its readers leave it when the store has not answered it for a second.
const TELLER_FACTOR: f64 = 0.6;

/// What following needs.
pub(crate) struct StoreWatcher<S> {
    pub(crate) store: Rc<S>,
    pub(crate) health: Rc<StoreHealth>,
    pub(crate) book: Rc<ClusterState>,
    pub(crate) relay: Rc<UpdateRelay>,
    /// Whether availability zones may be evacuated.
    pub(crate) follows_evacuations: bool,
}

impl<S> Clone for StoreWatcher<S> {
    fn clone(&self) -> Self {
        Self {
            store: Rc::clone(&self.store),
            health: Rc::clone(&self.health),
            book: Rc::clone(&self.book),
            relay: Rc::clone(&self.relay),
            follows_evacuations: self.follows_evacuations,
        }
    }
}

/// What a step of following led to.
enum WatchStep {
    /// Go on at once.
    Continue,
    /// Go on after this time: what changes meanwhile is read by one call.
    After(Duration),
    /// What is known is too old to watch from: read anew.
    ReadAnew,
}

impl<S: StorePort> StoreWatcher<S> {
    /// Follows all three parts for as long as the process lives.
    pub(crate) fn start(&self) {
        let follower = self.clone();
        actix_rt::spawn(async move {
            follower.run(|anew| follower.step_declarations(anew)).await;
        });
        let follower = self.clone();
        actix_rt::spawn(async move { follower.read_late_declarations().await });
        let follower = self.clone();
        actix_rt::spawn(async move { follower.run(|anew| follower.step_targets(anew)).await });
        let follower = self.clone();
        actix_rt::spawn(async move { follower.run(|anew| follower.step_ranges(anew)).await });
        if self.follows_evacuations {
            let follower = self.clone();
            actix_rt::spawn(async move {
                follower.run(|anew| follower.step_evacuations(anew)).await;
            });
        }
        let book = Rc::clone(&self.book);
        actix_rt::spawn(async move { book.remove_expired_targets().await });
    }

    /// Repeats a step while this VM follows the store.
    async fn run<F>(&self, mut step: impl FnMut(bool) -> F)
    where
        F: Future<Output = Result<WatchStep, StoreError>>,
    {
        let mut anew = false;
        let mut led = false;
        let mut forgotten: Option<Instant> = None;
        loop {
            self.relay.wait_until_watching_store().await;
            // Others rely on this VM once it leads, and a watch that was begun during an outage hangs.
            anew |= self.relay.holds_mandate() && !led;
            led = self.relay.holds_mandate();
            let stepped = tokio::select! {
                stepped = step(anew) => stepped,
                () = self.relay.wait_until_not_watching_store() => continue,
                () = self.health.recovered.notified() => continue,
                () = self.relay.wait_until_mandate_taken() => continue,
            };
            anew = false;
            match stepped {
                Ok(WatchStep::Continue) => {}
                Ok(WatchStep::After(pause)) => tokio::time::sleep(pause).await,
                Ok(WatchStep::ReadAnew) => anew = true,
                Err(StoreError::Compacted) => {
                    anew = true;
                    let last = forgotten.replace(Instant::now());
                    if last.is_some_and(|last| last.elapsed() < FORGOTTEN_PAUSE * 2) {
                        tokio::time::sleep(FORGOTTEN_PAUSE).await;
                    }
                }
                Err(_) => self.wait_for_store().await,
            }
        }
    }

    /// Waits until the store answers the mandate's cheap looks again: to ask for each part meanwhile, with
    /// a call of ten times their price, tells nothing more.
    async fn wait_for_store(&self) {
        if !self.health.is_unavailable() {
            return self.health.backoff().await;
        }
        while self.health.is_unavailable() {
            // A notice may come between the look and the wait.
            let _ = tokio::time::timeout(OUTAGE_PAUSE, self.health.recovered.notified()).await;
        }
        tokio::time::sleep(RETURN_SPREAD.mul_f64(fastrand::f64())).await;
    }

    async fn step_declarations(&self, anew: bool) -> Result<WatchStep, StoreError> {
        let known = self.book.known().declarations.filter(|_| !anew);
        let result = match known {
            None => self.store.declarations().await,
            Some(from) => match self.watch_declarations(from).await? {
                Some(snapshot) => Ok(snapshot),
                None => return Ok(WatchStep::Continue),
            },
        };
        self.health.record(&result);
        let snapshot = result?;
        let changed = snapshot.value.is_some();
        self.book.apply_stored_declarations(snapshot.as_of, snapshot.value);
        // A full read that follows a silent watch brings nothing new, and waits for nothing.
        let changed = changed && known.is_some();
        Ok(if changed { WatchStep::After(DECLARATION_PAUSE) } else { WatchStep::Continue })
    }

    /// Waits for newer declarations, and reads them now and then besides: the watch goes on, for
    /// starting it anew is one more call. Gives `None` when a read found what the watch had missed.
    async fn watch_declarations(
        &self,
        from: Revision,
    ) -> Result<Option<Snapshot<Option<Declarations>>>, StoreError> {
        let mut watching = std::pin::pin!(self.store.watch_declarations(from, WATCH_WAIT));
        let version = || self.book.declarations().map(|known| known.version);
        loop {
            let known = version();
            let checking = async {
                tokio::time::sleep(self.check_time(DECLARATIONS_CHECK)).await;
                self.store.declarations().await
            };
            // The watch may be answered while the check goes on, and outlives one that fails.
            let read = tokio::select! {
                watched = &mut watching => return watched.map(Some),
                read = checking => read,
            };
            self.health.record(&read);
            if let Ok(read) = read {
                self.book.apply_stored_declarations(read.as_of, read.value);
            }
            if version() != known {
                return Ok(None);
            }
        }
    }

    /// Reads declarations that are announced and do not arrive, whoever is followed meanwhile.
    async fn read_late_declarations(&self) {
        loop {
            let since = self.book.wait_for_missing_declarations().await;
            tokio::time::sleep_until((since + ANNOUNCED_WAIT).into()).await;
            if !self.book.is_missing_since(since) {
                continue;
            }
            let read = self.store.declarations().await;
            self.health.record(&read);
            match read {
                Ok(read) => self.book.apply_stored_declarations(read.as_of, read.value),
                Err(_) => self.wait_for_store().await,
            }
            // What was read may be older than what was announced: not again at once.
            tokio::time::sleep(ANNOUNCED_WAIT).await;
        }
    }

    async fn step_targets(&self, anew: bool) -> Result<WatchStep, StoreError> {
        match self.book.known().targets.filter(|_| !anew) {
            None => {
                let result = self.store.targets().await;
                self.health.record(&result);
                let list = result?;
                self.book.apply_stored_targets(list.as_of, list.value, self.expiry_end());
                Ok(WatchStep::After(self.target_pause()))
            }
            Some(from) => self.watch_targets(from).await,
        }
    }

    async fn watch_targets(&self, from: Revision) -> Result<WatchStep, StoreError> {
        let watching = self.store.watch_targets(from, WATCH_WAIT);
        let result = match tokio::time::timeout(self.check_time(LISTS_CHECK), watching).await {
            Ok(result) => result,
            Err(_) => return Ok(WatchStep::ReadAnew),
        };
        self.health.record(&result);
        let changes = result?;
        if self.book.known().targets.is_some_and(|known| known != from) {
            // Another source was faster: these changes may stand behind what is known.
            return Ok(WatchStep::ReadAnew);
        }
        let changed = !changes.value.is_empty();
        self.book.apply_stored_target_changes(changes.as_of, changes.value, self.expiry_end());
        Ok(if changed { WatchStep::After(self.target_pause()) } else { WatchStep::Continue })
    }

    async fn step_ranges(&self, anew: bool) -> Result<WatchStep, StoreError> {
        if self.relay.holds_mandate() {
            // Nobody else writes the map: what this VM writes it tells the book itself, and a late
            // write of a predecessor would make its next one fail.
            self.relay.wait_while_holding_mandate().await;
            return Ok(WatchStep::ReadAnew);
        }
        let known = self.book.known().ranges.filter(|_| !anew);
        let result = match known {
            None => self.store.ranges().await,
            Some(from) => {
                let watching = self.store.watch_ranges(from, WATCH_WAIT);
                match tokio::time::timeout(self.check_time(LISTS_CHECK), watching).await {
                    Ok(result) => result,
                    Err(_) => return Ok(WatchStep::ReadAnew),
                }
            }
        };
        self.health.record(&result);
        let snapshot = result?;
        let changed = snapshot.value.is_some();
        self.book.apply_ranges(snapshot.as_of, snapshot.value);
        Ok(if changed { WatchStep::After(RANGE_PAUSE_ALONE) } else { WatchStep::Continue })
    }

    /// Lists the evacuated zones, and then again whenever one begins or ends: the list is short, and a
    /// change that only a list shows is not missed.
    async fn step_evacuations(&self, anew: bool) -> Result<WatchStep, StoreError> {
        if let Some(from) = self.book.known().evacuations.filter(|_| !anew) {
            let watching = self.store.watch_evacuations(from, WATCH_WAIT);
            let check = self.check_time(EVACUATIONS_CHECK);
            if let Ok(watched) = tokio::time::timeout(check, watching).await {
                self.health.record(&watched);
                if !watched?.value {
                    return Ok(WatchStep::Continue);
                }
            }
        }
        let result = self.store.evacuations().await;
        self.health.record(&result);
        let Snapshot { as_of, value } = result?;
        self.book.apply_evacuations(Stored { revision: as_of, value });
        Ok(WatchStep::Continue)
    }

    fn check_time(&self, time: Duration) -> Duration {
        if self.relay.holds_mandate() {
            time
        } else if self.relay.has_subscribers() {
            time.mul_f64(TELLER_FACTOR)
        } else {
            time.mul_f64(ALONE_FACTOR)
        }
    }

    fn target_pause(&self) -> Duration {
        if self.relay.holds_mandate() { TARGET_PAUSE } else { TARGET_PAUSE_ALONE }
    }

    /// Until when a missing entry may only have lapsed; `None` when the store was not away.
    fn expiry_end(&self) -> Option<Instant> {
        if self.health.is_unavailable() {
            return Some(Instant::now() + EXPIRY_GRACE);
        }
        let until = self.health.recovered_at()? + EXPIRY_GRACE;
        (until > Instant::now()).then_some(until)
    }
}
