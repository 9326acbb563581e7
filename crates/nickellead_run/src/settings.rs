//! Settings of one VM: a JSON file that is validated before any thread starts.

use std::net::SocketAddr;
use std::time::Duration;

use nickellead_api::{FieldError, read_json};
use nickellead_core::Name;
use nickellead_lease::LeaseTimings;
use nickellead_limit::MemoryBounds;
use nickellead_proxy::ProxyLimits;
use serde::{Deserialize, Serialize};

/// Maximum number of request workers of one VM.
const MAX_WORKERS: u16 = 64;

/// Settings of one entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the VM.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Address for callers.
    pub callers_address: SocketAddr,
    /// Address for operators.
    pub operators_address: SocketAddr,
    /// Address for other VMs.
    pub peers_address: SocketAddr,
    /// Address of the platform's object API.
    pub platform_address: SocketAddr,
    /// VMs known at start, in addition to the platform's list.
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
    /// Number of threads that serve callers.
    #[serde(default = "default_workers")]
    pub workers: u16,
    /// Memory of the machine in MB (1,000,000 bytes); `None` for what the operating system tells. It bounds
    /// what callers make the process hold.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// Timings of leases.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// Limits of the request path.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Maximum duration of a planned stop, in milliseconds.
    #[serde(default = "default_stop")]
    pub stop_limit_ms: u32,
    /// How long a stopping VM continues to serve after it turned readiness off, in milliseconds.
    #[serde(default = "default_linger")]
    pub stop_linger_ms: u32,
}

const fn default_workers() -> u16 {
    1
}

const fn default_stop() -> u32 {
    10_000
}

const fn default_linger() -> u32 {
    500
}

/// Another VM that is known at start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Name of the VM.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its address for other VMs.
    pub address: SocketAddr,
}

/// Timings of leases, in milliseconds; see [`LeaseTimings`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// Interval between two heartbeats to a target.
    pub heartbeat_ms: u32,
    /// How long a target may serve without a heartbeat.
    pub lease_ms: u32,
    /// Safety margin added to every bound on a lease.
    pub margin_ms: u32,
    /// Timeout of an order to a target.
    pub order_timeout_ms: u32,
    /// Interval between two renewals of the mandate (leader lease).
    pub renewal_ms: u32,
    /// How long the mandate must remain unrenewed before a standby acquires it.
    pub standstill_ms: u32,
    /// How long the platform must not respond before a coordinator becomes detached.
    pub detach_after_ms: u32,
    /// Maximum difference of clock rates, in parts per million.
    pub drift_ppm: u32,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        let timings = LeaseTimings::default();
        let millis = |duration: Duration| duration.as_millis() as u32;
        Self {
            heartbeat_ms: millis(timings.heartbeat_interval),
            lease_ms: millis(timings.lease_duration),
            margin_ms: millis(timings.lease_margin),
            order_timeout_ms: millis(timings.order_timeout),
            renewal_ms: millis(timings.renewal_interval),
            standstill_ms: millis(timings.mandate_timeout),
            detach_after_ms: millis(timings.detach_timeout),
            drift_ppm: timings.drift_bound.parts_per_million,
        }
    }
}

impl LeaseSettings {
    /// Converts the settings to the timings of the state machines.
    #[must_use]
    pub fn to_timings(self) -> LeaseTimings {
        let duration = |millis: u32| Duration::from_millis(u64::from(millis));
        LeaseTimings {
            heartbeat_interval: duration(self.heartbeat_ms),
            lease_duration: duration(self.lease_ms),
            lease_margin: duration(self.margin_ms),
            order_timeout: duration(self.order_timeout_ms),
            renewal_interval: duration(self.renewal_ms),
            mandate_timeout: duration(self.standstill_ms),
            detach_timeout: duration(self.detach_after_ms),
            drift_bound: nickellead_core::DriftBound { parts_per_million: self.drift_ppm },
        }
    }
}

