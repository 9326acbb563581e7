//! Load by key, and the moves that balance it.

use nickellead_event::{EventName, log_event};
use nickellead_range::{MoveProposal, plan_moves};

use super::ControlLoop;
use crate::{OrderPort, StorePort};

/// Factor by which counted requests decay per
/// [`BALANCE_INTERVAL`](super::ranges::BALANCE_INTERVAL).
const LOAD_DECAY: f64 = 0.83;
/// Length of the window that counted requests represent, in seconds.
pub(super) const LOAD_WINDOW_S: f64 = 0.5 / (1.0 - LOAD_DECAY);
/// Factor by which recent requests decay per interval.
const RECENT_LOAD_DECAY: f64 = 0.5;
/// Length of the window that recent requests represent, in seconds.
pub(super) const RECENT_LOAD_WINDOW_S: f64 = 1.0;
/// Concurrent moves that are always allowed. Each one stalls its keys for about the duration of a
/// request.
const MIN_CONCURRENT_MOVES: usize = 4;
/// Number of targets that allow one more concurrent move.
const TARGETS_PER_MOVE: usize = 8;

impl<S: StorePort, O: OrderPort> ControlLoop<S, O> {
    /// Records the load since the last check.
    pub(super) fn record_load(&self) {
        let mut loads = self.loads.borrow_mut();
        let mut recent = self.recent_loads.borrow_mut();
        loads.values_mut().for_each(|load| load.decay(LOAD_DECAY));
        recent.values_mut().for_each(|load| load.decay(RECENT_LOAD_DECAY));
        if self.relay.reports_load() {
            return;
        }
        let counts = self.load_counter.take();
        for (service, counts) in counts.keys {
            let recent = recent.entry(service.clone()).or_default();
            let load = loads.entry(service).or_default();
            for (key, count) in counts {
                load.record(key, count);
                recent.record(key, count);
            }
        }
        drop((loads, recent));
        self.record_reporters(counts.vms);
        self.record_responses(counts.responses);
        self.record_limits(counts.limits);
    }

    /// Starts moves that balance the load.
    pub(super) fn balance(&self) {
        if !self.policy.load_moves.is_on() {
            return;
        }
        let candidates = self.candidates();
        let loads = self.loads.borrow();
        let mut controller = self.controller.borrow_mut();
        let Some(controller) = controller.as_mut() else { return };
        for (service, candidates) in candidates {
            let (Some(ranges), Some(load)) =
                (controller.map().services.get(&service), loads.get(&service))
            else {
                continue;
            };
            let unsettled = ranges.iter().filter(|range| !range.settled).count();
            let max_moves = MIN_CONCURRENT_MOVES.max(candidates.len() / TARGETS_PER_MOVE);
            if unsettled >= max_moves {
                continue;
            }
            let moves = plan_moves(ranges, &candidates, load, max_moves - unsettled);
            moves.iter().for_each(|proposal| log_move(&service, proposal));
            controller.start_moves(&service, &moves);
        }
        controller.merge();
    }
}

fn log_move(service: &str, proposal: &MoveProposal) {
    let pairs: [(&str, &dyn std::fmt::Display); 4] = [
        ("service", &service),
        ("first", &proposal.first),
        ("last", &proposal.last),
        ("to", &proposal.to.id),
    ];
    log_event(EventName::RangeMoved, &pairs);
}
