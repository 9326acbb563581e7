//! The store and the orders to targets, in memory.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use nickellead_gateway::{
    Declarations, EvacuatedZones, MandateRecord, OrderPort, OrderReply, Revision, Snapshot,
    StoreEra, StoreError, StorePort, Stored, TargetChange, TargetEntry, TargetList, TargetListing,
};
use nickellead_range::{OrderKind, OrderOutcome, RangeMap, RangeOrder};

/// Between two looks of a watch.
const LOOK: Duration = Duration::from_millis(5);

/// A part of what the store holds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StorePart {
    Declarations,
    Targets,
}

/// What the store keeps, and loses when it comes back from a copy.
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
    /// The store's revision.
    fn at(&self) -> Revision {
        Revision::new(self.era, self.revision)
    }
}

/// Whether an object has the revision that a write expects: the store knows numbers only.
fn has_revision<T>(stored: Option<&Stored<T>>, expected: Option<Revision>) -> bool {
    stored.map(|stored| stored.revision.number) == expected.map(|expected| expected.number)
}

/// The answer to a write that was done, though perhaps by chance in another era than it expected.
fn of_era(revision: Revision, expected: Option<Revision>) -> Result<Revision, StoreError> {
    match expected.is_none_or(|expected| expected.era == revision.era) {
        true => Ok(revision),
        false => Err(StoreError::Conflict),
    }
}

/// A copy of what the store held at some moment.
pub struct StoreCopy(StoreContent);

#[derive(Default)]
struct StoreState {
    content: StoreContent,
    calls: u64,
    /// Those for declarations, targets, ranges and evacuated zones.
    part_calls: u64,
    /// Questions for declarations, by VM.
    declaration_calls: BTreeMap<String, u64>,
    /// Watches of declarations under way, by VM.
    watches: BTreeMap<String, u64>,
    away: bool,
    /// VMs that the store does not answer.
    away_from: BTreeSet<String>,
    deaf_watches: bool,
    /// Whether no watch can go on from where it was.
    forgets: bool,
    /// VMs whose reads and watches of a part are not answered.
    held_from: BTreeSet<(String, StorePart)>,
    /// Orders sent, and the outcomes for targets that don't just do what they are told.
    orders: Vec<(Instant, RangeOrder)>,
    outcomes: BTreeMap<String, OrderOutcome>,
    /// Targets that say on their answers to orders that they leave.
    leaving: BTreeSet<String>,
}

impl StoreState {
    fn is_away_from(&self, vm: &str) -> bool {
        self.away || self.away_from.contains(vm)
    }
}

/// A store that several gateways share.
#[derive(Clone, Default)]
pub struct MemoryStore {
    state: Arc<Mutex<StoreState>>,
    /// The VM that asks through this handle; empty for a test itself.
    vm: String,
    /// The newest era that an answer told this VM.
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

