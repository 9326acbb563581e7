//! The limits that targets name, as all VMs report them.

use std::collections::BTreeMap;
use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_limit::kept_rate;
use nickellead_range::HolderRecord;
use nickellead_time::BootClock;

use super::ControlDuty;
use super::loads::LOAD_LENGTH;
use crate::admission::LifeLimit;
use crate::load_count::LimitCounts;
use crate::{OrderPort, StorePort};

/// A limit is over when answers have named none for this long: by then all reports of answers that named it have
/// come, by way of one other VM at most.
const LIMIT_SETTLES: Duration = Duration::from_millis(1_200);

/// A limit that one life of a target named to any VM.
#[derive(Clone, Copy)]
pub(super) struct HeardLimit {
    /// Requests a second from all VMs together.
    rate: f64,
    /// When a VM last reported it.
    heard: Timestamp,
}

impl<S: StorePort, O: OrderPort> ControlDuty<S, O> {
    /// Takes in what targets said of limits since the last look.
    pub(super) fn note_limits(&self, counts: BTreeMap<HolderRecord, LimitCounts>) {
        let now = BootClock.now();
        let mut limits = self.limits.borrow_mut();
        for (life, new) in counts {
            if let Some(rate) = new.least {
                limits.insert(life, HeardLimit { rate, heard: now });
            } else if limits.get(&life).is_some_and(|known| now.since(known.heard) >= LIMIT_SETTLES)
            {
                limits.remove(&life);
            }
        }
        limits.retain(|life, _| self.book.lists(life));
    }

    /// The limits that targets name, to be told.
    pub(super) fn named_limits(&self) -> BTreeMap<String, LifeLimit> {
        let limits = self.limits.borrow();
        let told = limits.iter().map(|(life, limit)| {
            (life.id.clone(), LifeLimit { born: life.born, rate: limit.rate })
        });
        told.collect()
    }

    /// The load that an owner bears which names a limit: what callers may ask for and be served.
    pub(super) fn borne_load(&self, owner: &HolderRecord) -> Option<f64> {
        if !self.policy.limit_moves.is_on() {
            return None;
        }
        // This VM does not report to itself.
        let vms = self.reporters.borrow().len() + 1;
        let limits = self.limits.borrow();
        limits.get(owner).map(|limit| kept_rate(limit.rate, vms) * LOAD_LENGTH)
    }
}
