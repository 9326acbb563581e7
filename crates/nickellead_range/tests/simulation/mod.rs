//! A small simulation: targets that hold keys, VMs that decide, a store, and disturbances.
//!
//! Keys come in blocks; ranges begin and end at their edges. The targets judge:
//! whenever one takes a block, no other may hold it, and its fence must be
//! above every fence under which another held it.
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

/// Length of one step of the simulation, in milliseconds.
pub const STEP_MS: u64 = 20;
/// Blocks of keys.
pub const BLOCKS: usize = 32;
/// Keys of one block.
pub const BLOCK_KEYS: u32 = 65_536 / BLOCKS as u32;
/// Targets of the one service.
const TARGETS: usize = 4;
/// VMs that may hold the mandate.
const VMS: usize = 2;
/// The one service.
pub const SERVICE: &str = "board";

/// Between two copies of the store.
const COPY_MS: u64 = 200;
/// How old a copy is from which the store comes back.
const COPY_AGES_MS: std::ops::Range<u64> = 1_000..9_000;

/// The keeper's settings in the simulation.
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

/// What can go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A target dies and comes back as another life.
    TargetCrash(usize),
    /// A target can't reach the store: its entry lapses, and it works on.
    TargetUnlisted(usize),
    /// No VM reaches a target.
    TargetCut(usize),
    /// One VM does not reach a target.
    LinkCut(usize, usize),
    /// Half of the orders get no answer and are carried out seconds later.
    LateOrders,
    /// A VM loses its memory and starts anew.
    VmKill(usize),
    /// A VM stands still.
    VmFreeze(usize),
    /// A VM does not reach the store.
    VmCut(usize),
    /// The store answers nobody.
    StoreDown,
    /// Writes are done, and their answers are lost.
    AnswersLost,
    /// Writes are done seconds later, if their condition still holds.
    WritesLate,
    /// The store answers nobody and then comes back from a copy that is some seconds old.
    StoreOlder,
}

/// An order on its way.
struct SentOrder {
    vm: usize,
    incarnation: u64,
    order: RangeOrder,
    arrives: u64,
    /// Whether the VM hears of it; else it has counted the order as unanswered.
    heard: bool,
}

/// The store: two documents with conditional writes.
#[derive(Clone, Default)]
pub struct SimulatedStore {
    pub era: StoreEra,
    revision: u64,
    pub map: Option<Stored<RangeMap>>,
    pub mandate: Option<Stored<MandateRecord>>,
}

/// A write that the store does late.
enum LateWrite {
    Map(Option<Revision>, RangeMap),
    Mandate(Option<Revision>, MandateRecord),
}

impl SimulatedStore {
    /// This copy as the store of a new era: its objects keep the numbers of their revisions.
    fn brought_back(mut self, era: StoreEra) -> Self {
        let in_era = |revision: Revision| Revision { era, ..revision };
        self.era = era;
        self.map = self.map.map(|map| Stored { revision: in_era(map.revision), ..map });
        self.mandate = self.mandate.map(|one| Stored { revision: in_era(one.revision), ..one });
        self
    }

    /// Writes the map if its revision is the expected one.
    pub fn write_map(&mut self, expected: Option<Revision>, map: &RangeMap) -> Option<Revision> {
        if !has_revision(self.map.as_ref(), expected) {
            return None;
        }
        self.revision += 1;
        let revision = Revision::new(self.era, self.revision);
        self.map = Some(Stored { revision, value: map.clone() });
        Some(revision)
    }

