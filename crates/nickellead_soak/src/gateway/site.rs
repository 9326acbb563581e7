//! The deployment that a round starts: one of 85 VMs in four availability zones, or a smaller one of
//! the same proportions.

use std::time::Duration;

use nickellead_adapter_standin::{
    BudgetRule, CallerLoad, DeclaredRoute, DeclaredService, TargetPlan,
};

/// VMs for which the numbers below hold.
const FULL_VMS: f64 = 85.0;
/// Availability zones.
const ZONES: usize = 4;
/// One of so many VMs has half of a core, the others a tenth.
const VMS_PER_LARGE_VM: usize = 10;
/// One of so many VMs is reached through a link.
const VMS_PER_LINK: usize = 3;
/// Allowed repeats as a fraction of the requests, and beyond it.
const RETRY_RATIO: f64 = 0.2;
const RETRY_EXTRA: f64 = 210.0;

/// The services of the full site, with the number of their targets.
const SERVICES: [(DeclaredService, usize); 3] = [
    (DeclaredService { name: "status", sharded: false, connections: 570 }, 114),
    (DeclaredService { name: "placement", sharded: false, connections: 570 }, 64),
    (DeclaredService { name: "registry", sharded: true, connections: 570 }, 199),
];

/// The routes of the full site, with their requests per second.
const ROUTES: [(DeclaredRoute, f64); 5] = [
    (route("lookup", 0, true, 0, [190, 500, 1_500], true), 1_150.0),
    (route("accept", 1, false, 1, [250, 1_000, 2_500], false), 499.0),
    (route("pull", 2, true, 1, [480, 1_200, 3_000], false), 391.0),
    (route("claim", 2, false, 1, [120, 500, 1_500], true), 260.0),
    (route("report", 2, true, 2, [770, 4_000, 5_000], true), 260.0),
];

/// A route with its work, latency target and deadline in milliseconds.
const fn route(
    name: &'static str,
    service: usize,
    safe: bool,
    priority: u8,
    [work, target, deadline]: [u64; 3],
    keeps_connections: bool,
) -> DeclaredRoute {
    DeclaredRoute {
        name,
        service,
        safe,
        attempts: GatewaySite::ATTEMPTS,
        priority,
        work: Duration::from_millis(work),
        latency_target: Duration::from_millis(target),
        deadline: Duration::from_millis(deadline),
        keeps_connections,
    }
}

/// Number of VMs, and everything that follows from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatewaySite {
    /// Number of VMs.
    pub vms: usize,
    /// Requests per second, as a fraction of the full site's for this number of VMs.
    pub load: f64,
}

impl GatewaySite {
    /// Most targets that one request may be sent to, on each route.
    pub(super) const ATTEMPTS: u32 = 3;

    fn scale(self) -> f64 {
        self.vms as f64 / FULL_VMS
    }

    /// Names of the availability zones.
    pub(super) fn zones(self) -> Vec<String> {
        (0..ZONES).map(|number| format!("zone-{number}")).collect()
    }

    /// Index of the zone of a VM.
    pub(super) fn zone_of(self, vm: usize) -> usize {
        vm % ZONES
    }

    /// Whether a VM has half of a core instead of a tenth.
    #[must_use]
    pub fn is_large(self, vm: usize) -> bool {
        // The first one of each zone is followed by the next after ten more.
        (vm / ZONES).is_multiple_of(VMS_PER_LARGE_VM)
    }

    /// The VMs that others reach through links with faults. Links of all VMs would need more descriptors
    /// than a process may have.
    pub(super) fn linked_vms(self) -> impl Iterator<Item = usize> {
        (0..self.vms).step_by(VMS_PER_LINK)
    }

    pub(super) fn services(self) -> Vec<DeclaredService> {
        SERVICES.map(|(service, _)| service).to_vec()
    }

    pub(super) fn routes(self) -> Vec<DeclaredRoute> {
        ROUTES.map(|(route, _)| route).to_vec()
    }

    pub(super) fn targets(self) -> Vec<TargetPlan> {
        let plan = |(service, (_, count)): (usize, (DeclaredService, usize))| TargetPlan {
            service,
            count: ((count as f64 * self.scale()).ceil() as usize).max(ZONES),
        };
        SERVICES.into_iter().enumerate().map(plan).collect()
    }

    pub(super) fn loads(self) -> Vec<CallerLoad> {
        let load = |(route, (_, rate)): (usize, (DeclaredRoute, f64))| CallerLoad {
            route,
            rate: rate * self.scale() * self.load,
        };
        ROUTES.into_iter().enumerate().map(load).collect()
    }

    /// What the VMs are allowed to repeat.
    #[must_use]
    pub fn budget(self) -> BudgetRule {
        BudgetRule { ratio: RETRY_RATIO, extra: RETRY_EXTRA * self.scale() }
    }
}
