//! In-memory implementations of the store and of the orders to targets, with fault injection.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use nickellead_gateway::{
    Declarations, EvacuatedZones, MandateRecord, OrderPort, OrderReply, Revision, Snapshot,
    StoreEra, StoreError, StorePort, Stored, TargetChange, TargetEntry, TargetList, TargetListing,
};
use nickellead_range::{OrderKind, OrderOutcome, RangeMap, RangeOrder};

/// Reason in the error of a watch that was cut.
const CUT: &str = "watch cut";
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// An object of the store whose reads a test can withhold.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreObject {
    Declarations,
    Targets,
}

/// The persisted content, which a restore replaces.
#[derive(Clone, Default)]
struct StoreContent {
    era: StoreEra,
    revision: u64,
    declarations: Option<(u64, Declarations)>,
    changes: Vec<(u64, TargetChange)>,
    targets: TargetList,
    unreadable: BTreeSet<String>,
    evacuations: (u64, EvacuatedZones),
    ranges: Option<Stored<RangeMap>>,
    mandate: Option<Stored<MandateRecord>>,
}

impl StoreContent {
    /// The store-wide revision in the current era.
    fn current_revision(&self) -> Revision {
        Revision::new(self.era, self.revision)
    }
}

/// Whether an object has the revision that a write expects; like the store, compares numbers and
/// ignores eras.
fn has_revision<T>(stored: Option<&Stored<T>>, expected: Option<Revision>) -> bool {
    stored.map(|stored| stored.revision.number) == expected.map(|expected| expected.number)
}

/// The result of a write that was applied: a conflict if it matched only a revision number of
/// another era.
fn check_era(revision: Revision, expected: Option<Revision>) -> Result<Revision, StoreError> {
    match expected.is_none_or(|expected| expected.era == revision.era) {
        true => Ok(revision),
        false => Err(StoreError::Conflict),
    }
}

/// A backup of the store, for [`MemoryStore::restore`].
pub struct StoreBackup(StoreContent);

#[derive(Default)]
struct StoreState {
    content: StoreContent,
    calls: u64,
    /// Reads and watches of declarations, targets, ranges and evacuated zones.
    non_mandate_reads: u64,
    /// Reads and watches of declarations, by VM.
    declaration_calls: BTreeMap<String, u64>,
    /// Open watches of declarations, by VM.
    watches: BTreeMap<String, u64>,
    unavailable: bool,
    /// VMs whose calls fail.
    unavailable_to: BTreeSet<String>,
    stalled_watches: bool,
    /// Whether a watch that has changes to report fails because its response is too large.
    oversized_watches: bool,
    /// Whether all calls but cached reads are refused because VMs make too many.
    rate_limited: bool,
    /// How long a watch may wait until it is cut; `None` for as long as it asks.
    watch_limit: Option<Duration>,
    /// Number of watches of targets that were cut.
    cut_target_watches: u64,
    /// Whether every watch fails because its start revision is compacted.
    compacted: bool,
    /// VMs and objects whose reads and watches get no response.
    withheld_from: BTreeSet<(String, StoreObject)>,
    orders: Vec<(Instant, RangeOrder)>,
    /// Outcomes of orders by target id; orders to other targets succeed.
    outcomes: BTreeMap<String, OrderOutcome>,
    /// VMs whose orders reach no target.
    orders_cut: BTreeSet<String>,
    /// Targets whose responses to orders signal that they leave.
    leaving: BTreeSet<String>,
}

impl StoreState {
    fn is_unavailable_to(&self, vm: &str) -> bool {
        self.unavailable || self.unavailable_to.contains(vm)
    }
}

/// A store that several gateways share; clones share the content.
#[derive(Clone, Default)]
pub struct MemoryStore {
    state: Arc<Mutex<StoreState>>,
    /// The VM that calls through this handle; empty for the test itself.
    vm: String,
    /// The newest era that a response reported to this VM.
    era: Arc<AtomicU64>,
}