/// Limits of the request path; see [`ProxyLimits`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Number of VMs among which the capacity of each target is divided.
    pub vms: u32,
    /// Maximum number of requests queued for one target, per worker.
    pub queue: u32,
    /// Maximum number of requests that wait for shard moves, per worker.
    pub movers: u32,
    /// Maximum wait for a shard move, in milliseconds.
    pub move_wait_ms: u32,
    /// Maximum number of connections from callers, per worker.
    pub connections: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        let limits = ProxyLimits::default();
        Self {
            vms: limits.workers_per_target,
            queue: limits.queue_per_target,
            movers: limits.move_waiters,
            move_wait_ms: limits.move_timeout.as_millis() as u32,
            connections: limits.connections as u32,
        }
    }
}

impl LimitSettings {
    /// Converts the settings to the limits of one of `workers` workers.
    #[must_use]
    pub fn to_limits(self, workers: u16) -> ProxyLimits {
        ProxyLimits {
            workers_per_target: self.vms * u32::from(workers),
            queue_per_target: self.queue,
            move_waiters: self.movers,
            move_timeout: Duration::from_millis(u64::from(self.move_wait_ms)),
            connections: self.connections as usize,
            ..ProxyLimits::default()
        }
    }
}

impl NodeSettings {
    /// Most bytes that one of the threads holds that serve callers or operators.
    #[must_use]
    pub fn memory_bounds(&self) -> MemoryBounds {
        MemoryBounds::of_settings(self.memory_mb).divided_by(usize::from(self.workers) + 1)
    }

    /// Limits of one worker.
    #[must_use]
    pub fn worker_limits(&self) -> ProxyLimits {
        ProxyLimits { memory: self.memory_bounds(), ..self.limits.to_limits(self.workers) }
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    /// Returns the first invalid field and the reason.
    pub fn read(text: &[u8]) -> Result<Self, FieldError> {
        let settings: Self = read_json(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// Validates constraints that the types do not express.
    ///
    /// # Errors
    /// Returns the first invalid field and the reason.
    pub fn check(&self) -> Result<(), FieldError> {
        if self.workers == 0 || self.workers > MAX_WORKERS {
            let reason = format!("must be from 1 to {MAX_WORKERS}");
            return Err(FieldError::new("workers", reason));
        }
        if self.memory_mb == Some(0) {
            return Err(FieldError::new("memory_mb", "must be at least 1"));
        }
        self.check_addresses()?;
        self.check_limits()?;
        if self.stop_limit_ms <= self.stop_linger_ms {
            return Err(FieldError::new("stop_limit_ms", "must be more than stop_linger_ms"));
        }
        let timings = self.lease.to_timings();
        timings
            .validate()
            .map_err(|(field, reason)| FieldError::new(format!("lease.{field}"), reason))
    }

    fn check_addresses(&self) -> Result<(), FieldError> {
        let own = [
            ("callers_address", self.callers_address),
            ("operators_address", self.operators_address),
            ("peers_address", self.peers_address),
        ];
        for (index, (field, address)) in own.iter().enumerate() {
            if address.port() == 0 {
                return Err(FieldError::new(*field, "must have a port"));
            }
            if own[..index].iter().any(|(_, other)| other == address) {
                return Err(FieldError::new(*field, "is already used by another setting"));
            }
        }
        for (index, peer) in self.peers.iter().enumerate() {
            if peer.vm == self.vm && peer.address != self.peers_address {
                let field = format!("peers[{index}].address");
                return Err(FieldError::new(field, "differs from this VM's peers_address"));
            }
        }
        Ok(())
    }

    fn check_limits(&self) -> Result<(), FieldError> {
        let positive = [
            ("limits.vms", self.limits.vms),
            ("limits.connections", self.limits.connections),
            ("limits.movers", self.limits.movers),
        ];
        match positive.iter().find(|(_, value)| *value == 0) {
            Some((field, _)) => Err(FieldError::new(*field, "must be at least 1")),
            None => Ok(()),
        }
    }
}
