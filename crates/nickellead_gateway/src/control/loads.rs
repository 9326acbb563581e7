//! Load by key, and the moves that spread it.

use nickellead_event::{EventName, log_event};
use nickellead_range::{MoveProposal, plan_moves};

use super::ControlLoop;
use crate::{OrderPort, StorePort};

/// What is left of counted requests after one such period: about the last three seconds count.
const LOAD_DECAY: f64 = 0.83;
/// Seconds that counted requests stand for: a period of half a second, and [`LOAD_DECAY`] as much of each before.
pub(super) const LOAD_WINDOW_S: f64 = 0.5 / (1.0 - LOAD_DECAY);
/// The same for what counts as recent.
const RECENT_LOAD_DECAY: f64 = 0.5;
/// Seconds that recent counts stand for: a period of half a second, and half as much of each before.
pub(super) const RECENT_LOAD_WINDOW_S: f64 = 1.0;
/// Moves under way that are always allowed; each stalls its keys for about the length of a request.
const MIN_CONCURRENT_MOVES: usize = 4;
/// One more move may be under way for this many targets.
const TARGETS_PER_MOVE: usize = 8;

impl<S: StorePort, O: OrderPort> ControlLoop<S, O> {
    /// Takes in what callers asked for since the last look.
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

    /// Starts moves that spread the load better.
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
