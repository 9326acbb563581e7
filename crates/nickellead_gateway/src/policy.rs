//! Switches for individual mechanisms, so that the effect of each can be measured.

use serde::{Deserialize, Serialize};

/// Whether a mechanism is used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicySwitch {
    /// The mechanism is used.
    #[default]
    On,
    /// The mechanism is not used.
    Off,
}

impl PolicySwitch {
    /// Returns `true` for [`Self::On`].
    #[must_use]
    pub const fn is_on(self) -> bool {
        matches!(self, Self::On)
    }
}

/// Mechanisms of request routing and placement, all of which are on by default.
///
/// None of them is needed for safety: leases and fences can't be switched off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// Targets with many failures are ejected for a while.
    pub ejection: PolicySwitch,
    /// Each VM sends requests to a subset of a large service's targets.
    pub subsets: PolicySwitch,
    /// Targets in the VM's own availability zone are preferred.
    pub near_preference: PolicySwitch,
    /// Targets that have just started are avoided.
    pub cold_avoidance: PolicySwitch,
    /// Concurrency limits adapt to latency as well as to losses.
    pub answer_time_limit: PolicySwitch,
    /// Requests are queued only if their response is expected within the latency target.
    pub turn_prediction: PolicySwitch,
    /// The latency target counts from the caller's first attempt.
    pub caller_age: PolicySwitch,
    /// Failed requests are retried at another target.
    pub retries: PolicySwitch,
    /// Refused callers get a retry delay that still allows a response within the latency target.
    pub come_back_time: PolicySwitch,
    /// Requests for a key that will not have an owner in time are refused at once.
    pub ownerless_refusal: PolicySwitch,
    /// Requests for a key that is moving between owners wait for the new owner.
    pub move_wait: PolicySwitch,
    /// Ranges are moved away from owners that request a pause.
    pub pause_moves: PolicySwitch,
    /// Ranges are moved away from owners whose rate limit is below their load.
    pub limit_moves: PolicySwitch,
    /// Ranges are moved to targets with less load.
    pub load_moves: PolicySwitch,
    /// The holder of the mandate (leader lease) limits the requests of all VMs to an overloaded
    /// owner.
    pub shared_admission: PolicySwitch,
    /// Owners are weighted by their measured latency.
    pub measured_speeds: PolicySwitch,
    /// A VM that reaches no target has its requests served by other VMs.
    pub assistance: PolicySwitch,
    /// Requests that made several targets fall are refused.
    pub quarantine: PolicySwitch,
    /// One VM decides for the targets of a group, where settings and declarations call for it.
    pub dispatch: PolicySwitch,
}
