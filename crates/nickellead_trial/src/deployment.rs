//! Both trades' parts, as threads of this process on loopback sockets.

use std::net::{SocketAddr, TcpListener};

use nickellead_api::{ObjectKind, ServiceSpec, TargetSpec, TargetState};
use nickellead_core::{Name, Version};
use nickellead_platform::{CallCounter, ListedVm, PlatformClient, PlatformError, VmState};
use nickellead_run::{
    LeaseSettings, LimitSettings, NodeHandle, NodeSettings, PeerSettings, start_node,
};
use nickellead_standin::{
    PlatformSettings, SharedState, StandinPlatform, StandinTarget, TargetSettings,
};
use serde_json::json;

use crate::trades::{SERVICES, TradeService};
use crate::trial::TrialError;

/// Availability zones of the trial.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Entry VMs of the trial.
const VMS: usize = 9;
/// How long a request runs at a target, in microseconds.
const SERVICE_US: u64 = 1_000;
/// Requests that may wait at a target.
const TARGET_QUEUE: u16 = 256;

/// One target of the trial.
pub(crate) struct TrialTarget {
    pub(crate) name: Name,
    pub(crate) spec: TargetSpec,
    /// `None` once it was lost.
    pub(crate) running: Option<StandinTarget>,
}

/// Everything that runs.
pub(crate) struct TrialDeployment {
    pub(crate) platform: StandinPlatform,
    pub(crate) platform_address: SocketAddr,
    pub(crate) vms: Vec<NodeHandle>,
    pub(crate) callers: Vec<SocketAddr>,
    pub(crate) targets: Vec<TrialTarget>,
    pub(crate) shared: SharedState,
}

/// Gives out loopback addresses that nobody listens on.
struct AddressBook {
    next: u16,
}

impl AddressBook {
    fn take(&mut self) -> SocketAddr {
        loop {
            self.next = if self.next >= 30_000 { 10_000 } else { self.next + 1 };
            let address = SocketAddr::from(([127, 0, 0, 1], self.next));
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    }
}

pub(crate) fn name(text: &str) -> Result<Name, TrialError> {
    Name::new(text).map_err(|error| TrialError::Start(format!("name {text:?} {error}")))
}

impl TrialDeployment {
    /// Starts platform, targets and VMs; nothing is declared yet.
    pub(crate) fn start() -> Result<Self, TrialError> {
        let first = 10_000 + (std::process::id().wrapping_mul(101) % 20_000) as u16;
        let mut book = AddressBook { next: first };
        let listed = list_vms(&mut book)?;
        let platform_address = book.take();
        let settings = PlatformSettings { address: platform_address, vms: listed.clone() };
        let platform = StandinPlatform::start(settings)?;
        let shared = SharedState::default();
        let targets = start_targets(&mut book, &shared)?;
        let mut vms = Vec::new();
        let mut callers = Vec::new();
        for vm in &listed {
            let settings = vm_settings(vm, &listed, platform_address, &mut book);
            callers.push(settings.callers_address);
            let node =
                start_node(settings).map_err(|error| TrialError::Start(error.to_string()))?;
            vms.push(node);
        }
        Ok(Self { platform, platform_address, vms, callers, targets, shared })
    }

    /// Declares every service and target.
    pub(crate) async fn declare(&self) -> Result<(), TrialError> {
        let client = PlatformClient::new(self.platform_address, CallCounter::default());
        for service in &SERVICES {
            let spec = service_spec(service)?;
            client.put(ObjectKind::Service, &name(service.name)?, Version::ZERO, &spec).await?;
        }
        for target in &self.targets {
            client.put(ObjectKind::Target, &target.name, Version::ZERO, &target.spec).await?;
        }
        Ok(())
    }