impl MemoryStore {
    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap()
    }

    fn change(&self, edit: impl FnOnce(&mut StoreState, u64)) {
        let mut state = self.state();
        state.content.revision += 1;
        let revision = state.content.revision;
        edit(&mut state, revision);
    }

    /// Sets whether the orders of a VM reach no target.
    pub fn set_orders_cut(&self, vm: &str, cut: bool) {
        let cut_off = &mut self.state().orders_cut;
        match cut {
            true => cut_off.insert(vm.to_owned()),
            false => cut_off.remove(vm),
        };
    }

    /// Takes a backup of the current content.
    pub fn backup(&self) -> StoreBackup {
        StoreBackup(self.state().content.clone())
    }

    /// Replaces the content by a backup and starts a new era; revision numbers decrease to those of
    /// the backup.
    pub fn restore(&self, backup: &StoreBackup) {
        let mut state = self.state();
        let era = StoreEra(state.content.era.0 + 1);
        let with_new_era = |revision: Revision| Revision { era, ..revision };
        let content = backup.0.clone();
        state.content = StoreContent {
            era,
            ranges: content
                .ranges
                .map(|one| Stored { revision: with_new_era(one.revision), ..one }),
            mandate: content
                .mandate
                .map(|one| Stored { revision: with_new_era(one.revision), ..one }),
            ..content
        };
    }

    /// The current era, recorded as reported to this VM.
    fn report_era(&self, state: &StoreState) -> StoreEra {
        self.era.fetch_max(state.content.era.0, Ordering::Relaxed);
        state.content.era
    }

    pub fn declare(&self, declarations: Declarations) {
        self.change(|state, revision| state.content.declarations = Some((revision, declarations)));
    }

    pub fn list(&self, entry: TargetEntry) {
        self.change(|state, revision| {
            state.content.unreadable.remove(&entry.id);
            state.content.targets.insert(entry.id.clone(), entry.clone());
            state.content.changes.push((revision, TargetChange::Listed(entry)));
        });
    }

    pub fn unlist(&self, id: &str) {
        self.change(|state, revision| {
            state.content.targets.remove(id);
            state.content.changes.push((revision, TargetChange::Gone(id.to_owned())));
        });
    }

    /// Makes a target's entry unreadable.
    pub fn corrupt_entry(&self, id: &str) {
        self.change(|state, revision| {
            state.content.targets.remove(id);
            state.content.unreadable.insert(id.to_owned());
            state.content.changes.push((revision, TargetChange::Unreadable(id.to_owned())));
        });
    }

    /// Replaces the set of evacuated availability zones.
    pub fn evacuate(&self, zones: &[&str]) {
        let zones = zones.iter().map(|zone| (*zone).to_owned()).collect();
        self.change(|state, revision| state.content.evacuations = (revision, zones));
    }

    /// Makes all calls fail, or succeed again.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.state().unavailable = unavailable;
    }

    /// Makes all later calls of one VM fail.
    pub fn disconnect(&self, vm: &str) {
        self.state().unavailable_to.insert(vm.to_owned());
    }

    /// Makes watches report no changes, as while the store compacts its history.
    pub fn set_stalled_watches(&self, stalled: bool) {
        self.state().stalled_watches = stalled;
    }

    /// Makes each watch with changes to report fail because its response is too large.
    pub fn set_oversized_watches(&self, oversized: bool) {
        self.state().oversized_watches = oversized;
    }

    /// Refuses all calls that count toward the rate of calls, or accepts them again.
    pub fn set_rate_limited(&self, limited: bool) {
        self.state().rate_limited = limited;
    }

    /// Cuts each watch that waits for this long: it ends without a response.
    pub fn set_watch_limit(&self, limit: Option<Duration>) {
        self.state().watch_limit = limit;
    }

    /// Number of watches of targets that were cut.
    pub fn cut_target_watch_count(&self) -> u64 {
        self.state().cut_target_watches
    }

    /// Makes every watch fail as compacted, so that its caller must read again.
    pub fn set_compacted(&self, compacted: bool) {
        self.state().compacted = compacted;
    }

    /// Delays the responses to a VM's reads and watches of an object, as over a full link, until
    /// set to `false`.
    pub fn set_withheld(&self, vm: &str, object: StoreObject, withheld: bool) {
        let mut state = self.state();
        let key = (vm.to_owned(), object);
        if withheld {
            state.withheld_from.insert(key);
        } else {
            state.withheld_from.remove(&key);
        }
    }

    /// Waits until responses about an object are no longer withheld from this VM.
    async fn wait_while_withheld(&self, object: StoreObject) {
        while self.state().withheld_from.contains(&(self.vm.clone(), object)) {
            tokio::time::sleep(WATCH_POLL_INTERVAL).await;
        }
    }

    /// Sets the outcome of later orders to a target.
    pub fn set_outcome(&self, id: &str, outcome: OrderOutcome) {
        self.state().outcomes.insert(id.to_owned(), outcome);
    }

    /// Makes a target signal on its responses to orders that it leaves.
    pub fn set_leaving(&self, id: &str) {
        self.state().leaving.insert(id.to_owned());
    }

    /// A handle to the same store for the calls of this VM.
    pub fn for_vm(&self, vm: &str) -> Self {
        Self { state: Arc::clone(&self.state), vm: vm.to_owned(), era: Arc::default() }
    }

    /// Number of reads and watches of declarations by a VM.
    pub fn declaration_calls(&self, vm: &str) -> u64 {
        self.state().declaration_calls.get(vm).copied().unwrap_or_default()
    }

    /// Number of VMs with an open watch of declarations.
    pub fn watching_vms(&self) -> usize {
        self.state().watches.values().filter(|watches| **watches > 0).count()
    }

    fn count_declaration_call(&self) {
        *self.state().declaration_calls.entry(self.vm.clone()).or_default() += 1;
    }

    /// Number of reads and watches of anything but the mandate, including failed ones.
    pub fn non_mandate_read_count(&self) -> u64 {
        self.state().non_mandate_reads
    }

    pub fn call_count(&self) -> u64 {
        self.state().calls
    }

    pub fn range_map(&self) -> Option<RangeMap> {
        self.state().content.ranges.as_ref().map(|stored| stored.value.clone())
    }

    /// The VM in the mandate record; `None` before the first write of the mandate (leader lease).
    pub fn mandate_holder(&self) -> Option<String> {
        self.state().content.mandate.as_ref().map(|stored| stored.value.vm.clone())
    }

    /// Whether the last mandate holder released the mandate.
    pub fn mandate_is_vacant(&self) -> bool {
        self.state().content.mandate.as_ref().is_some_and(|stored| stored.value.vacant)
    }

    pub fn orders(&self) -> Vec<RangeOrder> {
        self.timed_orders().into_iter().map(|(_, order)| order).collect()
    }

    /// The orders with the times at which the targets received them.
    pub fn timed_orders(&self) -> Vec<(Instant, RangeOrder)> {
        self.state().orders.clone()
    }

    fn call<T>(&self, read: impl FnOnce(&mut StoreState) -> T) -> Result<T, StoreError> {
        if self.state().rate_limited {
            self.state().calls += 1;
            return Err(StoreError::RateLimited);
        }
        self.call_cached(read)
    }

    /// A call that does not count toward the rate.
    fn call_cached<T>(&self, read: impl FnOnce(&mut StoreState) -> T) -> Result<T, StoreError> {
        let mut state = self.state();
        state.calls += 1;
        if state.is_unavailable_to(&self.vm) {
            return Err(StoreError::NoResponse("store unavailable".to_owned()));
        }
        self.report_era(&state);
        Ok(read(&mut state))
    }

    /// A read of anything but the mandate, counted also when it fails.
    fn call_non_mandate_read<T>(
        &self,
        read: impl FnOnce(&mut StoreState) -> T,
    ) -> Result<T, StoreError> {
        self.state().non_mandate_reads += 1;
        self.call(read)
    }

    async fn watch<T>(
        &self,
        from: Revision,
        wait: Duration,
        read: impl Fn(&StoreState) -> Option<T>,
        empty: T,
    ) -> Result<Snapshot<T>, StoreError> {
        self.call_non_mandate_read(|_| ())?;
        let started = Instant::now();
        loop {
            {
                let state = self.state();
                if state.is_unavailable_to(&self.vm) {
                    return Err(StoreError::NoResponse("store unavailable".to_owned()));
                }
                let reported_era = self.report_era(&state);
                let unknown = from.number > state.content.revision || from.era < reported_era;
                if unknown || state.compacted {
                    return Err(StoreError::Compacted);
                }
                if state.content.revision > from.number
                    && !state.stalled_watches
                    && let Some(value) = read(&state)
                {
                    if state.oversized_watches {
                        return Err(StoreError::Malformed("response too large".to_owned()));
                    }
                    return Ok(Snapshot { as_of: state.content.current_revision(), value });
                }
                if state.watch_limit.is_some_and(|limit| started.elapsed() >= limit) {
                    return Err(StoreError::Disconnected(CUT.to_owned()));
                }
                if started.elapsed() >= wait {
                    return Ok(Snapshot { as_of: from, value: empty });
                }
            }
            tokio::time::sleep(WATCH_POLL_INTERVAL).await;
        }
    }
}

