//! Simulation of targets that own keys, VMs that decide about them, a store, and faults.
//!
//! Range boundaries are multiples of a block of keys. Whenever a target executes a grant of a
//! block, no other target may own the block, and the fence must be above every fence under which
//! another target owned it.
#![allow(dead_code, clippy::unwrap_used, clippy::panic)]

pub mod target;
pub mod vm;

use std::collections::VecDeque;
use std::time::Duration;

use nickellead_core::{DriftBound, Timestamp};
use nickellead_range::{
    ControllerSettings, MandateRecord, OrderOutcome, OwnerCandidate, RangeMap, RangeOrder,
    Revision, StoreEra, Stored, TargetInstance,
};

use target::SimulatedTarget;
use vm::SimulatedVm;

/// Duration of one simulation step, in milliseconds.
pub const STEP_MS: u64 = 20;
/// Number of blocks that the key space is divided into.
pub const BLOCKS: usize = 32;
/// Number of keys in a block.
pub const BLOCK_KEYS: u32 = 65_536 / BLOCKS as u32;
/// Number of targets of the service.
const TARGETS: usize = 4;
/// Number of VMs that may hold the mandate (leader lease).
const VMS: usize = 2;
/// Name of the service.
pub const SERVICE: &str = "board";

/// Interval between two backup copies of the store, in milliseconds.
const COPY_INTERVAL_MS: u64 = 200;
/// Range of the age of a copy at the restore, in milliseconds.
const COPY_AGES_MS: std::ops::Range<u64> = 1_000..9_000;

/// Settings of the range controllers in the simulation.
pub fn settings() -> ControllerSettings {
    ControllerSettings {
        lease: Duration::from_millis(4_500),
        renewal_interval: Duration::from_millis(1_000),
        retry_interval: Duration::from_millis(200),
        margin: Duration::from_millis(300),
        max_lateness: Duration::from_millis(12_500),
        drift: DriftBound { parts_per_million: 25_000 },
    }
}

/// A kind of fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A target crashes and restarts as a new instance.
    TargetCrash(usize),
    /// A target cannot reach the store: its entry expires while it keeps running.
    TargetUnlisted(usize),
    /// No VM reaches a target.
    TargetCut(usize),
    /// One VM does not reach a target.
    LinkCut(usize, usize),
    /// Half of the orders get no response and are executed seconds later.
    LateOrders,
    /// A VM's process is killed and restarts without its state.
    VmKill(usize),
    /// A VM's process is suspended.
    VmFreeze(usize),
    /// A VM does not reach the store.
    VmCut(usize),
    /// The store is unavailable.
    StoreDown,
    /// The store applies writes, and half of the responses are lost.
    ResponsesLost,
    /// The store applies half of the writes seconds later, if their condition still holds.
    WritesLate,
    /// The store is unavailable and then restored from a copy that is some seconds old.
    StoreRestored,
}

/// An order in flight.
struct SentOrder {
    vm: usize,
    incarnation: u64,
    order: RangeOrder,
    arrives: u64,
    /// Whether the VM receives the response; if not, it has counted the order as unanswered.
    is_answered: bool,
}

/// A store of two objects with conditional writes.
#[derive(Clone, Default)]
pub struct SimulatedStore {
    pub era: StoreEra,
    revision: u64,
    pub map: Option<Stored<RangeMap>>,
    pub mandate: Option<Stored<MandateRecord>>,
}

/// A write that the store applies late.
enum LateWrite {
    Map(Option<Revision>, RangeMap),
    Mandate(Option<Revision>, MandateRecord),
}

impl SimulatedStore {
    /// Restores this copy as the store of a new era; objects keep their revision numbers.
    fn restored(mut self, era: StoreEra) -> Self {
        let in_era = |revision: Revision| Revision { era, ..revision };
        self.era = era;
        self.map = self.map.map(|map| Stored { revision: in_era(map.revision), ..map });
        self.mandate = self.mandate.map(|one| Stored { revision: in_era(one.revision), ..one });
        self
    }

