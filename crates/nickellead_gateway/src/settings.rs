//! Settings of one gateway VM, read from a JSON file and validated before the gateway starts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use nickellead_limit::{MemoryBounds, QuotaTolerance, RetryLimits};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::PolicySettings;
use crate::machine_limits::max_connections;

/// Most age of the declarations with which keys may be checked, as a fraction of the time after
/// which a key that was taken away may not be served. The rest covers clocks of different speeds.
const KEY_AGE_FRACTION: f64 = 0.9;

/// Why settings were rejected.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file is not valid JSON, or a field is missing or has the wrong type.
    #[error("{path}: {reason}")]
    Shape {
        /// Path of the invalid field.
        path: String,
        /// The error of the JSON parser.
        reason: String,
    },
    /// A value is out of bounds.
    #[error("{field} must be {bound}")]
    Bound {
        /// Name of the field.
        field: &'static str,
        /// The values that are allowed.
        bound: &'static str,
    },
}

/// Settings of one gateway VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewaySettings {
    /// Name of the VM, unique among all VMs.
    pub vm: String,
    /// Its availability zone.
    pub zone: String,
    /// Listen address for callers.
    pub callers_address: SocketAddr,
    /// Listen address for readiness checks and metrics.
    pub readiness_address: SocketAddr,
    /// Additional listen address for metrics; `None` to serve them at the readiness address only.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Listen address for other VMs.
    pub peers_address: SocketAddr,
    /// Address at which other VMs reach it, if it differs from `peers_address`, as with a port
    /// mapping.
    #[serde(default)]
    pub peers_announced: Option<SocketAddr>,
    /// Listen address for dispatch messages of other VMs; `None` if this VM dispatches nothing.
    #[serde(default)]
    pub dispatch_address: Option<SocketAddr>,
    /// Address at which other VMs reach it with dispatch messages, if it differs from
    /// `dispatch_address`, as with a port mapping.
    #[serde(default)]
    pub dispatch_announced: Option<SocketAddr>,
    /// Whether requests are dispatched, on a VM with a `dispatch_address`.
    #[serde(default)]
    pub dispatch_scope: DispatchScope,
    /// CPU available to the process, in cores. A VM with little of it acquires the mandate (leader
    /// lease) only if no other VM does.
    #[serde(default = "default_cpu_share")]
    pub cpu_share: f64,
    /// Bandwidth of its network link in Mbit/s, if known. A VM with a slow link acquires the
    /// mandate only if no other VM does.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Time between the stop signal and the forced termination, in seconds.
    pub grace_s: f64,
    /// Most connections of callers that are open at the same time; `None` to derive it from the
    /// machine.
    #[serde(default)]
    pub connections: Option<usize>,
    /// Memory of the machine in MB (1,000,000 bytes), beyond which the process is killed; `None` for what
    /// the operating system tells. It bounds what callers make the process hold.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// Most file descriptors of the process, if known. They bound the connections of callers.
    #[serde(default)]
    pub max_fds: Option<u64>,
    /// Capacity of the retry budget of each service on this VM, in retries.
    #[serde(default = "default_retry_burst")]
    pub retry_burst: f64,
    /// Retries of all VMs together to a service that are allowed, as a fraction of its requests.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Retries of all VMs together to a service that are allowed in addition to `retry_ratio`;
    /// `None` if unknown. Each VM has an equal share of them, but no more than `retry_burst`.
    #[serde(default)]
    pub retry_extra: Option<f64>,
    /// Limit for requests of all VMs together to a cold target; `None` for no limit.
    #[serde(default)]
    pub cold: Option<ColdSettings>,
    /// Seconds after which an evacuated availability zone may get no more requests; `None` to
    /// disable evacuations.
    #[serde(default)]
    pub evacuation_s: Option<f64>,
    /// Seconds after which a target that signalled that it is leaving may get no new requests.
    #[serde(default = "default_drain")]
    pub drain_s: f64,
    /// Seconds after which a key that was taken away may not be served anywhere, also while the store
    /// can't be reached; `None` for no such limit.
    #[serde(default)]
    pub revocation_s: Option<f64>,
    /// How quotas of workspaces are counted.
    #[serde(default)]
    pub quota: QuotaSettings,
    /// Region of the VM; `None` if unknown.
    #[serde(default)]
    pub region: Option<String>,
    /// Regions by availability zone.
    #[serde(default)]
    pub zone_regions: BTreeMap<String, String>,
    /// Lease duration and renewal interval of key ownership.
    #[serde(default)]
    pub ownership: OwnershipSettings,
    /// Mechanisms that are switched on or off.
    #[serde(default)]
    pub policy: PolicySettings,
}

