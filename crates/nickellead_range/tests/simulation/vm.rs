//! Simulated VM that may hold the mandate (leader lease): the control loop without sockets.

use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_range::{
    InheritedMap, LateOrderDetector, MANDATE_POLL_INTERVAL, MANDATE_RENEWAL_INTERVAL,
    MandateAuthority, MandateState, MoveProposal, OrderOutcome, RangeController, RangeMap,
    RangeOrder, Revision, Stored, WriteOutcome, classify_write,
};

use super::{BLOCK_KEYS, BLOCKS, SERVICE, Simulation, settings};

/// Orders that were decided longer ago are not sent.
const MAX_ORDER_AGE: Duration = Duration::from_millis(250);

pub struct SimulatedVm {
    pub incarnation: u64,
    pub suspended_until: u64,
    /// Orders that are decided but not sent yet; the VM may be suspended in between.
    pending: Vec<RangeOrder>,
    pub outcomes: Vec<(RangeOrder, OrderOutcome)>,
    mandate: MandateState,
    mandate_due: u64,
    controller: Option<RangeController>,
    /// Whether the VM was not allowed to send any order at the last step.
    was_inactive: bool,
    late_orders: LateOrderDetector,
    map_revision: Option<Revision>,
    /// The newest map that the VM has received.
    known_map: Option<Stored<RangeMap>>,
    /// When the map is read back after a write without a response.
    read_back_at: Option<u64>,
}

impl SimulatedVm {
    pub fn new(index: usize, incarnation: u64) -> Self {
        let address = ([127, 0, 0, 1], 9_000 + index as u16).into();
        let mandate =
            MandateState::new(format!("vm-{index}"), address, incarnation, Duration::ZERO);
        Self {
            incarnation,
            suspended_until: 0,
            pending: Vec::new(),
            outcomes: Vec::new(),
            mandate,
            mandate_due: 0,
            controller: None,
            was_inactive: false,
            late_orders: LateOrderDetector::default(),
            map_revision: None,
            known_map: None,
            read_back_at: None,
        }
    }
}

impl SimulatedVm {
    fn apply_outcome(&mut self, order: &RangeOrder, outcome: OrderOutcome, now: Timestamp) {
        self.late_orders.observe_outcome(order, &outcome, now, settings().late_lease_bound(now));
        if let Some(controller) = &mut self.controller {
            controller.apply_outcome(order, outcome, now);
        }
    }

    /// Sets the known map if the given one is newer.
    pub fn set_known_map(&mut self, map: &Stored<RangeMap>) {
        if self
            .known_map
            .as_ref()
            .is_none_or(|known| known.effective_revision() < map.effective_revision())
        {
            self.known_map =
                Some(Stored { revision: map.effective_revision(), value: map.value.clone() });
        }
    }

    pub fn describe(&self, now: Timestamp) -> String {
        format!(
            "{:?} mandate={:?} map={:?} controller={:#?}",
            self.mandate.authority(now),
            self.mandate,
            self.map_revision,
            self.controller
        )
    }
}

/// Runs one step of the VM at `index`.
pub fn step(simulation: &mut Simulation, index: usize) {
    if simulation.vms[index].suspended_until > simulation.now {
        return;
    }
    let now = simulation.time();
    send_pending(simulation, index, now);
    step_mandate(simulation, index, now);
    let authority = simulation.vms[index].mandate.authority(now);
    let outcomes = std::mem::take(&mut simulation.vms[index].outcomes);
    let vm = &mut simulation.vms[index];
    if !vm.mandate.is_held() {
        vm.controller = None;
    }
    outcomes.into_iter().for_each(|(order, outcome)| vm.apply_outcome(&order, outcome, now));
    let was_inactive = std::mem::replace(&mut vm.was_inactive, authority == MandateAuthority::None);
    if authority == MandateAuthority::None {
        return;
    }
    if was_inactive && let Some(controller) = &mut vm.controller {
        controller.resume();
    }
    if authority == MandateAuthority::Full {
        update_map(simulation, index, now);
    }
    let vm = &mut simulation.vms[index];
    if let Some(controller) = &mut vm.controller {
        let renewals_only = authority == MandateAuthority::RenewalsOnly;
        vm.pending.extend(controller.due_orders(now, renewals_only, &vm.late_orders));
    }
    // Orders are usually sent at once, but the VM may be suspended first.
    if simulation.rng.u8(..20) > 0 {
        send_pending(simulation, index, now);
    }
}

fn send_pending(simulation: &mut Simulation, index: usize, now: Timestamp) {
    for order in std::mem::take(&mut simulation.vms[index].pending) {
        let authority = simulation.vms[index].mandate.authority(now);
        let is_stale = now.since(order.decided_at) > MAX_ORDER_AGE;
        let outcome = match authority == MandateAuthority::None || is_stale {
            true => Some(OrderOutcome::NotSent),
            false => simulation.send_order(index, &order),
        };
        if let Some(outcome) = outcome {
            simulation.vms[index].apply_outcome(&order, outcome, now);
        }
    }
}

