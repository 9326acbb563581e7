//! Routing table from service and key to target and epoch.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use nickellead_api::{DeclaredConfig, DeclaredService, ServiceSpec};
use nickellead_core::{
    Epoch, Name, ServiceKey, ShardCount, ShardIndex, TargetKey, Version, shard_of,
};
use nickellead_lease::{RouteChange, ShardOwner};

/// Properties of a target that the request path uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRoute {
    /// Hash of the target's name.
    pub key: TargetKey,
    /// Name of the target.
    pub name: Name,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Requests that it runs concurrently, for all VMs together.
    pub slots: u16,
    /// Connections that it accepts from all VMs together.
    pub connections: u16,
}

/// Owner of a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OwnerRoute {
    /// No target owns it.
    #[default]
    Unowned,
    /// The shard moves to a new owner.
    Moving,
    /// A target owns it.
    Target {
        /// Index for [`RoutingTable::target`].
        index: u32,
        /// The epoch that requests must carry.
        epoch: Epoch,
    },
}

/// Routing decision for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteDecision {
    /// Shard of the key.
    pub shard: ShardIndex,
    /// Owner of the shard.
    pub owner: OwnerRoute,
}

/// Declaration and shard owners of a service.
#[derive(Clone, Debug)]
pub struct ServiceRoute {
    /// Name of the service.
    pub name: Name,
    /// Version of its declaration.
    pub version: Version,
    /// Declared properties.
    pub spec: ServiceSpec,
    shard_count: ShardCount,
    owners: Vec<OwnerRoute>,
}

impl ServiceRoute {
    /// Looks up the owner of a key.
    // PERF: one hash, one multiplication and one load; no allocation.
    #[must_use]
    pub fn decide(&self, key: &[u8]) -> RouteDecision {
        let shard = shard_of(key, self.shard_count);
        let owner = self.owners.get(shard.0 as usize).copied().unwrap_or_default();
        RouteDecision { shard, owner }
    }
}

/// Routing table of one request worker.
#[derive(Debug, Default)]
pub struct RoutingTable {
    services: HashMap<ServiceKey, ServiceRoute>,
    targets: Vec<Rc<TargetRoute>>,
    target_indices: HashMap<TargetKey, u32>,
    /// Owner changes that arrived before the declaration of their service or target.
    pending_owners: HashMap<(ServiceKey, ShardIndex), ShardOwner>,
    revision: Version,
}

impl RoutingTable {
    /// Finds a service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<(ServiceKey, &ServiceRoute)> {
        let key = ServiceKey(xxhash_rust::xxh3::xxh3_64(name.as_bytes()));
        self.services.get(&key).map(|service| (key, service))
    }

    /// Finds a service by the hash of its name.
    #[must_use]
    pub fn service_by_key(&self, key: ServiceKey) -> Option<&ServiceRoute> {
        self.services.get(&key)
    }

    /// Target at the index of an [`OwnerRoute::Target`].
    #[must_use]
    pub fn target(&self, index: u32) -> Option<&Rc<TargetRoute>> {
        self.targets.get(index as usize)
    }

    /// Revision of the applied declarations.
    #[must_use]
    pub const fn revision(&self) -> Version {
        self.revision
    }

    /// Applies declarations unless they are older than the applied ones. Returns whether they were
    /// applied.
    ///
    /// Indices of targets never change, so that they stay valid for requests in flight.
    pub fn apply_config(&mut self, config: &DeclaredConfig) -> bool {
        if config.revision < self.revision {
            return false;
        }
        self.revision = config.revision;
        for target in &config.targets {
            let route = TargetRoute {
                key: TargetKey::from(&target.name),
                name: target.name.clone(),
                address: target.spec.address,
                slots: target.spec.slots,
                connections: target.spec.connections,
            };
            self.upsert_target(route);
        }
        self.services.retain(|_, known| config.service(&known.name).is_some());
        for service in &config.services {
            self.upsert_service(service);
        }
        let pending = std::mem::take(&mut self.pending_owners);
        for ((service, shard), owner) in pending {
            self.apply_change(RouteChange { service, shard, owner });
        }
        true
    }

    /// Applies a change of one shard's owner.
    pub fn apply_change(&mut self, change: RouteChange) {
        let owner = match change.owner {
            ShardOwner::Unowned => Some(OwnerRoute::Unowned),
            ShardOwner::Moving => Some(OwnerRoute::Moving),
            ShardOwner::Target { target, epoch } => {
                let index = self.target_indices.get(&target).copied();
                index.map(|index| OwnerRoute::Target { index, epoch })
            }
        };
        let service = self.services.get_mut(&change.service);
        let entry = service.and_then(|service| service.owners.get_mut(change.shard.0 as usize));
        match (entry, owner) {
            (Some(entry), Some(owner)) => *entry = owner,
            (Some(entry), None) => {
                *entry = OwnerRoute::Moving;
                self.pending_owners.insert((change.service, change.shard), change.owner);
            }
            (None, _) => {
                self.pending_owners.insert((change.service, change.shard), change.owner);
            }
        }
    }

    fn upsert_target(&mut self, route: TargetRoute) {
        match self.target_indices.get(&route.key) {
            Some(index) => self.targets[*index as usize] = Rc::new(route),
            None => {
                self.target_indices.insert(route.key, self.targets.len() as u32);
                self.targets.push(Rc::new(route));
            }
        }
    }

    fn upsert_service(&mut self, declared: &DeclaredService) {
        let shard_count = declared.spec.shard_count();
        let new_route = || ServiceRoute {
            name: declared.name.clone(),
            version: declared.version,
            spec: declared.spec.clone(),
            shard_count,
            owners: vec![OwnerRoute::Unowned; shard_count.get() as usize],
        };
        let key = ServiceKey::from(&declared.name);
        let service = self.services.entry(key).or_insert_with(new_route);
        service.version = declared.version;
        service.spec = declared.spec.clone();
    }
}
