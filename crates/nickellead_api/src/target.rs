//! Declared targets.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use nickellead_core::Name;
use serde::{Deserialize, Serialize};

use crate::FieldError;

/// Declaration of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// Service that the target runs.
    pub service: Name,
    /// Availability zone of the target.
    pub zone: Name,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Maximum number of connections from all VMs in total.
    pub connections: u16,
    /// Desired state.
    #[serde(default)]
    pub state: TargetState,
}

/// Desired state of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// Owns keys.
    #[default]
    Active,
    /// Releases its keys by planned moves and gets no new ones.
    Draining,
    /// Is permanently lost: its keys may be reassigned without waiting for its lease to expire.
    Gone,
}

impl TargetSpec {
    /// Validates the constraints that the types do not express.
    ///
    /// # Errors
    /// The first invalid field.
    pub fn check(&self) -> Result<(), FieldError> {
        if self.slots == 0 {
            return Err(FieldError::new("slots", "must be at least 1"));
        }
        if self.connections < self.slots {
            return Err(FieldError::new("connections", "must be at least the number of slots"));
        }
        if self.address.port() == 0 {
            return Err(FieldError::new("address", "must have a port"));
        }
        Ok(())
    }

    /// Validates that a change of the spec leaves immutable fields as they are.
    ///
    /// # Errors
    /// The first immutable field that differs.
    pub fn check_change(&self, old: &Self) -> Result<(), FieldError> {
        let reason = "can't change: declare a new target and drain this one";
        if self.service != old.service {
            return Err(FieldError::new("service", reason));
        }
        if self.zone != old.zone {
            return Err(FieldError::new("zone", reason));
        }
        if self.address != old.address {
            return Err(FieldError::new("address", reason));
        }
        if old.state == TargetState::Gone && self.state != TargetState::Gone {
            return Err(FieldError::new("state", "was gone: declare a new target instead"));
        }
        Ok(())
    }
}
