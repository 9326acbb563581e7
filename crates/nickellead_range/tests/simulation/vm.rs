//! A VM that may hold the mandate: what the control duty does, without sockets.

use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_range::{
    InheritedMap, LateOrderDetector, MANDATE_POLL_INTERVAL, MANDATE_RENEWAL_INTERVAL,
    MandateAuthority, MandateState, MoveProposal, OrderOutcome, RangeController, RangeMap,
    RangeOrder, Revision, Stored, WriteOutcome, classify_write,
};

use super::{BLOCK_KEYS, BLOCKS, SERVICE, Simulation, settings};

/// Orders decided longer ago than this are not sent.
const AGE_MOST: Duration = Duration::from_millis(250);

/// One VM.
pub struct SimulatedVm {
    pub incarnation: u64,
    pub stands_until: u64,
    /// Orders decided and not sent yet: a VM may stand still in between.
    pending: Vec<RangeOrder>,
    pub outcomes: Vec<(RangeOrder, OrderOutcome)>,
    mandate: MandateState,
    mandate_due: u64,
    keeper: Option<RangeController>,
    /// Whether the mandate allowed nothing at the last step.
    paused: bool,
    lateness: LateOrderDetector,
    map_revision: Option<Revision>,
    /// The newest map that it was told.
    told: Option<Stored<RangeMap>>,
    /// When the map is read again after a write without an answer.
    read_back_at: Option<u64>,
}

impl SimulatedVm {
    pub fn new(place: usize, incarnation: u64) -> Self {
        let address = ([127, 0, 0, 1], 9_000 + place as u16).into();
        let mandate =
            MandateState::new(format!("vm-{place}"), address, incarnation, Duration::ZERO);
        Self {
            incarnation,
            stands_until: 0,
            pending: Vec::new(),
            outcomes: Vec::new(),
            mandate,
            mandate_due: 0,
            keeper: None,
            paused: false,
            lateness: LateOrderDetector::default(),
            map_revision: None,
            told: None,
            read_back_at: None,
        }
    }
}

impl SimulatedVm {
    /// Takes in what became of an order.
    fn note_outcome(&mut self, order: &RangeOrder, outcome: OrderOutcome, now: Timestamp) {
        self.lateness.observe_outcome(order, &outcome, now, settings().late_lease_bound(now));
        if let Some(keeper) = &mut self.keeper {
            keeper.apply_outcome(order, outcome, now);
        }
    }

    /// Takes in a map that was written.
    pub fn note_told(&mut self, map: &Stored<RangeMap>) {
        if self
            .told
            .as_ref()
            .is_none_or(|told| told.effective_revision() < map.effective_revision())
        {
            self.told =
                Some(Stored { revision: map.effective_revision(), value: map.value.clone() });
        }
    }

    pub fn describe(&self, now: Timestamp) -> String {
        format!(
            "{:?} mandate={:?} map={:?} keeper={:#?}",
            self.mandate.authority(now),
            self.mandate,
            self.map_revision,
            self.keeper
        )
    }
}

/// One step of the VM at `place`.
pub fn step(simulation: &mut Simulation, place: usize) {
    if simulation.vms[place].stands_until > simulation.now {
        return;
    }
    let now = simulation.time();
    send_pending(simulation, place, now);
    step_mandate(simulation, place, now);
    let power = simulation.vms[place].mandate.authority(now);
    let outcomes = std::mem::take(&mut simulation.vms[place].outcomes);
    let vm = &mut simulation.vms[place];
    if !vm.mandate.is_held() {
        vm.keeper = None;
    }
    outcomes.into_iter().for_each(|(order, outcome)| vm.note_outcome(&order, outcome, now));
    let paused = std::mem::replace(&mut vm.paused, power == MandateAuthority::None);
    if power == MandateAuthority::None {
        return;
    }
    if paused && let Some(keeper) = &mut vm.keeper {
        keeper.resume();
    }
    if power == MandateAuthority::Full {
        keep_map(simulation, place, now);
    }
    let vm = &mut simulation.vms[place];
    if let Some(keeper) = &mut vm.keeper {
        let only = power == MandateAuthority::RenewalsOnly;
        vm.pending.extend(keeper.due_orders(now, only, &vm.lateness));
    }
    // Most of the time orders leave at once; sometimes the VM stands still first.
    if simulation.rng.u8(..20) > 0 {
        send_pending(simulation, place, now);
    }
}

fn send_pending(simulation: &mut Simulation, place: usize, now: Timestamp) {
    for order in std::mem::take(&mut simulation.vms[place].pending) {
        let power = simulation.vms[place].mandate.authority(now);
        let stale = now.since(order.decided_at) > AGE_MOST;
        let outcome = match power == MandateAuthority::None || stale {
            true => Some(OrderOutcome::NotSent),
            false => simulation.send_order(place, &order),
        };
        if let Some(outcome) = outcome {
            simulation.vms[place].note_outcome(&order, outcome, now);
        }
    }
}

