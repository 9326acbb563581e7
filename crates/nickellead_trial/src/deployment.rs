//! Platform, VMs and targets of the trial, as threads of this process on loopback sockets.

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

use crate::services::{SERVICES, TrialService};
use crate::trial::TrialError;

/// Availability zones that VMs and targets are spread over.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Number of VMs.
const VM_COUNT: usize = 9;
/// Service time of a request at a target, in microseconds.
const SERVICE_TIME_US: u64 = 1_000;
/// Number of requests that may wait at a target.
const TARGET_QUEUE_CAPACITY: u16 = 256;

/// Declaration of one target and its stand-in.
pub(crate) struct TrialTarget {
    pub(crate) name: Name,
    pub(crate) spec: TargetSpec,
    /// `None` after the target has crashed.
    pub(crate) running: Option<StandinTarget>,
}

/// All running parts of the trial.
pub(crate) struct TrialDeployment {
    pub(crate) platform: StandinPlatform,
    pub(crate) platform_address: SocketAddr,
    pub(crate) vms: Vec<NodeHandle>,
    pub(crate) callers_addresses: Vec<SocketAddr>,
    pub(crate) targets: Vec<TrialTarget>,
    pub(crate) shared: SharedState,
}

/// Allocates unused loopback addresses.
struct AddressAllocator {
    next_port: u16,
}

impl AddressAllocator {
    fn allocate(&mut self) -> SocketAddr {
        loop {
            self.next_port = if self.next_port >= 30_000 { 10_000 } else { self.next_port + 1 };
            let address = SocketAddr::from(([127, 0, 0, 1], self.next_port));
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
    /// Starts platform, targets and VMs without declarations.
    pub(crate) fn start() -> Result<Self, TrialError> {
        let first_port = 10_000 + (std::process::id().wrapping_mul(101) % 20_000) as u16;
        let mut addresses = AddressAllocator { next_port: first_port };
        let listed = list_vms(&mut addresses)?;
        let platform_address = addresses.allocate();
        let settings = PlatformSettings { address: platform_address, vms: listed.clone() };
        let platform = StandinPlatform::start(settings)?;
        let shared = SharedState::default();
        let targets = start_targets(&mut addresses, &shared)?;
        let mut vms = Vec::new();
        let mut callers_addresses = Vec::new();
        for vm in &listed {
            let settings = node_settings(vm, &listed, platform_address, &mut addresses);
            callers_addresses.push(settings.callers_address);
            let node =
                start_node(settings).map_err(|error| TrialError::Start(error.to_string()))?;
            vms.push(node);
        }
        Ok(Self { platform, platform_address, vms, callers_addresses, targets, shared })
    }

    /// Declares all services and targets.
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

    /// Declares a target as draining, so that its keys move to other targets.
    pub(crate) async fn drain(&self, index: usize) -> Result<(), PlatformError> {
        let client = PlatformClient::new(self.platform_address, CallCounter::default());
        let target = &self.targets[index];
        let object = client.get(ObjectKind::Target, &target.name).await?;
        let spec = TargetSpec { state: TargetState::Draining, ..target.spec.clone() };
        client.put(ObjectKind::Target, &target.name, object.version, &spec).await?;
        Ok(())
    }

    /// Number of shards of all services that running targets own now.
    pub(crate) fn owned_shards(&self) -> usize {
        let running = self.targets.iter().filter_map(|target| target.running.as_ref());
        running.map(|target| target.owned_shards().len()).sum()
    }

    /// Number of shards of all services.
    pub(crate) const fn total_shards() -> usize {
        SERVICES.len() * SHARDS_PER_SERVICE as usize
    }

    /// Whether every VM is ready to serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.vms.iter().all(NodeHandle::is_ready)
    }
}

/// Number of shards of each service.
const SHARDS_PER_SERVICE: u32 = 1_024;

fn list_vms(addresses: &mut AddressAllocator) -> Result<Vec<ListedVm>, TrialError> {
    let vm = |number: usize| {
        Ok(ListedVm {
            vm: name(&format!("vm-{number}"))?,
            zone: name(ZONES[number % ZONES.len()])?,
            address: addresses.allocate(),
            state: VmState::Live,
        })
    };
    (0..VM_COUNT).map(vm).collect()
}

fn node_settings(
    vm: &ListedVm,
    listed: &[ListedVm],
    platform_address: SocketAddr,
    addresses: &mut AddressAllocator,
) -> NodeSettings {
    let peer = |vm: &ListedVm| PeerSettings {
        vm: vm.vm.clone(),
        zone: vm.zone.clone(),
        address: vm.address,
    };
    NodeSettings {
        vm: vm.vm.clone(),
        zone: vm.zone.clone(),
        callers_address: addresses.allocate(),
        operators_address: addresses.allocate(),
        peers_address: vm.address,
        platform_address,
        peers: listed.iter().map(peer).collect(),
        memory_mb: None,
        workers: 1,
        lease: LeaseSettings::default(),
        limits: LimitSettings { vms: VM_COUNT as u32, ..LimitSettings::default() },
        stop_limit_ms: 10_000,
        stop_linger_ms: 100,
    }
}

fn start_targets(
    addresses: &mut AddressAllocator,
    shared: &SharedState,
) -> Result<Vec<TrialTarget>, TrialError> {
    let mut targets = Vec::new();
    for service in &SERVICES {
        for number in 0..service.targets {
            targets.push(start_target(service, number, addresses.allocate(), shared)?);
        }
    }
    Ok(targets)
}

fn start_target(
    service: &TrialService,
    number: u16,
    address: SocketAddr,
    shared: &SharedState,
) -> Result<TrialTarget, TrialError> {
    let target_name = name(&format!("{}-{number}", service.name))?;
    let settings = TargetSettings {
        name: target_name.clone(),
        address,
        slots: service.slots,
        queue_capacity: TARGET_QUEUE_CAPACITY,
        service_time_us: SERVICE_TIME_US,
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

fn service_spec(service: &TrialService) -> Result<ServiceSpec, TrialError> {
    let operation = service.operation;
    let spec = json!({
        "zones": ZONES,
        "shards": SHARDS_PER_SERVICE,
        "key": {"from": "path", "segment": 2},
        "operations": [{
            "name": operation.name,
            "method": operation.method,
            "repeat": if operation.at_most_once { "once" } else { "repeatable" },
            "urgency": if operation.urgent { "urgent" } else { "deferrable" },
        }],
    });
    serde_json::from_value(spec).map_err(|error| TrialError::Start(error.to_string()))
}
