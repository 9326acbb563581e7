//! Watches of the store: declarations, targets, ranges and evacuated zones.
//!
//! Each kind of object is read once and then watched from the revision that is known. If that
//! revision is compacted, or the response to a watch can't be read, everything is read again and
//! compared, so that no removal is missed. A watch that the store cuts is repeated from the same
//! revision, if a probe shows that the store responds. When the store recovers from an outage,
//! watches are restarted, because old ones may never get a response. The store is not watched while
//! another VM sends updates.

use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nickellead_time::BootClock;

use crate::cluster_state::{ClusterState, EXPIRY_GRACE};
use crate::relay::UpdateRelay;
use crate::store_call::StoreCall;
use crate::store_health::StoreHealth;
use crate::{Declarations, Revision, Snapshot, StoreError, StorePort, Stored};

/// How long one watch call waits for changes; each call has a price.
const WATCH_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay after a change of targets on the mandate holder, so that one call reads several changes.
const TARGETS_DELAY: Duration = Duration::from_millis(300);
/// The same delay on other VMs, of which many watch the store at the same time.
const TARGETS_DELAY_NOT_LEADING: Duration = Duration::from_millis(900);
/// Delay after a change of ranges, so that one call reads several changes.
const RANGES_DELAY: Duration = Duration::from_millis(250);
/// Delay after a change of declarations, so that one call reads several changes.
const DECLARATIONS_DELAY: Duration = Duration::from_millis(120);

/// How long announced declarations may be on their way from another VM before the store is read
/// instead.
const ANNOUNCED_TIMEOUT: Duration = Duration::from_millis(900);

/// Least time between the starts of two watches of which the first one was cut.
const MIN_CUT_WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two checks whether the store has recovered.
const RECOVERY_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Upper bound of the random delay before a VM uses a recovered store, which spreads the load.
const MAX_RECOVERY_JITTER: Duration = Duration::from_millis(150);

/// Interval of full reads of the declarations beside a watch without changes.
///
/// A watch may miss changes, or never end, while the store compacts its history.
const DECLARATIONS_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// The same for targets and ranges; targets also refuse requests based on an outdated list.
const LISTS_CHECK_INTERVAL: Duration = Duration::from_millis(2_500);
/// The same for evacuated zones.
const EVACUATIONS_CHECK_INTERVAL: Duration = Duration::from_millis(1_500);
/// Full reads of the declarations within the time for which keys may be checked with one of them.
const KEY_CHECKS_PER_MAX_AGE: u32 = 4;
/// Delay after a failed read of declarations on which the check of keys depends.
const FAILED_CHECK_DELAY: Duration = Duration::from_millis(250);
/// Delay before another full read if the last one was needed a moment ago.
const READ_ALL_DELAY: Duration = Duration::from_millis(600);
/// Factor on the check intervals of a VM that is not the mandate holder and has no subscribers.
const CHECK_FACTOR_WITHOUT_SUBSCRIBERS: f64 = 4.0;
/// The same factor for a VM with subscribers, which leave an upstream without recent store
/// responses.
const CHECK_FACTOR_WITH_SUBSCRIBERS: f64 = 0.6;

/// Watches the store and applies what it reads to the cluster state.
pub(crate) struct StoreWatcher<S> {
    pub(crate) store: Rc<S>,
    pub(crate) health: Rc<StoreHealth>,
    pub(crate) cluster_state: Rc<ClusterState>,
    pub(crate) relay: Rc<UpdateRelay>,
    /// Whether evacuations of availability zones are enabled.
    pub(crate) evacuations_enabled: bool,
    /// Most age of the declarations with which keys may be checked; `None` for no limit.
    pub(crate) max_key_age: Option<Duration>,
}

impl<S> Clone for StoreWatcher<S> {
    fn clone(&self) -> Self {
        Self {
            store: Rc::clone(&self.store),
            health: Rc::clone(&self.health),
            cluster_state: Rc::clone(&self.cluster_state),
            relay: Rc::clone(&self.relay),
            evacuations_enabled: self.evacuations_enabled,
            max_key_age: self.max_key_age,
        }
    }
}