/// Counts a watch of declarations until it ends or its future is dropped.
struct ActiveWatch<'a>(&'a MemoryStore);

impl<'a> ActiveWatch<'a> {
    fn start(store: &'a MemoryStore) -> Self {
        *store.state().watches.entry(store.vm.clone()).or_default() += 1;
        Self(store)
    }
}

impl Drop for ActiveWatch<'_> {
    fn drop(&mut self) {
        *self.0.state().watches.entry(self.0.vm.clone()).or_default() -= 1;
    }
}

impl StorePort for MemoryStore {
    fn era(&self) -> StoreEra {
        StoreEra(self.era.load(Ordering::Relaxed))
    }

    fn invalid_eras(&self) -> u64 {
        0
    }

    async fn declarations(&self) -> Result<Snapshot<Option<Declarations>>, StoreError> {
        self.count_declaration_call();
        self.wait_while_withheld(StoreObject::Declarations).await;
        self.call_non_mandate_read(|state| Snapshot {
            as_of: state.content.current_revision(),
            value: state.content.declarations.as_ref().map(|(_, value)| value.clone()),
        })
    }

    async fn watch_declarations(
        &self,
        from: Revision,
        wait: Duration,
    ) -> Result<Snapshot<Option<Declarations>>, StoreError> {
        self.count_declaration_call();
        let _active_watch = ActiveWatch::start(self);
        let read = |state: &StoreState| {
            let (revision, value) = state.content.declarations.as_ref()?;
            (*revision > from.number).then(|| Some(value.clone()))
        };
        let result = self.watch(from, wait, read, None).await;
        self.wait_while_withheld(StoreObject::Declarations).await;
        result
    }

