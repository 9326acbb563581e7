//! When the faults of a round disturbed VMs.

use std::time::Duration;

use super::schedule::GatewayFault;

/// Time after a disturbance from which a VM is in touch again.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// A time in which a fault disturbed VMs.
struct DisturbedPeriod {
    /// `None` for all VMs.
    vms: Option<Vec<usize>>,
    start: Duration,
    end: Duration,
}

/// The disturbances of a round. That a small VM has little processor time is none.
#[derive(Default)]
pub(super) struct VmDisturbances {
    periods: Vec<DisturbedPeriod>,
}

impl VmDisturbances {
    /// Records that a fault lasted from `start` to `end`.
    pub(super) fn record(&mut self, fault: &GatewayFault, start: Duration, end: Duration) {
        let vms = match fault {
            GatewayFault::Kill(vms)
            | GatewayFault::Restart(vms)
            | GatewayFault::Pause(vms)
            | GatewayFault::Links(vms, _) => Some(vms.clone()),
            GatewayFault::Store(_) => None,
            GatewayFault::Reload(_)
            | GatewayFault::Targets(..)
            | GatewayFault::Replace(_)
            | GatewayFault::Load(_) => return,
        };
        self.periods.push(DisturbedPeriod { vms, start, end });
    }

    /// Whether nothing has disturbed a VM for long enough at this time.
    pub(super) fn is_in_touch(&self, vm: usize, at: Duration) -> bool {
        let concerns = |period: &DisturbedPeriod| {
            let lasts = (period.start..period.end + CONTACT_TIME).contains(&at);
            lasts && period.vms.as_ref().is_none_or(|vms| vms.contains(&vm))
        };
        !self.periods.iter().any(concerns)
    }
}
