//! Settings of one gateway VM: a JSON file, checked whole before anything starts.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::PolicySettings;

/// Why settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file is no JSON of the expected shape.
    #[error("{path}: {reason}")]
    Shape {
        /// The field at fault.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A value is out of its bounds.
    #[error("{field} must be {bound}")]
    Bound {
        /// The field at fault.
        field: &'static str,
        /// What it must be.
        bound: &'static str,
    },
}

/// Settings of one gateway VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewaySettings {
    /// Name of the VM.
    pub vm: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers reach it.
    pub callers_address: SocketAddr,
    /// Where readiness is asked for, and metrics may be.
    pub readiness_address: SocketAddr,
    /// Where counters and histograms are served besides; `None` for the readiness address alone.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Where it listens for other VMs.
    pub peers_address: SocketAddr,
    /// Where other VMs reach it, if that is another address than the one it listens on, as behind a
    /// port mapping.
    #[serde(default)]
    pub peers_announced: Option<SocketAddr>,
    /// Its share of a core; a VM with little takes the mandate only if no other VM does.
    #[serde(default = "default_cpu_share")]
    pub cpu_share: f64,
    /// Rate of its link, in Mbit/s, if it is known; a VM with a slow one takes the mandate only if no
    /// other VM does.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Where the platform's store listens.
    pub store_address: SocketAddr,
    /// Time between the signal to stop and the forced end, in seconds.
    pub grace_s: f64,
    /// Most callers' connections.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Retries at one service that this VM may make beyond the share earned by requests.
    #[serde(default = "default_retry_burst")]
    pub retry_burst: f64,
    /// What all VMs together may send a cold target; `None` if that is not bounded.
    #[serde(default)]
    pub cold: Option<ColdSettings>,
    /// Seconds after which an evacuated availability zone may get nothing more; `None` if zones are
    /// not evacuated here.
    #[serde(default)]
    pub evacuation_s: Option<f64>,
    /// Seconds after which nothing new may reach a target that said that it leaves.
    #[serde(default = "default_drain")]
    pub drain_s: f64,
    /// Times of ownership.
    #[serde(default)]
    pub ownership: OwnershipSettings,
    /// Which mechanisms decide.
    #[serde(default)]
    pub policy: PolicySettings,
}

const fn default_cpu_share() -> f64 {
    1.0
}

/// The shortest time that the users' deployments set.
const fn default_drain() -> f64 {
    2.0
}

const fn default_connections() -> usize {
    2_000
}

/// The users allow 196 retries in ten seconds beyond the earned ones on their largest fleet of 78 VMs,
/// which do not ask each other.
const fn default_retry_burst() -> f64 {
    2.4
}

/// What all VMs together may send a cold target in one second: its rate times `overage`, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdSettings {
    /// Factor on the rate that the target's service declares.
    pub overage: f64,
    /// Requests beyond that.
    pub slack: f64,
}

/// Times of ownership.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct OwnershipSettings {
    /// How long a target holds a range after a grant arrived, in seconds.
    pub hold_s: f64,
    /// Between two renewals, in seconds.
    pub renewal_s: f64,
}

impl Default for OwnershipSettings {
    /// The hold outlives the loss of the mandate's holder (about three seconds until a successor
    /// renews) after the oldest renewal; shorter ones give a lost target's keys back sooner.
    fn default() -> Self {
        Self { hold_s: 4.5, renewal_s: 1.0 }
    }
}

impl OwnershipSettings {
    /// How long a target holds a range.
    #[must_use]
    pub fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.hold_s)
    }

    /// Between two renewals.
    #[must_use]
    pub fn renewal_interval(&self) -> Duration {
        Duration::from_secs_f64(self.renewal_s)
    }
}

impl GatewaySettings {
    /// The address that this VM tells others as its own.
    pub(crate) fn announced_address(&self) -> SocketAddr {
        self.peers_announced.unwrap_or(self.peers_address)
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// The first field at fault, with what it must be.
    pub fn read(text: &[u8]) -> Result<Self, SettingsError> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let settings: Self =
            serde_path_to_error::deserialize(&mut json).map_err(|error| SettingsError::Shape {
                path: error.path().to_string(),
                reason: error.inner().to_string(),
            })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let bound = |holds: bool, field, bound| {
            if holds { Ok(()) } else { Err(SettingsError::Bound { field, bound }) }
        };
        let ownership = &self.ownership;
        bound(!self.vm.is_empty(), "vm", "a name")?;
        bound((1.0..=600.0).contains(&self.grace_s), "grace_s", "from 1 to 600")?;
        bound(self.cpu_share > 0.0, "cpu_share", "above 0")?;
        bound(self.connections >= 1, "connections", "1 or more")?;
        bound((0.0..=1_000.0).contains(&self.retry_burst), "retry_burst", "from 0 to 1000")?;
        bound((0.5..=60.0).contains(&ownership.hold_s), "ownership.hold_s", "from 0.5 to 60")?;
        let cold_holds = |cold: ColdSettings| cold.overage >= 1.0 && cold.slack >= 0.0;
        bound(self.cold.is_none_or(cold_holds), "cold", "an overage from 1 and a slack from 0")?;
        bound((0.2..=600.0).contains(&self.drain_s), "drain_s", "from 0.2 to 600")?;
        let evacuation = self.evacuation_s.is_none_or(|time| (1.0..=600.0).contains(&time));
        bound(evacuation, "evacuation_s", "from 1 to 600")?;
        let renewal = (0.1..=ownership.hold_s / 2.0).contains(&ownership.renewal_s);
        bound(renewal, "ownership.renewal_s", "from 0.1 to half of hold_s")
    }
}
