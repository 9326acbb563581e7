//! The limits that targets name, as all VMs report them.

use std::collections::BTreeMap;
use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_limit::sustainable_rate;
use nickellead_range::TargetInstance;
use nickellead_time::BootClock;

use super::ControlLoop;
use super::loads::LOAD_LENGTH;
use crate::admission::InstanceLimit;
use crate::load_counter::LimitCounts;
use crate::{OrderPort, StorePort};

/// A limit is over when answers have named none for this long: by then all reports of answers that named it have
/// come, by way of one other VM at most.
const LIMIT_SETTLES: Duration = Duration::from_millis(1_200);

/// For so long an owner that names no limit any more is given no keys that it could not serve under it: a limit
/// that is kept often ends the need, and keys that came back would bring it on again.
const RELIEF_FIRST: Duration = Duration::from_secs(15);
/// Each time that the need comes back the relief lasts twice as long, up to this.
const RELIEF_MOST: Duration = Duration::from_secs(240);
/// An owner that has named no limit for this long after its relief counts as one that never did.
const CALM_TIME: Duration = Duration::from_secs(60);

/// A limit that one life of a target named to any VM.
#[derive(Clone, Copy)]
pub(super) struct ReportedTargetLimit {
    /// Requests a second from all VMs together.
    rate: f64,
    /// When a VM last reported it.
    heard: Timestamp,
    /// Since when it is over.
    over: Option<Timestamp>,
    /// How often it was over.
    ends: u32,
}

impl ReportedTargetLimit {
    /// Takes in what answers said since the last look.
    fn note(&mut self, counts: LimitCounts, now: Timestamp) {
        if let Some(rate) = counts.min_limit {
            (self.rate, self.heard, self.over) = (rate, now, None);
        } else if self.over.is_none() && now.since(self.heard) >= LIMIT_SETTLES {
            self.over = Some(now);
            self.ends = self.ends.saturating_add(1);
        }
    }

    /// How long its relief lasts after the limit.
    fn relief(&self) -> Duration {
        let doubled = RELIEF_FIRST * 2_u32.saturating_pow(self.ends.saturating_sub(1).min(8));
        doubled.min(RELIEF_MOST)
    }

    /// Whether the owner is given no more keys than it can serve under the limit.
    fn relieves(&self, now: Timestamp) -> bool {
        self.over.is_none_or(|over| now.since(over) < self.relief())
    }

    /// Whether it means nothing any more.
    fn is_forgotten(&self, now: Timestamp) -> bool {
        self.over.is_some_and(|over| now.since(over) >= self.relief() + CALM_TIME)
    }
}

impl<S: StorePort, O: OrderPort> ControlLoop<S, O> {
    /// Takes in what targets said of limits since the last look.
    pub(super) fn note_limits(&self, counts: BTreeMap<TargetInstance, LimitCounts>) {
        let now = BootClock.now();
        let mut limits = self.limits.borrow_mut();
        for (life, new) in counts {
            match (limits.get_mut(&life), new.min_limit) {
                (Some(known), _) => known.note(new, now),
                (None, Some(rate)) => {
                    limits.insert(
                        life,
                        ReportedTargetLimit { rate, heard: now, over: None, ends: 0 },
                    );
                }
                (None, None) => {}
            }
        }
        limits.retain(|life, limit| self.cluster.is_listed(life) && !limit.is_forgotten(now));
    }

    /// The limits that targets name, to be told.
    pub(super) fn named_limits(&self) -> BTreeMap<String, InstanceLimit> {
        let limits = self.limits.borrow();
        let named = limits.iter().filter(|(_, limit)| limit.over.is_none());
        let told = named.map(|(life, limit)| {
            (life.id.clone(), InstanceLimit { born: life.born, rate: limit.rate })
        });
        told.collect()
    }

    /// The load that an owner bears which names a limit, or did a while ago: what callers may ask for and be
    /// served.
    pub(super) fn borne_load(&self, owner: &TargetInstance) -> Option<f64> {
        if !self.policy.limit_moves.is_on() {
            return None;
        }
        let now = BootClock.now();
        let limits = self.limits.borrow();
        let limit = limits.get(owner).filter(|limit| limit.relieves(now));
        limit.map(|limit| sustainable_rate(limit.rate, self.count_vms()) * LOAD_LENGTH)
    }
}