/// Whether requests are dispatched, on VMs with a `dispatch_address`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DispatchScope {
    /// Each VM sends requests by its own limits.
    #[default]
    Never,
    /// Dispatchers decide for all requests without a workspace.
    Always,
}

const fn default_cpu_share() -> f64 {
    1.0
}

const fn default_drain() -> f64 {
    2.0
}

/// The VMs do not coordinate retries, so the value per VM is the fleet's allowance divided by its
/// size.
const fn default_retry_burst() -> f64 {
    2.4
}

const fn default_retry_ratio() -> f64 {
    0.2
}

/// The limit for requests of all VMs to a cold target within one second: its rate times `overage`
/// plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdSettings {
    /// Factor on the rate that the target's service declares.
    pub overage: f64,
    /// Additional requests.
    pub slack: f64,
}

/// How quotas of workspaces are counted: the requests of all VMs in any window stay within
/// (rate x window + burst) x (1 + overage) + slack.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct QuotaSettings {
    /// Length of the window in seconds.
    pub window_s: f64,
    /// Permitted excess, as a fraction of the quota.
    pub overage: f64,
    /// Permitted excess in requests.
    pub slack: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self { window_s: 5.0, overage: 0.1, slack: 10.0 }
    }
}

impl From<QuotaSettings> for QuotaTolerance {
    fn from(settings: QuotaSettings) -> Self {
        let QuotaSettings { window_s, overage, slack } = settings;
        Self { window: Duration::from_secs_f64(window_s), overage, slack }
    }
}

/// Lease duration and renewal interval of key ownership.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct OwnershipSettings {
    /// Duration of a lease: how long a target owns a range after a grant arrived, in seconds.
    pub hold_s: f64,
    /// Interval between two renewals of a lease, in seconds.
    pub renewal_s: f64,
    /// Longest lease that targets accept, in seconds; `None` for no limit.
    pub max_hold_s: Option<f64>,
}

impl Default for OwnershipSettings {
    /// The lease must outlast the loss of the mandate holder until its successor renews; a shorter
    /// lease frees the keys of a lost target sooner.
    fn default() -> Self {
        Self { hold_s: 4.5, renewal_s: 1.0, max_hold_s: None }
    }
}

impl OwnershipSettings {
    /// Duration of a lease.
    #[must_use]
    pub fn lease(&self) -> Duration {
        let longest = self.max_hold_s.unwrap_or(f64::INFINITY);
        Duration::from_secs_f64(self.hold_s.min(longest))
    }

    /// Interval between two renewals of a lease; a lease is renewed at least twice.
    #[must_use]
    pub fn renewal_interval(&self) -> Duration {
        Duration::from_secs_f64(self.renewal_s).min(self.lease() / 2)
    }
}

impl GatewaySettings {
    /// Most age of the declarations with which keys may be checked; `None` for no limit.
    pub(crate) fn max_key_age(&self) -> Option<Duration> {
        self.revocation_s.map(|time| Duration::from_secs_f64(time * KEY_AGE_FRACTION))
    }

    /// Most bytes that the process holds for callers.
    #[must_use]
    pub fn memory_bounds(&self) -> MemoryBounds {
        let bounds = MemoryBounds::of_settings(self.memory_mb);
        match self.connections {
            // Whoever sets their number accounts for their memory.
            Some(_) => MemoryBounds { connections: bounds.total, ..bounds },
            None => bounds,
        }
    }

    /// Most connections of callers that are open at the same time.
    #[must_use]
    pub fn max_connections(&self) -> usize {
        self.connections.unwrap_or_else(|| max_connections(self.max_fds))
    }