    /// Writes the mandate if its revision is the expected one.
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

/// Whether an object has the revision that a write expects. The store knows numbers only: it can't tell one that
/// it lost from the one that it gave in its place.
fn has_revision<T>(stored: Option<&Stored<T>>, expected: Option<Revision>) -> bool {
    stored.map(|stored| stored.revision.number) == expected.map(|expected| expected.number)
}

/// Everything.
pub struct Simulation {
    pub now: u64,
    pub rng: fastrand::Rng,
    pub store: SimulatedStore,
    pub targets: Vec<SimulatedTarget>,
    pub vms: Vec<SimulatedVm>,
    faults: Vec<(Fault, u64)>,
    sent: Vec<SentOrder>,
    late_writes: Vec<(u64, LateWrite)>,
    /// What the store held, and when.
    copies: VecDeque<(u64, SimulatedStore)>,
    next_life: u64,
    /// Whether VMs start moves of their own accord.
    pub moves: bool,
    /// Grants carried out, so that a run that does nothing is noticed.
    pub grants: u64,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let targets = (0..TARGETS).map(|place| SimulatedTarget::new(place, &mut rng)).collect();
        let vms = (0..VMS).map(|place| SimulatedVm::new(place, 1 + place as u64)).collect();
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
            next_life: 1_000,
            moves: true,
            grants: 0,
        }
    }

    pub fn time(&self) -> Timestamp {
        Timestamp(self.now)
    }

    /// Whether a fault goes on.
    pub fn has(&self, fault: Fault) -> bool {
        self.faults.iter().any(|(one, _)| *one == fault)
    }

    /// Starts a fault for a while.
    pub fn start(&mut self, fault: Fault, length_ms: u64) {
        if std::env::var_os("TRACE").is_some() {
            eprintln!("{} {fault:?} for {length_ms}", self.now);
        }
        match fault {
            Fault::TargetCrash(place) => {
                self.next_life += 1;
                let back = self.now + length_ms;
                self.targets[place].crash(self.next_life, back);
            }
            Fault::VmKill(place) => {
                self.next_life += 1;
                let back = self.now + length_ms;
                self.vms[place] = SimulatedVm::new(place, self.next_life);
                self.vms[place].stands_until = back;
            }
            Fault::VmFreeze(place) => self.vms[place].stands_until = self.now + length_ms,
            _ => self.faults.push((fault, self.now + length_ms)),
        }
    }

    /// The targets that the store lists now.
    pub fn listed(&self) -> Vec<OwnerCandidate> {
        let listed = |place: &usize| {
            let target = &self.targets[*place];
            // Three heartbeats without a write and the entry is gone; this simulation rounds to none.
            target.is_up(self.now) && !self.has(Fault::TargetUnlisted(*place))
        };
        let candidate = |place: usize| OwnerCandidate {
            target: self.targets[place].holder(),
            capacity: 1.0,
            max_load: None,
        };
        (0..self.targets.len()).filter(listed).map(candidate).collect()
    }

    /// One step: late writes, orders that arrive, then every VM.
    pub fn step(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        let was_lost = self.has(Fault::StoreOlder);
        self.faults.retain(|(_, until)| *until > now);
        self.do_late_writes();
        if was_lost && !self.has(Fault::StoreOlder) {
            self.come_back_older();
        }
        // Before that the keys would be divided anew, and not at the edges of blocks.
        if now.is_multiple_of(COPY_MS) && self.store.map.is_some() {
            self.copies.push_back((now, self.store.clone()));
        }
        self.deliver_orders();
        for place in 0..self.vms.len() {
            vm::step(self, place);
        }
    }

    /// The store comes back from a copy of the last seconds, and its next era begins.
    fn come_back_older(&mut self) {
        let copied = self.now - self.rng.u64(COPY_AGES_MS).min(self.now);
        let era = StoreEra(self.store.era.0 + 1);
        while self.copies.len() > 1 && self.copies.back().is_some_and(|(at, _)| *at > copied) {
            self.copies.pop_back();
        }
        let Some((_, copy)) = self.copies.back().cloned() else { return };
        if std::env::var_os("TRACE").is_some() {
            eprintln!("{} era {era} of {copied}: {:?}", self.now, copy.mandate);
        }
        self.store = copy.brought_back(era);
    }

    /// Tells the other VMs which map a VM has written, as far as its news reach them.
    pub fn tell_map(&mut self, teller: usize, map: &Stored<RangeMap>) {
        for place in 0..self.vms.len() {
            let stands = self.vms[place].stands_until > self.now;
            if place == teller || !stands && self.rng.u8(..10) > 0 {
                self.vms[place].note_told(map);
            }
        }
    }

    fn do_late_writes(&mut self) {
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

    /// A write of the map by a VM: its answer, or `Err` when none came.
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
        let answer = self.store.write_map(expected, map);
        self.lose_answer()?;
        Ok(answer.filter(|revision| is_of_era(*revision, expected)))
    }

    /// The same for the mandate.
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
        let answer = self.store.write_mandate(expected, record);
        self.lose_answer()?;
        Ok(answer.filter(|revision| is_of_era(*revision, expected)))
    }

    /// Whether a call of the store reaches it.
    pub fn call_store(&self, vm: usize) -> Result<(), ()> {
        let down = self.has(Fault::StoreDown) || self.has(Fault::StoreOlder);
        match down || self.has(Fault::VmCut(vm)) {
            true => Err(()),
            false => Ok(()),
        }
    }

    fn lose_answer(&mut self) -> Result<(), ()> {
        match self.has(Fault::AnswersLost) && self.rng.bool() {
            true => Err(()),
            false => Ok(()),
        }
    }

    /// Sends an order; gives the outcome when it is known at once.
    pub fn send_order(&mut self, vm: usize, order: &RangeOrder) -> Option<OrderOutcome> {
        let place = target::place_of(&order.target);
        if std::env::var_os("TRACE").is_some() {
            eprintln!("{} vm {vm} sends {order:?}", self.now);
        }
        let cut = self.has(Fault::TargetCut(place)) || self.has(Fault::LinkCut(vm, place));
        if cut || !self.targets[place].answers(self.now) {
            // The connection is refused or silent; what was sent is thrown away by the reset.
            let outcomes = [OrderOutcome::Unanswered, OrderOutcome::Broken, OrderOutcome::NotSent];
            return Some(outcomes[self.rng.usize(..outcomes.len())].clone());
        }
        let late = self.has(Fault::LateOrders) && self.rng.bool();
        let delay = if late { self.rng.u64(2_000..12_000) } else { self.rng.u64(1..30) };
        let incarnation = self.vms[vm].incarnation;
        let arrives = self.now + delay;
        self.sent.push(SentOrder { vm, incarnation, order: order.clone(), arrives, heard: !late });
        late.then_some(OrderOutcome::Unanswered)
    }

    fn deliver_orders(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.sent).into_iter().partition(|sent| sent.arrives <= now);
        self.sent = rest;
        for sent in due {
            let outcome = self.carry_out(&sent.order);
            let vm = &mut self.vms[sent.vm];
            if sent.heard && vm.incarnation == sent.incarnation {
                vm.outcomes.push((sent.order, outcome));
            }
        }
    }

    fn carry_out(&mut self, order: &RangeOrder) -> OrderOutcome {
        let place = target::place_of(&order.target);
        if std::env::var_os("TRACE").is_some() {
            eprintln!("{} deliver {order:?}", self.now);
        }
        let hold = settings().lease.as_millis() as u64;
        let outcome = self.targets[place].carry_out(order, hold, self.now);
        if matches!(order.kind, nickellead_range::OrderKind::Grant(_))
            && matches!(outcome, OrderOutcome::Done(_))
        {
            self.grants += 1;
            self.judge(place, order);
        }
        outcome
    }

    /// Panics when another target holds a block, or held it under as high a fence.
    fn judge(&self, place: usize, order: &RangeOrder) {
        for block in target::blocks(order) {
            for (other, target) in self.targets.iter().enumerate() {
                if other == place {
                    continue;
                }
                if let Some(fence) = target.holds(block, self.now) {
                    panic!(
                        "at {}: target {place} took block {block} with fence {}, target {other} \
                         holds it with {fence}",
                        self.now, order.fence
                    );
                }
                let held = target.highest_held(block);
                assert!(
                    order.fence > held,
                    "at {}: target {place} took block {block} with fence {}, target {other} had \
                     it with {held}",
                    self.now,
                    order.fence
                );
            }
        }
    }

    /// What the VMs and the store believe, for a failed run.
    pub fn describe(&self) -> String {
        let vms: Vec<String> = self.vms.iter().map(|vm| vm.describe(self.time())).collect();
        format!("{}\nstore: {:?}", vms.join("\n"), self.store.map)
    }

    /// Blocks that some target holds now.
    pub fn owned_blocks(&self) -> usize {
        let held = |block: &usize| {
            self.targets.iter().any(|target| target.holds(*block, self.now).is_some())
        };
        (0..BLOCKS).filter(held).count()
    }
}

/// Whether a write was done in the era that it expected: one that fits by chance counts as refused.
fn is_of_era(revision: Revision, expected: Option<Revision>) -> bool {
    expected.is_none_or(|expected| expected.era == revision.era)
}

/// The identity of one life of a target.
pub fn holder(place: usize, life: u64) -> TargetInstance {
    TargetInstance { id: format!("target-{place}-{life}"), born: None, address: format!("{place}") }
}