    async fn targets(&self) -> Result<Snapshot<TargetListing>, StoreError> {
        self.wait_while_withheld(StoreObject::Targets).await;
        self.call_non_mandate_read(|state| Snapshot {
            as_of: state.content.current_revision(),
            value: TargetListing {
                targets: state.content.targets.clone(),
                unreadable: state.content.unreadable.clone(),
            },
        })
    }

    async fn evacuations(&self) -> Result<Snapshot<EvacuatedZones>, StoreError> {
        self.call_non_mandate_read(|state| Snapshot {
            as_of: state.content.current_revision(),
            value: state.content.evacuations.1.clone(),
        })
    }

    async fn watch_evacuations(
        &self,
        from: Revision,
        wait: Duration,
    ) -> Result<Snapshot<bool>, StoreError> {
        let read = |state: &StoreState| (state.content.evacuations.0 > from.number).then_some(true);
        self.watch(from, wait, read, false).await
    }

    async fn watch_targets(
        &self,
        from: Revision,
        wait: Duration,
    ) -> Result<Snapshot<Vec<TargetChange>>, StoreError> {
        let read = |state: &StoreState| {
            let new = state.content.changes.iter().filter(|(revision, _)| *revision > from.number);
            let new: Vec<TargetChange> = new.map(|(_, change)| change.clone()).collect();
            (!new.is_empty()).then_some(new)
        };
        let result = self.watch(from, wait, read, Vec::new()).await;
        if result == Err(StoreError::Disconnected(CUT.to_owned())) {
            self.state().cut_target_watches += 1;
        }
        self.wait_while_withheld(StoreObject::Targets).await;
        result
    }

