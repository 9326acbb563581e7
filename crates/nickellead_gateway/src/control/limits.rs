//! The limits that targets report to any VM.

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

/// A limit has ended when no response has named one for this long. All reports of earlier responses
/// arrive within this time, also those that pass another VM.
const LIMIT_END_DELAY: Duration = Duration::from_millis(1_200);

/// After its limit has ended, an owner gets for this long no keys that it could not serve under the
/// limit. The limit often ends because of the reduced load, and the keys would bring it back.
const MIN_RELIEF_PERIOD: Duration = Duration::from_secs(15);
/// The relief period doubles each time the limit returns, up to this.
const MAX_RELIEF_PERIOD: Duration = Duration::from_secs(240);
/// How long after its relief period an ended limit is forgotten.
const LIMIT_FORGET_DELAY: Duration = Duration::from_secs(60);

/// The limit of one instance of a target.
#[derive(Clone, Copy)]
pub(super) struct ReportedTargetLimit {
    /// Requests per second from all VMs together.
    rate: f64,
    /// When a VM last reported it.
    reported_at: Timestamp,
    /// When it ended, if it has.
    ended_at: Option<Timestamp>,
    /// Number of times that it has ended.
    end_count: u32,
}

impl ReportedTargetLimit {
    /// Applies the counts of responses since the last check.
    fn update(&mut self, counts: LimitCounts, now: Timestamp) {
        if let Some(rate) = counts.min_limit {
            (self.rate, self.reported_at, self.ended_at) = (rate, now, None);
        } else if self.ended_at.is_none() && now.since(self.reported_at) >= LIMIT_END_DELAY {
            self.ended_at = Some(now);
            self.end_count = self.end_count.saturating_add(1);
        }
    }

    /// The relief period after the limit has ended.
    fn relief_period(&self) -> Duration {
        let period =
            MIN_RELIEF_PERIOD * 2_u32.saturating_pow(self.end_count.saturating_sub(1).min(8));
        period.min(MAX_RELIEF_PERIOD)
    }

    /// Whether the owner gets no more keys than it can serve under the limit.
    fn is_relieved(&self, now: Timestamp) -> bool {
        self.ended_at.is_none_or(|ended_at| now.since(ended_at) < self.relief_period())
    }

    /// Whether the limit no longer has any effect.
    fn is_forgotten(&self, now: Timestamp) -> bool {
        self.ended_at.is_some_and(|ended_at| {
            now.since(ended_at) >= self.relief_period() + LIMIT_FORGET_DELAY
        })
    }
}

impl<S: StorePort, O: OrderPort> ControlLoop<S, O> {
    /// Records the limits that targets reported since the last check.
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

    /// The limits to announce, by target.
    pub(super) fn active_limits(&self) -> BTreeMap<String, InstanceLimit> {
        let limits = self.limits.borrow();
        let named = limits.iter().filter(|(_, limit)| limit.ended_at.is_none());
        let limits = named.map(|(instance, limit)| {
            (instance.id.clone(), InstanceLimit { born: instance.born, rate: limit.rate })
        });
        limits.collect()
    }

    /// The maximum load of an owner that reports a limit or is in its relief period, counted over
    /// [`LOAD_WINDOW_S`].
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