    /// Writes the map if it has the expected revision.
    pub fn write_map(&mut self, expected: Option<Revision>, map: &RangeMap) -> Option<Revision> {
        if !has_revision(self.map.as_ref(), expected) {
            return None;
        }
        self.revision += 1;
        let revision = Revision::new(self.era, self.revision);
        self.map = Some(Stored { revision, value: map.clone() });
        Some(revision)
    }

    /// Writes the mandate if it has the expected revision.
    pub fn write_mandate(
        &mut self,
        expected: Option<Revision>,
        record: &MandateRecord,
    ) -> Option<Revision> {
        if !has_revision(self.mandate.as_ref(), expected) {
            return None;
        }
        self.revision += 1;
        let revision = Revision::new(self.era, self.revision);
        self.mandate = Some(Stored { revision, value: record.clone() });
        Some(revision)
    }
}

/// Whether an object has the revision that a write expects.
///
/// The store compares numbers only, so it cannot distinguish a lost revision from the one that was
/// assigned the same number after the restore.
fn has_revision<T>(stored: Option<&Stored<T>>, expected: Option<Revision>) -> bool {
    stored.map(|stored| stored.revision.number) == expected.map(|expected| expected.number)
}

/// State of the whole simulation.
pub struct Simulation {
    pub now: u64,
    pub rng: fastrand::Rng,
    pub store: SimulatedStore,
    pub targets: Vec<SimulatedTarget>,
    pub vms: Vec<SimulatedVm>,
    faults: Vec<(Fault, u64)>,
    sent: Vec<SentOrder>,
    late_writes: Vec<(u64, LateWrite)>,
    /// Backup copies of the store with their times.
    copies: VecDeque<(u64, SimulatedStore)>,
    next_incarnation: u64,
    /// Whether VMs start random moves.
    pub moves: bool,
    /// Number of executed grants; guards against runs without any effect.
    pub grants: u64,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let targets = (0..TARGETS).map(|index| SimulatedTarget::new(index, &mut rng)).collect();
        let vms = (0..VMS).map(|index| SimulatedVm::new(index, 1 + index as u64)).collect();
        Self {
            now: 1_000,
            rng,
            store: SimulatedStore { era: StoreEra(1), ..SimulatedStore::default() },
            targets,
            vms,
            faults: Vec::new(),
            sent: Vec::new(),
            late_writes: Vec::new(),
            copies: VecDeque::new(),
            next_incarnation: 1_000,
            moves: true,
            grants: 0,
        }
    }

    pub fn time(&self) -> Timestamp {
        Timestamp(self.now)
    }

    /// Whether a fault is active.
    pub fn has(&self, fault: Fault) -> bool {
        self.faults.iter().any(|(one, _)| *one == fault)
    }

    pub fn start(&mut self, fault: Fault, duration_ms: u64) {
        if std::env::var_os("TRACE").is_some() {
            eprintln!("{} {fault:?} for {duration_ms}", self.now);
        }
        match fault {
            Fault::TargetCrash(index) => {
                self.next_incarnation += 1;
                let back = self.now + duration_ms;
                self.targets[index].crash(self.next_incarnation, back);
            }
            Fault::VmKill(index) => {
                self.next_incarnation += 1;
                let back = self.now + duration_ms;
                self.vms[index] = SimulatedVm::new(index, self.next_incarnation);
                self.vms[index].suspended_until = back;
            }
            Fault::VmFreeze(index) => self.vms[index].suspended_until = self.now + duration_ms,
            _ => self.faults.push((fault, self.now + duration_ms)),
        }
    }

    /// The targets that the store lists now.
    pub fn listed(&self) -> Vec<OwnerCandidate> {
        let listed = |index: &usize| {
            let target = &self.targets[*index];
            // A real entry expires after three missed heartbeats, here immediately.
            target.is_up(self.now) && !self.has(Fault::TargetUnlisted(*index))
        };
        let candidate = |index: usize| OwnerCandidate {
            target: self.targets[index].instance(),
            capacity: 1.0,
            max_load: None,
        };
        (0..self.targets.len()).filter(listed).map(candidate).collect()
    }

    /// Runs one step: late writes first, then arriving orders, then every VM.
    pub fn step(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        let was_restoring = self.has(Fault::StoreRestored);
        self.faults.retain(|(_, until)| *until > now);
        self.apply_late_writes();
        if was_restoring && !self.has(Fault::StoreRestored) {
            self.restore_store();
        }
        // A restore without a map would divide the keys again, and not at block boundaries.
        if now.is_multiple_of(COPY_INTERVAL_MS) && self.store.map.is_some() {
            self.copies.push_back((now, self.store.clone()));
        }
        self.deliver_orders();
        for index in 0..self.vms.len() {
            vm::step(self, index);
        }
    }

    /// Restores the store from a copy of the last seconds, which begins its next era.
    fn restore_store(&mut self) {
        let copied = self.now - self.rng.u64(COPY_AGES_MS).min(self.now);
        let era = StoreEra(self.store.era.0 + 1);
        while self.copies.len() > 1 && self.copies.back().is_some_and(|(at, _)| *at > copied) {
            self.copies.pop_back();
        }
        let Some((_, copy)) = self.copies.back().cloned() else { return };
        if std::env::var_os("TRACE").is_some() {
            eprintln!("{} era {era} of {copied}: {:?}", self.now, copy.mandate);
        }
        self.store = copy.restored(era);
    }

    /// Sends a written map to the other VMs; some of the updates are lost.
    pub fn publish_map(&mut self, writer: usize, map: &Stored<RangeMap>) {
        for index in 0..self.vms.len() {
            let is_suspended = self.vms[index].suspended_until > self.now;
            if index == writer || !is_suspended && self.rng.u8(..10) > 0 {
                self.vms[index].set_known_map(map);
            }
        }
    }

    fn apply_late_writes(&mut self) {
        let now = self.now;
        let (due, rest) =
            std::mem::take(&mut self.late_writes).into_iter().partition(|(at, _)| *at <= now);
        self.late_writes = rest;
        let due: Vec<(u64, LateWrite)> = due;
        for (_, write) in due {
            match write {
                LateWrite::Map(expected, map) => {
                    self.store.write_map(expected, &map);
                }
                LateWrite::Mandate(expected, record) => {
                    self.store.write_mandate(expected, &record);
                }
            }
        }
    }

    /// Writes the map for a VM; `Err` if no response arrives.
    pub fn call_write_map(
        &mut self,
        vm: usize,
        expected: Option<Revision>,
        map: &RangeMap,
    ) -> Result<Option<Revision>, ()> {
        self.call_store(vm)?;
        if self.has(Fault::WritesLate) && self.rng.bool() {
            let at = self.now + self.rng.u64(1_000..6_000);
            self.late_writes.push((at, LateWrite::Map(expected, map.clone())));
            return Err(());
        }
        let response = self.store.write_map(expected, map);
        self.lose_response()?;
        Ok(response.filter(|revision| is_of_era(*revision, expected)))
    }

    /// Writes the mandate for a VM; `Err` if no response arrives.
    pub fn call_write_mandate(
        &mut self,
        vm: usize,
        expected: Option<Revision>,
        record: &MandateRecord,
    ) -> Result<Option<Revision>, ()> {
        self.call_store(vm)?;
        if self.has(Fault::WritesLate) && self.rng.bool() {
            let at = self.now + self.rng.u64(1_000..6_000);
            self.late_writes.push((at, LateWrite::Mandate(expected, record.clone())));
            return Err(());
        }
        let response = self.store.write_mandate(expected, record);
        self.lose_response()?;
        Ok(response.filter(|revision| is_of_era(*revision, expected)))
    }

    /// Whether a VM's request reaches the store.
    pub fn call_store(&self, vm: usize) -> Result<(), ()> {
        let down = self.has(Fault::StoreDown) || self.has(Fault::StoreRestored);
        match down || self.has(Fault::VmCut(vm)) {
            true => Err(()),
            false => Ok(()),
        }
    }

    fn lose_response(&mut self) -> Result<(), ()> {
        match self.has(Fault::ResponsesLost) && self.rng.bool() {
            true => Err(()),
            false => Ok(()),
        }
    }

    /// Sends an order; returns the outcome if it is known at once.
    pub fn send_order(&mut self, vm: usize, order: &RangeOrder) -> Option<OrderOutcome> {
        let index = target::index_of(&order.target);
        if std::env::var_os("TRACE").is_some() {
            eprintln!("{} vm {vm} sends {order:?}", self.now);
        }
        let cut = self.has(Fault::TargetCut(index)) || self.has(Fault::LinkCut(vm, index));
        if cut || !self.targets[index].accepts_connections(self.now) {
            // The connection is refused or times out, and the target discards what was sent.
            let outcomes = [OrderOutcome::Unanswered, OrderOutcome::Broken, OrderOutcome::NotSent];
            return Some(outcomes[self.rng.usize(..outcomes.len())].clone());
        }
        let late = self.has(Fault::LateOrders) && self.rng.bool();
        let delay = if late { self.rng.u64(2_000..12_000) } else { self.rng.u64(1..30) };
        let incarnation = self.vms[vm].incarnation;
        let arrives = self.now + delay;
        self.sent.push(SentOrder {
            vm,
            incarnation,
            order: order.clone(),
            arrives,
            is_answered: !late,
        });
        late.then_some(OrderOutcome::Unanswered)
    }

    fn deliver_orders(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.sent).into_iter().partition(|sent| sent.arrives <= now);
        self.sent = rest;
        for sent in due {
            let outcome = self.execute(&sent.order);
            let vm = &mut self.vms[sent.vm];
            if sent.is_answered && vm.incarnation == sent.incarnation {
                vm.outcomes.push((sent.order, outcome));
            }
        }
    }

    fn execute(&mut self, order: &RangeOrder) -> OrderOutcome {
        let index = target::index_of(&order.target);
        if std::env::var_os("TRACE").is_some() {
            eprintln!("{} deliver {order:?}", self.now);
        }
        let lease_ms = settings().lease.as_millis() as u64;
        let outcome = self.targets[index].execute(order, lease_ms, self.now);
        if matches!(order.kind, nickellead_range::OrderKind::Grant(_))
            && matches!(outcome, OrderOutcome::Done(_))
        {
            self.grants += 1;
            self.check_grant(index, order);
        }
        outcome
    }

    /// Panics if another target owns a block of the order, or owned one under a fence that is not
    /// lower.
    fn check_grant(&self, index: usize, order: &RangeOrder) {
        for block in target::blocks(order) {
            for (other, target) in self.targets.iter().enumerate() {
                if other == index {
                    continue;
                }
                if let Some(fence) = target.owned_fence(block, self.now) {
                    panic!(
                        "at {}: target {index} took block {block} with fence {}, target {other} \
                         holds it with {fence}",
                        self.now, order.fence
                    );
                }
                let highest = target.highest_fence(block);
                assert!(
                    order.fence > highest,
                    "at {}: target {index} took block {block} with fence {}, target {other} had \
                     it with {highest}",
                    self.now,
                    order.fence
                );
            }
        }
    }

    /// State of the VMs and the store, for the message of a failed run.
    pub fn describe(&self) -> String {
        let vms: Vec<String> = self.vms.iter().map(|vm| vm.describe(self.time())).collect();
        format!("{}\nstore: {:?}", vms.join("\n"), self.store.map)
    }

    /// Number of blocks that have an owner now.
    pub fn owned_blocks(&self) -> usize {
        let is_owned = |block: &usize| {
            self.targets.iter().any(|target| target.owned_fence(*block, self.now).is_some())
        };
        (0..BLOCKS).filter(is_owned).count()
    }
}

/// Whether a write was applied in the era that it expected; a revision number that matches by chance
/// counts as a refusal.
fn is_of_era(revision: Revision, expected: Option<Revision>) -> bool {
    expected.is_none_or(|expected| expected.era == revision.era)
}

/// One instance of the target at `index`; instances do not share identities.
pub fn instance(index: usize, incarnation: u64) -> TargetInstance {
    TargetInstance {
        id: format!("target-{index}-{incarnation}"),
        born: None,
        address: format!("{index}"),
    }
}