    async fn ranges(&self) -> Result<Snapshot<Option<Stored<RangeMap>>>, StoreError> {
        self.call_non_mandate_read(|state| Snapshot {
            as_of: state.content.current_revision(),
            value: state.content.ranges.clone(),
        })
    }

    async fn watch_ranges(
        &self,
        from: Revision,
        wait: Duration,
    ) -> Result<Snapshot<Option<Stored<RangeMap>>>, StoreError> {
        let read = |state: &StoreState| {
            let stored = state.content.ranges.as_ref()?;
            (stored.revision > from).then(|| Some(stored.clone()))
        };
        self.watch(from, wait, read, None).await
    }

    async fn write_ranges(
        &self,
        expected: Option<Revision>,
        map: &RangeMap,
    ) -> Result<Revision, StoreError> {
        self.call(|state| {
            if !has_revision(state.content.ranges.as_ref(), expected) {
                return Err(StoreError::Conflict);
            }
            state.content.revision += 1;
            let revision = state.content.current_revision();
            state.content.ranges = Some(Stored { revision, value: map.clone() });
            check_era(revision, expected)
        })?
    }

    async fn mandate_cached(&self) -> Result<Option<Stored<MandateRecord>>, StoreError> {
        self.call_cached(|state| state.content.mandate.clone())
    }

    async fn mandate(&self) -> Result<Option<Stored<MandateRecord>>, StoreError> {
        self.call(|state| state.content.mandate.clone())
    }

    async fn write_mandate(
        &self,
        expected: Option<Revision>,
        mandate: &MandateRecord,
    ) -> Result<Revision, StoreError> {
        self.call(|state| {
            if !has_revision(state.content.mandate.as_ref(), expected) {
                return Err(StoreError::Conflict);
            }
            state.content.revision += 1;
            let revision = state.content.current_revision();
            state.content.mandate = Some(Stored { revision, value: mandate.clone() });
            check_era(revision, expected)
        })?
    }
}

/// Orders to targets that succeed unless the test sets another outcome.
pub struct MemoryOrders(MemoryStore);

impl MemoryOrders {
    pub fn new(store: &MemoryStore) -> Self {
        Self(store.clone())
    }
}

impl OrderPort for MemoryOrders {
    async fn send(&self, order: &RangeOrder, _: Duration, _: Duration) -> OrderReply {
        let mut state = self.0.state();
        if state.orders_cut.contains(&self.0.vm) {
            return OrderOutcome::NotSent.into();
        }
        state.orders.push((Instant::now(), order.clone()));
        let outcome = match (state.outcomes.get(&order.target.id), &order.kind) {
            (Some(outcome), _) => outcome.clone(),
            (None, OrderKind::Grant(_)) => OrderOutcome::Done(None),
            (None, OrderKind::Release) => {
                OrderOutcome::Done(Some(format!("token-{}", order.first)))
            }
        };
        OrderReply { outcome, leaving: state.leaving.contains(&order.target.id) }
    }
}
