//! Declared targets.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use nickellead_core::Name;
use serde::{Deserialize, Serialize};

use crate::FieldError;

/// What operators say of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// The service it belongs to.
    pub service: Name,
    /// The availability zone it stands in.
    pub zone: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests it runs side by side.
    pub slots: u16,
    /// Connections it takes, from all VMs together.
    pub connections: u16,
    /// What the operator wants of it.
    #[serde(default)]
    pub state: TargetState,
}

/// What the operator wants of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// Holds keys.
    #[default]
    Active,
    /// Gives its keys away by planned moves and gets no new ones.
    Draining,
    /// Is declared lost for good: its keys may be given away without waiting for its lease.
    Gone,
}

impl TargetSpec {
    /// Checks what the types can't say.
    ///
    /// # Errors
    /// Returns the first field that is wrong.
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

    /// Checks a change of the spec against what may not change.
    ///
    /// # Errors
    /// Returns the first fixed field that differs.
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