fn step_mandate(simulation: &mut Simulation, place: usize, now: Timestamp) {
    if simulation.now < simulation.vms[place].mandate_due {
        return;
    }
    let held = simulation.vms[place].mandate.is_held();
    let pause = if held { MANDATE_RENEWAL_INTERVAL } else { MANDATE_POLL_INTERVAL };
    let spread = simulation.rng.u64(0..100);
    simulation.vms[place].mandate_due = simulation.now + pause.as_millis() as u64 + spread;
    if !held || simulation.vms[place].mandate.is_outdated() {
        if simulation.call_store(place).is_err() {
            simulation.vms[place].mandate.observe_store_failure(now);
            return;
        }
        let read = simulation.store.mandate.clone();
        let era = simulation.store.era;
        simulation.vms[place].mandate.observe_store_response(now);
        simulation.vms[place].mandate.observe_era(era, now);
        if simulation.vms[place].mandate.apply_read(read, now) {
            simulation.vms[place].keeper = None;
        }
    }
    let Some(write) = simulation.vms[place].mandate.due_write(now) else { return };
    let answer = simulation.call_write_mandate(place, write.expected, &write.record);
    let revision = answer.unwrap_or(None);
    let taken = simulation.vms[place].mandate.apply_write(&write, revision, now, now);
    if taken {
        if std::env::var_os("TRACE").is_some() {
            let predecessors = simulation.vms[place].mandate.predecessors();
            eprintln!("{} vm {place} takes the mandate after {predecessors:?}", simulation.now);
        }
        simulation.vms[place].keeper = None;
    }
    if revision.is_none() && simulation.call_store(place).is_ok() {
        let (read, era) = (simulation.store.mandate.clone(), simulation.store.era);
        simulation.vms[place].mandate.observe_era(era, now);
        if simulation.vms[place].mandate.apply_read(read, now) {
            simulation.vms[place].keeper = None;
        }
    }
}

/// Loads, feeds and writes the keeper of a VM that may do everything.
fn keep_map(simulation: &mut Simulation, place: usize, now: Timestamp) {
    if simulation.vms[place].keeper.is_none() {
        if simulation.call_store(place).is_err() {
            return;
        }
        let stored = simulation.store.map.clone();
        let era = simulation.store.era;
        let writer = simulation.rng.u64(1..);
        let vm = &mut simulation.vms[place];
        vm.map_revision = stored.as_ref().map(|stored| stored.revision);
        let map = InheritedMap::newest(stored, vm.told.clone(), era);
        vm.read_back_at = None;
        let predecessors = vm.mandate.take_predecessors();
        let lateness = &mut vm.lateness;
        let keeper = RangeController::inherit(settings(), predecessors, map, writer, lateness, now);
        vm.keeper = Some(keeper);
    }
    let (era, rival_until) =
        (simulation.vms[place].mandate.era(), simulation.vms[place].mandate.rival_until());
    if let Some(keeper) = &mut simulation.vms[place].keeper {
        keeper.enter_era(era, rival_until);
    }
    let candidates = simulation.listed();
    let proposal = random_move(simulation, &candidates);
    let pick = candidates.get(simulation.rng.usize(..candidates.len().max(1))).cloned();
    let vm = &mut simulation.vms[place];
    let Some(keeper) = &mut vm.keeper else { return };
    keeper.set_candidates(SERVICE, &candidates, |_, _, _| pick.clone().map(|one| one.target));
    if let Some(proposal) = proposal {
        keeper.start_moves(SERVICE, &[proposal]);
        keeper.merge();
    }
    write_map(simulation, place);
}

fn random_move(
    simulation: &mut Simulation,
    candidates: &[nickellead_range::OwnerCandidate],
) -> Option<MoveProposal> {
    if !simulation.moves || candidates.is_empty() || simulation.rng.u8(..40) > 0 {
        return None;
    }
    let first = simulation.rng.u32(..BLOCKS as u32);
    let last = simulation.rng.u32(first..BLOCKS as u32);
    let to = candidates[simulation.rng.usize(..candidates.len())].target.clone();
    let (first, last) = (first * BLOCK_KEYS, (last + 1) * BLOCK_KEYS - 1);
    Some(MoveProposal { first: first as u16, last: last as u16, to })
}

fn write_map(simulation: &mut Simulation, place: usize) {
    if let Some(at) = simulation.vms[place].read_back_at {
        if simulation.now >= at && simulation.call_store(place).is_ok() {
            simulation.vms[place].read_back_at = None;
            read_map_back(simulation, place);
        }
        return;
    }
    let vm = &mut simulation.vms[place];
    let Some((map, edit)) = vm.keeper.as_mut().and_then(RangeController::take_write) else {
        return;
    };
    let expected = vm.map_revision;
    match simulation.call_write_map(place, expected, &map) {
        Ok(Some(revision)) => {
            let vm = &mut simulation.vms[place];
            vm.map_revision = Some(revision);
            if let Some(keeper) = &mut vm.keeper {
                keeper.confirm_write(edit);
            }
            simulation.tell_map(place, &Stored { revision, value: map });
        }
        Ok(None) | Err(()) => simulation.vms[place].read_back_at = Some(simulation.now + 150),
    }
}

/// After a write that failed: what does the store hold?
fn read_map_back(simulation: &mut Simulation, place: usize) {
    let (found, era) = (simulation.store.map.clone(), simulation.store.era);
    let vm = &mut simulation.vms[place];
    let Some(keeper) = &mut vm.keeper else { return };
    match classify_write(found.as_ref(), era, keeper.map().writer, vm.map_revision) {
        WriteOutcome::Written { revision, edit } => {
            vm.map_revision = Some(revision);
            keeper.confirm_write(edit);
            if let Some(found) = found {
                simulation.tell_map(place, &found);
            }
        }
        WriteOutcome::Superseded => vm.keeper = None,
        WriteOutcome::NotWritten(expected) => {
            vm.map_revision = expected;
            keeper.abort_write();
        }
    }
}
