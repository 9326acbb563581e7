//! The limits that targets name, as all VMs report them.

use std::collections::BTreeMap;
use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_limit::sustainable_rate;
use nickellead_range::TargetInstance;
use nickellead_time::BootClock;

use super::ControlLoop;
use super::loads::LOAD_WINDOW_S;
use crate::admission::InstanceLimit;
use crate::load_counter::LimitCounts;
use crate::{OrderPort, StorePort};

/// A limit is over when answers have named none for this long: by then all reports of answers that named it have
/// come, by way of one other VM at most.
const LIMIT_END_DELAY: Duration = Duration::from_millis(1_200);

/// For so long an owner that names no limit any more is given no keys that it could not serve under it: a limit
/// that is kept often ends the need, and keys that came back would bring it on again.
const MIN_RELIEF_PERIOD: Duration = Duration::from_secs(15);
/// Each time that the need comes back the relief lasts twice as long, up to this.
const MAX_RELIEF_PERIOD: Duration = Duration::from_secs(240);
/// An owner that has named no limit for this long after its relief counts as one that never did.
const LIMIT_FORGET_DELAY: Duration = Duration::from_secs(60);

/// A limit that one life of a target named to any VM.
#[derive(Clone, Copy)]
pub(super) struct ReportedTargetLimit {
    /// Requests a second from all VMs together.
    rate: f64,
    /// When a VM last reported it.
    reported_at: Timestamp,
    /// Since when it is over.
    ended_at: Option<Timestamp>,
    /// How often it was over.
    end_count: u32,
}

impl ReportedTargetLimit {
    /// Takes in what answers said since the last look.
    fn update(&mut self, counts: LimitCounts, now: Timestamp) {
        if let Some(rate) = counts.min_limit {
            (self.rate, self.reported_at, self.ended_at) = (rate, now, None);
        } else if self.ended_at.is_none() && now.since(self.reported_at) >= LIMIT_END_DELAY {
            self.ended_at = Some(now);
            self.end_count = self.end_count.saturating_add(1);
        }
    }

    /// How long its relief lasts after the limit.
    fn relief_period(&self) -> Duration {
        let period =
            MIN_RELIEF_PERIOD * 2_u32.saturating_pow(self.end_count.saturating_sub(1).min(8));
        period.min(MAX_RELIEF_PERIOD)
    }

    /// Whether the owner is given no more keys than it can serve under the limit.
    fn is_relieved(&self, now: Timestamp) -> bool {
        self.ended_at.is_none_or(|ended_at| now.since(ended_at) < self.relief_period())
    }

    /// Whether it means nothing any more.
    fn is_forgotten(&self, now: Timestamp) -> bool {
        self.ended_at.is_some_and(|ended_at| {
            now.since(ended_at) >= self.relief_period() + LIMIT_FORGET_DELAY
        })
    }
}

impl<S: StorePort, O: OrderPort> ControlLoop<S, O> {
    /// Takes in what targets said of limits since the last look.
    pub(super) fn record_limits(&self, counts: BTreeMap<TargetInstance, LimitCounts>) {
        let now = BootClock.now();
        let mut limits = self.limits.borrow_mut();
        for (instance, new) in counts {
            match (limits.get_mut(&instance), new.min_limit) {
                (Some(known), _) => known.update(new, now),
                (None, Some(rate)) => {
                    limits.insert(
                        instance,
                        ReportedTargetLimit {
                            rate,
                            reported_at: now,
                            ended_at: None,
                            end_count: 0,
                        },
                    );
                }
                (None, None) => {}
            }
        }
        limits
            .retain(|instance, limit| self.cluster.is_listed(instance) && !limit.is_forgotten(now));
    }

    /// The limits that targets name, to be told.
    pub(super) fn active_limits(&self) -> BTreeMap<String, InstanceLimit> {
        let limits = self.limits.borrow();
        let named = limits.iter().filter(|(_, limit)| limit.ended_at.is_none());
        let limits = named.map(|(instance, limit)| {
            (instance.id.clone(), InstanceLimit { born: instance.born, rate: limit.rate })
        });
        limits.collect()
    }

    /// The load that an owner bears which names a limit, or did a while ago: what callers may ask for and be
    /// served.
    pub(super) fn max_load(&self, owner: &TargetInstance) -> Option<f64> {
        if !self.policy.limit_moves.is_on() {
            return None;
        }
        let now = BootClock.now();
        let limits = self.limits.borrow();
        let limit = limits.get(owner).filter(|limit| limit.is_relieved(now));
        limit.map(|limit| sustainable_rate(limit.rate, self.count_vms()) * LOAD_WINDOW_S)
    }
}
