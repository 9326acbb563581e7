//! What to expect of one target at one moment.

use crate::duration_model::SlownessOutlook;

/// Multiple of its expected duration after which a running request shows that its target is slow.
const OVERDUE_RATIO: f64 = 2.0;

/// Room at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetRoom {
    /// A slot is free.
    Free,
    /// All slots are in use, but one more request may be sent.
    Extra,
    /// No request may be sent.
    Full,
}

/// What to expect of a target for any request. Computed once, as many requests are compared with it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetOutlook {
    /// Room now.
    pub(crate) room: TargetRoom,
    /// Whether it is left out for its failures.
    pub(crate) is_ejected: bool,
    /// Requests that it runs concurrently.
    pub(crate) slots: u32,
    /// Time until a slot is free, as far as the running requests are known.
    pub(crate) wait_ms: f64,
    /// The rest of that time, in durations of the request that waits.
    pub(crate) wait_durations: f64,
    /// Learned ratio between durations here and the usual ones.
    pub(crate) factor: f64,
    /// Reported slowness.
    pub(crate) slowness: SlownessOutlook,
    /// Highest ratio between the age and the expected duration of a running request.
    pub(crate) overdue_ratio: f64,
    /// Increase of the cost by failures.
    pub(crate) failure_factor: f64,
}

/// Expected times of one request at one target, from now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetEstimate {
    /// Room at the target.
    pub(crate) room: TargetRoom,
    /// Time until a slot is free for it.
    pub(crate) wait_ms: f64,
    /// Duration of the request in its slot.
    pub(crate) duration_ms: f64,
    /// Time until its end with a penalty for failures, to compare targets.
    pub(crate) cost: f64,
}

impl TargetOutlook {
    /// Estimates a request whose usual duration is `usual_ms`.
    pub(crate) fn estimate(&self, usual_ms: f64) -> TargetEstimate {
        let duration_ms = self.duration_ms(usual_ms);
        let wait_ms = self.wait_ms + self.wait_durations * duration_ms;
        let cost = wait_ms + duration_ms * self.failure_factor;
        TargetEstimate { room: self.room, wait_ms, duration_ms, cost }
    }

    fn duration_ms(&self, usual_ms: f64) -> f64 {
        let work_ms = usual_ms * self.factor;
        let reported_ms = self.slowness.expected_ms(work_ms);
        if self.overdue_ratio > OVERDUE_RATIO {
            reported_ms.max(work_ms * self.overdue_ratio)
        } else {
            reported_ms
        }
    }
}
