//! From service and key to target and epoch.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use nickellead_api::{DeclaredConfig, DeclaredService, ServiceSpec};
use nickellead_core::{
    Epoch, Name, ServiceKey, ShardCount, ShardIndex, TargetKey, Version, shard_of,
};
use nickellead_lease::{RouteChange, ShardOwner};

/// A target as the request path needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRoute {
    /// The target.
    pub key: TargetKey,
    /// Name of the target.
    pub name: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests it runs side by side, for all VMs together.
    pub slots: u16,
    /// Connections it takes, from all VMs together.
    pub connections: u16,
}

/// Where requests for a shard go, with the target's place in the arena.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OwnerRoute {
    /// No target owns it.
    #[default]
    Unowned,
    /// A new owner is on its way.
    Moving,
    /// This target owns it.
    Target {
        /// Place in [`RoutingTable::target`].
        index: u32,
        /// The epoch that requests must carry.
        epoch: Epoch,
    },
}

/// What the table says of one request's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteDecision {
    /// The key's shard.
    pub shard: ShardIndex,
    /// Where it goes.
    pub owner: OwnerRoute,
}

/// A service as the request path needs it.
#[derive(Clone, Debug)]
pub struct ServiceRoute {
    /// Name of the service.
    pub name: Name,
    /// Version of its declaration.
    pub version: Version,
    /// What is declared.
    pub spec: ServiceSpec,
    count: ShardCount,
    owners: Vec<OwnerRoute>,
}

impl ServiceRoute {
    /// The decision for a key.
    // PERF: one hash, one multiplication and one load; no allocation.
    #[must_use]
    pub fn decide(&self, key: &[u8]) -> RouteDecision {
        let shard = shard_of(key, self.count);
        let owner = self.owners.get(shard.0 as usize).copied().unwrap_or_default();
        RouteDecision { shard, owner }
    }
}

/// What one request worker routes by.
#[derive(Debug, Default)]
pub struct RoutingTable {
    services: HashMap<ServiceKey, ServiceRoute>,
    targets: Vec<Rc<TargetRoute>>,
    target_indices: HashMap<TargetKey, u32>,
    /// Owners that named a target before its declaration arrived.
    pending_owners: HashMap<(ServiceKey, ShardIndex), ShardOwner>,
    revision: Version,
}

impl RoutingTable {
    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<(ServiceKey, &ServiceRoute)> {
        let key = ServiceKey(xxhash_rust::xxh3::xxh3_64(name.as_bytes()));
        self.services.get(&key).map(|service| (key, service))
    }

    /// The service of this key.
    #[must_use]
    pub fn service_by_key(&self, key: ServiceKey) -> Option<&ServiceRoute> {
        self.services.get(&key)
    }

    /// The target at a place that an [`OwnerRoute`] names.
    #[must_use]
    pub fn target(&self, index: u32) -> Option<&Rc<TargetRoute>> {
        self.targets.get(index as usize)
    }

    /// The revision of the declarations in force here.
    #[must_use]
    pub const fn revision(&self) -> Version {
        self.revision
    }

    /// Takes over declarations, unless they are older than those in force.
    ///
    /// Places of targets never change, so that a request under way keeps its own.
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
        let early = std::mem::take(&mut self.pending_owners);
        for ((service, shard), owner) in early {
            self.apply_change(RouteChange { service, shard, owner });
        }
        true
    }

    /// Takes over one shard's owner.
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
        let cell = service.and_then(|service| service.owners.get_mut(change.shard.0 as usize));
        match (cell, owner) {
            (Some(cell), Some(owner)) => *cell = owner,
            (Some(cell), None) => {
                *cell = OwnerRoute::Moving;
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
        let count = declared.spec.shard_count();
        let fresh = || ServiceRoute {
            name: declared.name.clone(),
            version: declared.version,
            spec: declared.spec.clone(),
            count,
            owners: vec![OwnerRoute::Unowned; count.get() as usize],
        };
        let key = ServiceKey::from(&declared.name);
        let service = self.services.entry(key).or_insert_with(fresh);
        service.version = declared.version;
        service.spec = declared.spec.clone();
    }
}