fn step_mandate(simulation: &mut Simulation, index: usize, now: Timestamp) {
    if simulation.now < simulation.vms[index].mandate_due {
        return;
    }
    let held = simulation.vms[index].mandate.is_held();
    let interval = if held { MANDATE_RENEWAL_INTERVAL } else { MANDATE_POLL_INTERVAL };
    let jitter = simulation.rng.u64(0..100);
    simulation.vms[index].mandate_due = simulation.now + interval.as_millis() as u64 + jitter;
    if !held || simulation.vms[index].mandate.is_outdated() {
        if simulation.call_store(index).is_err() {
            simulation.vms[index].mandate.observe_store_failure(now);
            return;
        }
        let read = simulation.store.mandate.clone();
        let era = simulation.store.era;
        simulation.vms[index].mandate.observe_store_response(now);
        simulation.vms[index].mandate.observe_era(era, now);
        if simulation.vms[index].mandate.apply_read(read, now) {
            simulation.vms[index].controller = None;
        }
    }
    let Some(write) = simulation.vms[index].mandate.due_write(now) else { return };
    let response = simulation.call_write_mandate(index, write.expected, &write.record);
    let revision = response.unwrap_or(None);
    let taken = simulation.vms[index].mandate.apply_write(&write, revision, now, now);
    if taken {
        if std::env::var_os("TRACE").is_some() {
            let predecessors = simulation.vms[index].mandate.predecessors();
            eprintln!("{} vm {index} takes the mandate after {predecessors:?}", simulation.now);
        }
        simulation.vms[index].controller = None;
    }
    if revision.is_none() && simulation.call_store(index).is_ok() {
        let (read, era) = (simulation.store.mandate.clone(), simulation.store.era);
        simulation.vms[index].mandate.observe_era(era, now);
        if simulation.vms[index].mandate.apply_read(read, now) {
            simulation.vms[index].controller = None;
        }
    }
}

/// Creates the controller if necessary, feeds it and writes its map; requires full authority.
fn update_map(simulation: &mut Simulation, index: usize, now: Timestamp) {
    if simulation.vms[index].controller.is_none() {
        if simulation.call_store(index).is_err() {
            return;
        }
        let stored = simulation.store.map.clone();
        let era = simulation.store.era;
        let writer = simulation.rng.u64(1..);
        let vm = &mut simulation.vms[index];
        vm.map_revision = stored.as_ref().map(|stored| stored.revision);
        let map = InheritedMap::newest(stored, vm.known_map.clone(), era);
        vm.read_back_at = None;
        let predecessors = vm.mandate.take_predecessors();
        let late_orders = &mut vm.late_orders;
        let controller =
            RangeController::inherit(settings(), predecessors, map, writer, late_orders, now);
        vm.controller = Some(controller);
    }
    let (era, rival_until) =
        (simulation.vms[index].mandate.era(), simulation.vms[index].mandate.rival_until());
    if let Some(controller) = &mut simulation.vms[index].controller {
        controller.enter_era(era, rival_until);
    }
    let candidates = simulation.listed();
    let proposal = random_move(simulation, &candidates);
    let pick = candidates.get(simulation.rng.usize(..candidates.len().max(1))).cloned();
    let vm = &mut simulation.vms[index];
    let Some(controller) = &mut vm.controller else { return };
    controller.set_candidates(SERVICE, &candidates, |_, _, _| {
        pick.clone().map(|candidate| candidate.target)
    });
    if let Some(proposal) = proposal {
        controller.start_moves(SERVICE, &[proposal]);
        controller.merge();
    }
    write_map(simulation, index);
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

fn write_map(simulation: &mut Simulation, index: usize) {
    if let Some(at) = simulation.vms[index].read_back_at {
        if simulation.now >= at && simulation.call_store(index).is_ok() {
            simulation.vms[index].read_back_at = None;
            read_map_back(simulation, index);
        }
        return;
    }
    let vm = &mut simulation.vms[index];
    let Some((map, edit)) = vm.controller.as_mut().and_then(RangeController::take_write) else {
        return;
    };
    let expected = vm.map_revision;
    match simulation.call_write_map(index, expected, &map) {
        Ok(Some(revision)) => {
            let vm = &mut simulation.vms[index];
            vm.map_revision = Some(revision);
            if let Some(controller) = &mut vm.controller {
                controller.confirm_write(edit);
            }
            simulation.publish_map(index, &Stored { revision, value: map });
        }
        Ok(None) | Err(()) => simulation.vms[index].read_back_at = Some(simulation.now + 150),
    }
}

/// Determines the outcome of a write without a positive response.
fn read_map_back(simulation: &mut Simulation, index: usize) {
    let (stored, era) = (simulation.store.map.clone(), simulation.store.era);
    let vm = &mut simulation.vms[index];
    let Some(controller) = &mut vm.controller else { return };
    match classify_write(stored.as_ref(), era, controller.map().writer, vm.map_revision) {
        WriteOutcome::Written { revision, edit } => {
            vm.map_revision = Some(revision);
            controller.confirm_write(edit);
            if let Some(stored) = stored {
                simulation.publish_map(index, &stored);
            }
        }
        WriteOutcome::Superseded => vm.controller = None,
        WriteOutcome::NotWritten(expected) => {
            vm.map_revision = expected;
            controller.abort_write();
        }
    }
}