    /// What the store holds now.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state().content.clone())
    }

    /// Makes the store hold what it held when this copy was made: its revisions go back with it.
    pub fn come_back_from(&self, copy: &StoreCopy) {
        let mut state = self.state();
        let era = StoreEra(state.content.era.0 + 1);
        let in_era = |revision: Revision| Revision { era, ..revision };
        let content = copy.0.clone();
        state.content = StoreContent {
            era,
            ranges: content.ranges.map(|one| Stored { revision: in_era(one.revision), ..one }),
            mandate: content.mandate.map(|one| Stored { revision: in_era(one.revision), ..one }),
            ..content
        };
    }

    /// The store's era, which an answer tells this VM.
    fn tell_era(&self, state: &StoreState) -> StoreEra {
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

    /// Makes a target's entry one that can't be read.
    pub fn spoil(&self, id: &str) {
        self.change(|state, revision| {
            state.content.targets.remove(id);
            state.content.unreadable.insert(id.to_owned());
            state.content.changes.push((revision, TargetChange::Unreadable(id.to_owned())));
        });
    }

    /// Evacuates these availability zones and no others.
    pub fn evacuate(&self, zones: &[&str]) {
        let zones = zones.iter().map(|zone| (*zone).to_owned()).collect();
        self.change(|state, revision| state.content.evacuations = (revision, zones));
    }

    /// Makes the store answer nobody, or answer again.
    pub fn set_away(&self, away: bool) {
        self.state().away = away;
    }

    /// Makes the store answer one VM no more.
    pub fn leave(&self, vm: &str) {
        self.state().away_from.insert(vm.to_owned());
    }

    /// Makes watches hear nothing, as while history is dropped.
    pub fn set_deaf_watches(&self, deaf: bool) {
        self.state().deaf_watches = deaf;
    }

    /// Makes the store keep no history: each watch is to read anew.
    pub fn set_forgets(&self, forgets: bool) {
        self.state().forgets = forgets;
    }

    /// Leaves a VM's reads and watches of a part unanswered, as over a full link, or answers them.
    pub fn hold_from(&self, vm: &str, part: StorePart, held: bool) {
        let mut state = self.state();
        let key = (vm.to_owned(), part);
        if held {
            state.held_from.insert(key);
        } else {
            state.held_from.remove(&key);
        }
    }

    /// Waits until a part is told to the VM that asks through this handle.
    async fn until_told(&self, part: StorePart) {
        while self.state().held_from.contains(&(self.vm.clone(), part)) {
            tokio::time::sleep(LOOK).await;
        }
    }

    /// What a target does with orders from now on.
    pub fn set_outcome(&self, id: &str, outcome: OrderOutcome) {
        self.state().outcomes.insert(id.to_owned(), outcome);
    }

    /// Makes a target say on its answers to orders that it leaves.
    pub fn set_leaving(&self, id: &str) {
        self.state().leaving.insert(id.to_owned());
    }

    /// The same store, as this VM asks it.
    pub fn seen_by(&self, vm: &str) -> Self {
        Self { state: Arc::clone(&self.state), vm: vm.to_owned(), era: Arc::default() }
    }

    /// How often a VM has asked for declarations.
    pub fn declaration_calls(&self, vm: &str) -> u64 {
        self.state().declaration_calls.get(vm).copied().unwrap_or_default()
    }

    /// VMs that follow the store: they watch its declarations now.
    pub fn followers(&self) -> usize {
        self.state().watches.values().filter(|watches| **watches > 0).count()
    }

    fn count_declaration_call(&self) {
        *self.state().declaration_calls.entry(self.vm.clone()).or_default() += 1;
    }

    /// Calls for declarations, targets, ranges and evacuated zones.
    pub fn part_calls_made(&self) -> u64 {
        self.state().part_calls
    }

    pub fn calls_made(&self) -> u64 {
        self.state().calls
    }

    pub fn map(&self) -> Option<RangeMap> {
        self.state().content.ranges.as_ref().map(|stored| stored.value.clone())
    }

    /// The VM that holds the mandate, once one does.
    pub fn mandate_holder(&self) -> Option<String> {
        self.state().content.mandate.as_ref().map(|stored| stored.value.vm.clone())
    }

    /// Whether the last holder of the mandate gave it back.
    pub fn mandate_is_vacant(&self) -> bool {
        self.state().content.mandate.as_ref().is_some_and(|stored| stored.value.vacant)
    }

    pub fn orders(&self) -> Vec<RangeOrder> {
        self.timed_orders().into_iter().map(|(_, order)| order).collect()
    }

    /// The orders with the times at which they were carried out.
    pub fn timed_orders(&self) -> Vec<(Instant, RangeOrder)> {
        self.state().orders.clone()
    }

    fn call<T>(&self, read: impl FnOnce(&mut StoreState) -> T) -> Result<T, StoreError> {
        let mut state = self.state();
        state.calls += 1;
        if state.is_away_from(&self.vm) {
            return Err(StoreError::NoResponse("away".to_owned()));
        }
        self.tell_era(&state);
        Ok(read(&mut state))
    }

    /// A call for a part, counted as such whether it is answered or not.
    fn call_part<T>(&self, read: impl FnOnce(&mut StoreState) -> T) -> Result<T, StoreError> {
        self.state().part_calls += 1;
        self.call(read)
    }

    async fn watch<T>(
        &self,
        from: Revision,
        wait: Duration,
        read: impl Fn(&StoreState) -> Option<T>,
        empty: T,
    ) -> Result<Snapshot<T>, StoreError> {
        self.call_part(|_| ())?;
        let end = Instant::now() + wait;
        loop {
            {
                let state = self.state();
                if state.is_away_from(&self.vm) {
                    return Err(StoreError::NoResponse("away".to_owned()));
                }
                let told = self.tell_era(&state);
                let unknown = from.number > state.content.revision || from.era < told;
                if unknown || state.forgets {
                    return Err(StoreError::Compacted);
                }
                if state.content.revision > from.number
                    && !state.deaf_watches
                    && let Some(value) = read(&state)
                {
                    return Ok(Snapshot { as_of: state.content.at(), value });
                }
                if Instant::now() >= end {
                    return Ok(Snapshot { as_of: from, value: empty });
                }
            }
            tokio::time::sleep(LOOK).await;
        }
    }
}