    /// Declares that a target is to give its keys away.
    pub(crate) async fn drain(&self, place: usize) -> Result<(), PlatformError> {
        let client = PlatformClient::new(self.platform_address, CallCounter::default());
        let target = &self.targets[place];
        let object = client.get(ObjectKind::Target, &target.name).await?;
        let spec = TargetSpec { state: TargetState::Draining, ..target.spec.clone() };
        client.put(ObjectKind::Target, &target.name, object.version, &spec).await?;
        Ok(())
    }

    /// Shards that the running targets may run requests for now, over all services.
    pub(crate) fn owned_shards(&self) -> usize {
        let running = self.targets.iter().filter_map(|target| target.running.as_ref());
        running.map(|target| target.owned_shards().len()).sum()
    }

    /// Shards of all services.
    pub(crate) const fn shards() -> usize {
        SERVICES.len() * SHARDS as usize
    }

    /// Whether every VM is ready for callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.vms.iter().all(NodeHandle::is_ready)
    }
}

/// Shards of one service.
const SHARDS: u32 = 1_024;

fn list_vms(book: &mut AddressBook) -> Result<Vec<ListedVm>, TrialError> {
    let vm = |number: usize| {
        Ok(ListedVm {
            vm: name(&format!("vm-{number}"))?,
            zone: name(ZONES[number % ZONES.len()])?,
            address: book.take(),
            state: VmState::Live,
        })
    };
    (0..VMS).map(vm).collect()
}

fn vm_settings(
    vm: &ListedVm,
    listed: &[ListedVm],
    platform_address: SocketAddr,
    book: &mut AddressBook,
) -> NodeSettings {
    let peer = |vm: &ListedVm| PeerSettings {
        vm: vm.vm.clone(),
        zone: vm.zone.clone(),
        address: vm.address,
    };
    NodeSettings {
        vm: vm.vm.clone(),
        zone: vm.zone.clone(),
        callers_address: book.take(),
        operators_address: book.take(),
        peers_address: vm.address,
        platform_address,
        peers: listed.iter().map(peer).collect(),
        workers: 1,
        lease: LeaseSettings::default(),
        limits: LimitSettings { vms: VMS as u32, ..LimitSettings::default() },
        stop_limit_ms: 10_000,
        stop_linger_ms: 100,
    }
}

fn start_targets(
    book: &mut AddressBook,
    shared: &SharedState,
) -> Result<Vec<TrialTarget>, TrialError> {
    let mut targets = Vec::new();
    for service in &SERVICES {
        for number in 0..service.targets {
            targets.push(start_target(service, number, book.take(), shared)?);
        }
    }
    Ok(targets)
}

fn start_target(
    service: &TradeService,
    number: u16,
    address: SocketAddr,
    shared: &SharedState,
) -> Result<TrialTarget, TrialError> {
    let target_name = name(&format!("{}-{number}", service.name))?;
    let settings = TargetSettings {
        name: target_name.clone(),
        address,
        slots: service.slots,
        queue_capacity: TARGET_QUEUE,
        service_time_us: SERVICE_US,
    };
    let running = StandinTarget::start(settings, shared.clone())?;
    let spec = TargetSpec {
        service: name(service.name)?,
        zone: name(ZONES[usize::from(number) % ZONES.len()])?,
        address,
        slots: service.slots,
        connections: service.connections,
        state: TargetState::Active,
    };
    Ok(TrialTarget { name: target_name, spec, running: Some(running) })
}

fn service_spec(service: &TradeService) -> Result<ServiceSpec, TrialError> {
    let operation = service.operation;
    let spec = json!({
        "zones": ZONES,
        "shards": SHARDS,
        "key": {"from": "path", "segment": 2},
        "operations": [{
            "name": operation.name,
            "method": operation.method,
            "repeat": if operation.once { "once" } else { "repeatable" },
            "urgency": if operation.urgent { "urgent" } else { "deferrable" },
        }],
    });
    serde_json::from_value(spec).map_err(|error| TrialError::Start(error.to_string()))
}
