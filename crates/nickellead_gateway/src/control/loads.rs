//! Load by key, and the moves that spread it.

use nickellead_event::{EventName, log_event};
use nickellead_range::{MoveProposal, plan_moves};

use super::ControlDuty;
use crate::{OrderPort, StorePort};

/// What is left of counted requests after one such period: about the last three seconds count.
const LOAD_KEPT: f64 = 0.83;
/// Seconds that counted requests stand for: a period of half a second, and [`LOAD_KEPT`] as much of each before.
pub(super) const LOAD_LENGTH: f64 = 0.5 / (1.0 - LOAD_KEPT);
/// The same for what counts as recent.
const RECENT_KEPT: f64 = 0.5;
/// Seconds that recent counts stand for: a period of half a second, and half as much of each before.
pub(super) const RECENT_LENGTH: f64 = 1.0;
/// Moves under way that are always allowed; each stalls its keys for about the length of a request.
const MOVES_LEAST: usize = 4;
/// One more move may be under way for this many targets.
const TARGETS_A_MOVE: usize = 8;

impl<S: StorePort, O: OrderPort> ControlDuty<S, O> {
    /// Takes in what callers asked for since the last look.
    pub(super) fn note_load(&self) {
        let mut loads = self.loads.borrow_mut();
        let mut recent = self.recent_loads.borrow_mut();
        loads.values_mut().for_each(|load| load.decay(LOAD_KEPT));
        recent.values_mut().for_each(|load| load.decay(RECENT_KEPT));
        if self.relay.reports_load() {
            return;
        }
        let counts = self.keys.take();
        for (service, counts) in counts.keys {
            let recent = recent.entry(service.clone()).or_default();
            let load = loads.entry(service).or_default();
            for (key, count) in counts {
                load.record(key, count);
                recent.record(key, count);
            }
        }
        drop((loads, recent));
        self.note_reporters(counts.vms);
        self.note_answers(counts.responses);
        self.note_limits(counts.limits);
    }

    /// Starts moves that spread the load better.
    pub(super) fn balance(&self) {
        if !self.policy.load_moves.is_on() {
            return;
        }
        let candidates = self.candidates();
        let loads = self.loads.borrow();
        let mut keeper = self.keeper.borrow_mut();
        let Some(keeper) = keeper.as_mut() else { return };
        for (service, candidates) in candidates {
            let (Some(ranges), Some(load)) =
                (keeper.map().services.get(&service), loads.get(&service))
            else {
                continue;
            };
            let unsettled = ranges.iter().filter(|range| !range.settled).count();
            let most = MOVES_LEAST.max(candidates.len() / TARGETS_A_MOVE);
            if unsettled >= most {
                continue;
            }
            let moves = plan_moves(ranges, &candidates, load, most - unsettled);
            moves.iter().for_each(|proposal| log_move(&service, proposal));
            keeper.start_moves(&service, &moves);
        }
        keeper.merge();
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