/// Counts a watch of declarations until it ends or is given up.
struct WatchUnderWay<'a>(&'a MemoryStore);

impl<'a> WatchUnderWay<'a> {
    fn begin(store: &'a MemoryStore) -> Self {
        *store.state().watches.entry(store.vm.clone()).or_default() += 1;
        Self(store)
    }
}

impl Drop for WatchUnderWay<'_> {
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
        self.until_told(StorePart::Declarations).await;
        self.call_part(|state| Snapshot {
            as_of: state.content.at(),
            value: state.content.declarations.as_ref().map(|(_, value)| value.clone()),
        })
    }

    async fn watch_declarations(
        &self,
        from: Revision,
        wait: Duration,
    ) -> Result<Snapshot<Option<Declarations>>, StoreError> {
        self.count_declaration_call();
        let _under_way = WatchUnderWay::begin(self);
        let read = |state: &StoreState| {
            let (revision, value) = state.content.declarations.as_ref()?;
            (*revision > from.number).then(|| Some(value.clone()))
        };
        let seen = self.watch(from, wait, read, None).await;
        self.until_told(StorePart::Declarations).await;
        seen
    }

    async fn targets(&self) -> Result<Snapshot<TargetListing>, StoreError> {
        self.until_told(StorePart::Targets).await;
        self.call_part(|state| Snapshot {
            as_of: state.content.at(),
            value: TargetListing {
                targets: state.content.targets.clone(),
                unreadable: state.content.unreadable.clone(),
            },
        })
    }

    async fn evacuations(&self) -> Result<Snapshot<EvacuatedZones>, StoreError> {
        self.call_part(|state| Snapshot {
            as_of: state.content.at(),
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
        let seen = self.watch(from, wait, read, Vec::new()).await;
        self.until_told(StorePart::Targets).await;
        seen
    }

    async fn ranges(&self) -> Result<Snapshot<Option<Stored<RangeMap>>>, StoreError> {
        self.call_part(|state| Snapshot {
            as_of: state.content.at(),
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
            let revision = state.content.at();
            state.content.ranges = Some(Stored { revision, value: map.clone() });
            of_era(revision, expected)
        })?
    }

    async fn mandate_cached(&self) -> Result<Option<Stored<MandateRecord>>, StoreError> {
        self.mandate().await
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
            let revision = state.content.at();
            state.content.mandate = Some(Stored { revision, value: mandate.clone() });
            of_era(revision, expected)
        })?
    }
}

/// Orders to targets that do what they are told, unless a test says otherwise.
pub struct MemoryOrders(MemoryStore);

impl MemoryOrders {
    pub fn of(store: &MemoryStore) -> Self {
        Self(store.clone())
    }
}

impl OrderPort for MemoryOrders {
    async fn send(&self, order: &RangeOrder, _: Duration, _: Duration) -> OrderReply {
        let mut state = self.0.state();
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