/// What a watch loop does next.
enum WatchStep {
    /// Watch again at once.
    Continue,
    /// Watch again after this delay, so that one call reads several changes.
    After(Duration),
    /// Read everything instead of watching from the known revision.
    ReadAll,
}

impl<S: StorePort> StoreWatcher<S> {
    /// Starts one watch loop for each kind of object; they run until the process ends.
    pub(crate) fn start(&self) {
        let watcher = self.clone();
        actix_rt::spawn(async move {
            watcher.run(|read_all| watcher.step_declarations(read_all)).await;
        });
        let watcher = self.clone();
        actix_rt::spawn(async move { watcher.read_late_declarations().await });
        let watcher = self.clone();
        actix_rt::spawn(
            async move { watcher.run(|read_all| watcher.step_targets(read_all)).await },
        );
        let watcher = self.clone();
        actix_rt::spawn(async move { watcher.run(|read_all| watcher.step_ranges(read_all)).await });
        if self.evacuations_enabled {
            let watcher = self.clone();
            actix_rt::spawn(async move {
                watcher.run(|read_all| watcher.step_evacuations(read_all)).await;
            });
        }
        let cluster_state = Rc::clone(&self.cluster_state);
        actix_rt::spawn(async move { cluster_state.remove_expired_targets().await });
    }

    /// Repeats a step while this VM watches the store itself.
    async fn run<F>(&self, mut step: impl FnMut(bool) -> F)
    where
        F: Future<Output = Result<WatchStep, StoreError>>,
    {
        let mut read_all = false;
        let mut was_leading = false;
        let mut last_read_all: Option<Instant> = None;
        loop {
            self.relay.wait_until_watching_store().await;
            // A new mandate holder serves all other VMs, and a watch from before an outage may
            // hang.
            read_all |= self.relay.holds_mandate() && !was_leading;
            was_leading = self.relay.holds_mandate();
            let started = Instant::now();
            let stepped = tokio::select! {
                stepped = step(read_all) => stepped,
                () = self.relay.wait_until_not_watching_store() => continue,
                () = self.health.recovered.notified() => continue,
                () = self.relay.wait_until_mandate_taken() => continue,
            };
            read_all = false;
            match stepped {
                Ok(WatchStep::Continue) => {}
                Ok(WatchStep::After(delay)) => tokio::time::sleep(delay).await,
                Ok(WatchStep::ReadAll) => read_all = true,
                // A watch from the same revision would get the same response.
                Err(StoreError::Compacted | StoreError::Malformed(_)) => {
                    read_all = true;
                    let last = last_read_all.replace(Instant::now());
                    if last.is_some_and(|last| last.elapsed() < READ_ALL_DELAY * 2) {
                        tokio::time::sleep(READ_ALL_DELAY).await;
                    }
                }
                // Only a watch ends in this way while the store is available.
                Err(StoreError::Disconnected(_)) if !self.health.is_unavailable() => {
                    self.wait_after_cut(started).await;
                }
                Err(StoreError::RateLimited) if !self.health.is_unavailable() => {
                    self.health.backoff().await;
                    // Only calls that don't count toward the rate tell whether the store is lost.
                    self.health.probe(&*self.store).await;
                }
                Err(_) => self.wait_for_store().await,
            }
        }
    }

    /// Waits until a watch that began at `started` and was cut may be repeated. A probe tells whether
    /// the store was lost, because the repeated watch would tell it only when its wait time is over.
    async fn wait_after_cut(&self, started: Instant) {
        self.health.probe(&*self.store).await;
        if self.health.is_unavailable() {
            return self.wait_for_store().await;
        }
        tokio::time::sleep_until((started + MIN_CUT_WATCH_INTERVAL).into()).await;
    }

    /// Waits until the store has recovered, which the cheaper reads of the mandate detect.
    async fn wait_for_store(&self) {
        if !self.health.is_unavailable() {
            return self.health.backoff().await;
        }
        while self.health.is_unavailable() {
            // The timeout covers a notification between the check and the wait.
            let _ = tokio::time::timeout(RECOVERY_POLL_INTERVAL, self.health.recovered.notified())
                .await;
        }
        tokio::time::sleep(MAX_RECOVERY_JITTER.mul_f64(fastrand::f64())).await;
    }