    /// Bounds on the retries of this VM.
    pub(crate) fn retry_limits(&self) -> RetryLimits {
        RetryLimits { ratio: self.retry_ratio, burst: self.retry_burst, extra: self.retry_extra }
    }

    /// The address that this VM publishes to other VMs.
    pub(crate) fn announced_address(&self) -> SocketAddr {
        self.peers_announced.unwrap_or(self.peers_address)
    }

    /// The address for dispatch messages that this VM publishes to other VMs; `None` if it takes
    /// none.
    pub(crate) fn announced_dispatch_address(&self) -> Option<SocketAddr> {
        let address = self.dispatch_address.filter(|_| self.policy.dispatch.is_on())?;
        Some(self.dispatch_announced.unwrap_or(address))
    }

    /// Parses and validates a settings file.
    ///
    /// # Errors
    /// [`SettingsError`] for the first invalid field.
    pub fn read(text: &[u8]) -> Result<Self, SettingsError> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let settings: Self =
            serde_path_to_error::deserialize(&mut json).map_err(|error| SettingsError::Shape {
                path: error.path().to_string(),
                reason: error.inner().to_string(),
            })?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), SettingsError> {
        let bound = |is_valid: bool, field, bound| {
            if is_valid { Ok(()) } else { Err(SettingsError::Bound { field, bound }) }
        };
        let ownership = &self.ownership;
        bound(!self.vm.is_empty(), "vm", "a non-empty name")?;
        let is_dispatch_used = self.dispatch_address.is_some() || self.dispatch_announced.is_none();
        bound(is_dispatch_used, "dispatch_announced", "absent without dispatch_address")?;
        bound((1.0..=600.0).contains(&self.grace_s), "grace_s", "from 1 to 600")?;
        bound(self.cpu_share > 0.0, "cpu_share", "above 0")?;
        bound(self.connections.is_none_or(|most| most >= 1), "connections", "at least 1")?;
        bound(self.memory_mb.is_none_or(|memory| memory >= 1), "memory_mb", "at least 1")?;
        bound(self.max_fds.is_none_or(|most| most >= 1), "max_fds", "at least 1")?;
        bound((0.0..=1_000.0).contains(&self.retry_burst), "retry_burst", "from 0 to 1000")?;
        bound((0.0..=1.0).contains(&self.retry_ratio), "retry_ratio", "from 0 to 1")?;
        let is_valid_extra = |extra: f64| (0.0..=1e6).contains(&extra);
        bound(self.retry_extra.is_none_or(is_valid_extra), "retry_extra", "from 0 to 1000000")?;
        bound((0.5..=60.0).contains(&ownership.hold_s), "ownership.hold_s", "from 0.5 to 60")?;
        let is_valid_hold = |longest: f64| (0.5..=3_600.0).contains(&longest);
        let max_hold = ownership.max_hold_s.is_none_or(is_valid_hold);
        bound(max_hold, "ownership.max_hold_s", "from 0.5 to 3600")?;
        let is_valid_cold = |cold: ColdSettings| cold.overage >= 1.0 && cold.slack >= 0.0;
        bound(
            self.cold.is_none_or(is_valid_cold),
            "cold",
            "an overage of at least 1 and a slack of at least 0",
        )?;
        bound((0.2..=600.0).contains(&self.drain_s), "drain_s", "from 0.2 to 600")?;
        let evacuation = self.evacuation_s.is_none_or(|time| (1.0..=600.0).contains(&time));
        bound(evacuation, "evacuation_s", "from 1 to 600")?;
        let revocation = self.revocation_s.is_none_or(|time| (0.5..=600.0).contains(&time));
        bound(revocation, "revocation_s", "from 0.5 to 600")?;
        let QuotaSettings { window_s, overage, slack } = self.quota;
        bound((0.1..=600.0).contains(&window_s), "quota.window_s", "from 0.1 to 600")?;
        bound((0.0..=10.0).contains(&overage), "quota.overage", "from 0 to 10")?;
        bound((0.0..=1e6).contains(&slack), "quota.slack", "from 0 to 1000000")?;
        let renewal = (0.1..=ownership.hold_s / 2.0).contains(&ownership.renewal_s);
        bound(renewal, "ownership.renewal_s", "from 0.1 to half of hold_s")
    }
}