    async fn step_declarations(&self, read_all: bool) -> Result<WatchStep, StoreError> {
        let known = self.cluster_state.known().declarations.filter(|_| !read_all);
        let started = BootClock.now();
        let (call, result) = match known {
            None => (StoreCall::ReadDeclarations, self.store.declarations().await),
            Some(from) => match self.watch_declarations(from).await.transpose() {
                Some(result) => (StoreCall::WatchDeclarations, result),
                None => return Ok(WatchStep::Continue),
            },
        };
        self.health.record(call, &result);
        let snapshot = result?;
        let changed = snapshot.value.is_some();
        self.cluster_state.apply_stored_declarations(snapshot.as_of, snapshot.value, started);
        // The first read needs no delay.
        let changed = changed && known.is_some();
        Ok(if changed { WatchStep::After(DECLARATIONS_DELAY) } else { WatchStep::Continue })
    }

    /// Waits for newer declarations, and reads them at intervals besides.
    ///
    /// Returns `None` if a read found a version that the watch had not reported.
    async fn watch_declarations(
        &self,
        from: Revision,
    ) -> Result<Option<Snapshot<Option<Declarations>>>, StoreError> {
        let mut watching = std::pin::pin!(self.store.watch_declarations(from, WATCH_TIMEOUT));
        let version = || self.cluster_state.declarations().map(|known| known.version);
        let mut interval = self.declarations_check_interval();
        loop {
            let known = version();
            let checking = async {
                tokio::time::sleep(interval).await;
                let started = BootClock.now();
                (self.store.declarations().await, started)
            };
            // The watch continues during a check and after a failed one.
            let (read, started) = tokio::select! {
                watched = &mut watching => return watched.map(Some),
                checked = checking => checked,
            };
            self.health.record(StoreCall::ReadDeclarations, &read);
            interval = self.declarations_check_interval();
            match read {
                Ok(Snapshot { as_of, value }) => {
                    self.cluster_state.apply_stored_declarations(as_of, value, started);
                }
                // Keys are refused if reads fail for long.
                Err(_) if self.max_key_age.is_some() => interval = FAILED_CHECK_DELAY,
                Err(_) => {}
            }
            if version() != known {
                return Ok(None);
            }
        }
    }

    /// Reads announced declarations that do not arrive from another VM in time.
    async fn read_late_declarations(&self) {
        loop {
            let since = self.cluster_state.wait_for_missing_declarations().await;
            tokio::time::sleep_until((since + ANNOUNCED_TIMEOUT).into()).await;
            if !self.cluster_state.is_missing_since(since) {
                continue;
            }
            let started = BootClock.now();
            let read = self.store.declarations().await;
            self.health.record(StoreCall::ReadDeclarations, &read);
            match read {
                Ok(Snapshot { as_of, value }) => {
                    self.cluster_state.apply_stored_declarations(as_of, value, started);
                }
                Err(_) => self.wait_for_store().await,
            }
            // The read may return an older version than the announced one: do not repeat it at
            // once.
            tokio::time::sleep(ANNOUNCED_TIMEOUT).await;
        }
    }

    async fn step_targets(&self, read_all: bool) -> Result<WatchStep, StoreError> {
        match self.cluster_state.known().targets.filter(|_| !read_all) {
            None => {
                let result = self.store.targets().await;
                self.health.record(StoreCall::ReadTargets, &result);
                let list = result?;
                self.cluster_state.apply_stored_targets(list.as_of, list.value, self.expiry_end());
                Ok(WatchStep::After(self.targets_delay()))
            }
            Some(from) => self.watch_targets(from).await,
        }
    }

    async fn watch_targets(&self, from: Revision) -> Result<WatchStep, StoreError> {
        let watching = self.store.watch_targets(from, WATCH_TIMEOUT);
        let result =
            match tokio::time::timeout(self.check_interval(LISTS_CHECK_INTERVAL), watching).await {
                Ok(result) => result,
                Err(_) => return Ok(WatchStep::ReadAll),
            };
        self.health.record(StoreCall::WatchTargets, &result);
        let changes = result?;
        if self.cluster_state.known().targets.is_some_and(|known| known != from) {
            // Another VM's update was faster: these changes may be older than what is known.
            return Ok(WatchStep::ReadAll);
        }
        let changed = !changes.value.is_empty();
        self.cluster_state.apply_stored_target_changes(
            changes.as_of,
            changes.value,
            self.expiry_end(),
        );
        Ok(if changed { WatchStep::After(self.targets_delay()) } else { WatchStep::Continue })
    }

    async fn step_ranges(&self, read_all: bool) -> Result<WatchStep, StoreError> {
        if self.relay.holds_mandate() {
            // The mandate holder need not watch the map: it applies its own writes to the cluster
            // state, and a late write of its predecessor makes its next write fail.
            self.relay.wait_while_holding_mandate().await;
            return Ok(WatchStep::ReadAll);
        }
        let known = self.cluster_state.known().ranges.filter(|_| !read_all);
        let (call, result) = match known {
            None => (StoreCall::ReadRanges, self.store.ranges().await),
            Some(from) => {
                let watching = self.store.watch_ranges(from, WATCH_TIMEOUT);
                match tokio::time::timeout(self.check_interval(LISTS_CHECK_INTERVAL), watching)
                    .await
                {
                    Ok(result) => (StoreCall::WatchRanges, result),
                    Err(_) => return Ok(WatchStep::ReadAll),
                }
            }
        };
        self.health.record(call, &result);
        let snapshot = result?;
        let changed = snapshot.value.is_some();
        self.cluster_state.apply_ranges(snapshot.as_of, snapshot.value);
        Ok(if changed { WatchStep::After(RANGES_DELAY) } else { WatchStep::Continue })
    }

    /// Lists the evacuated zones, and again whenever an evacuation begins or ends.
    async fn step_evacuations(&self, read_all: bool) -> Result<WatchStep, StoreError> {
        if let Some(from) = self.cluster_state.known().evacuations.filter(|_| !read_all) {
            let watching = self.store.watch_evacuations(from, WATCH_TIMEOUT);
            let check = self.check_interval(EVACUATIONS_CHECK_INTERVAL);
            if let Ok(watched) = tokio::time::timeout(check, watching).await {
                self.health.record(StoreCall::WatchEvacuations, &watched);
                if !watched?.value {
                    return Ok(WatchStep::Continue);
                }
            }
        }
        let result = self.store.evacuations().await;
        self.health.record(StoreCall::ReadEvacuations, &result);
        let Snapshot { as_of, value } = result?;
        self.cluster_state.apply_evacuations(Stored { revision: as_of, value });
        Ok(WatchStep::Continue)
    }

    fn check_interval(&self, interval: Duration) -> Duration {
        if self.relay.holds_mandate() {
            interval
        } else if self.relay.has_subscribers() {
            interval.mul_f64(CHECK_FACTOR_WITH_SUBSCRIBERS)
        } else {
            interval.mul_f64(CHECK_FACTOR_WITHOUT_SUBSCRIBERS)
        }
    }

    /// Interval of full reads of the declarations. Keys are checked only while the declarations are
    /// known to be recent, which other VMs learn later than this one.
    fn declarations_check_interval(&self) -> Duration {
        let interval = self.check_interval(DECLARATIONS_CHECK_INTERVAL);
        let declarations = self.cluster_state.declarations();
        let has_workspaces = declarations.is_some_and(|known| known.workspaces.is_some());
        match self.max_key_age.filter(|_| has_workspaces) {
            Some(max_age) => interval.min(max_age / KEY_CHECKS_PER_MAX_AGE),
            None => interval,
        }
    }

    fn targets_delay(&self) -> Duration {
        if self.relay.holds_mandate() { TARGETS_DELAY } else { TARGETS_DELAY_NOT_LEADING }
    }

    /// Until when a missing entry may only have expired during an outage; `None` without a recent
    /// outage.
    fn expiry_end(&self) -> Option<Instant> {
        if self.health.is_unavailable() {
            return Some(Instant::now() + EXPIRY_GRACE);
        }
        let until = self.health.recovered_at()? + EXPIRY_GRACE;
        (until > Instant::now()).then_some(until)
    }
}
