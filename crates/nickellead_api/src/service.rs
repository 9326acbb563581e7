//! Declared services.

use bincode::{Decode, Encode};
use nickellead_core::{Name, ShardCount, ShardIndex};
use serde::{Deserialize, Serialize};

use crate::FieldError;

/// Most shards of one service.
pub const SHARDS_MAX: u32 = 131_072;
/// Most zones of one service.
const ZONES_MAX: usize = 64;
/// Most operations of one service.
const OPERATIONS_MAX: usize = 64;
/// Longest deadline of an operation, in milliseconds.
const DEADLINE_MAX_MS: u32 = 120_000;
/// Largest body that a service may allow, in bytes.
const BODY_LIMIT_MAX: u32 = 16 * 1024 * 1024;

/// What operators say of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Availability zones that hold the keys; each has an equal part of the shards.
    pub zones: Vec<Name>,
    /// Number of hash partitions; fixed for the service's life.
    #[serde(default = "default_shards")]
    pub shards: u32,
    /// Where a request names its key.
    pub key: KeySource,
    /// What callers may ask for.
    pub operations: Vec<OperationSpec>,
    /// Largest request body, in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit: u32,
    /// Whether the targets check grants themselves.
    #[serde(default)]
    pub fencing: FencingMode,
    /// What happens to the keys of a zone that went silent.
    #[serde(default)]
    pub isolation: IsolationPolicy,
    /// What the placement policy weighs.
    #[serde(default)]
    pub weights: PolicyWeights,
}

const fn default_shards() -> u32 {
    1_024
}

const fn default_body_limit() -> u32 {
    64 * 1024
}

/// Where a request names its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(tag = "from", rename_all = "lowercase", deny_unknown_fields)]
pub enum KeySource {
    /// The path segment at this place; the service's name is segment 0.
    Path {
        /// Place of the segment.
        segment: u8,
    },
    /// A header.
    Header {
        /// Name of the header, in lower case.
        name: String,
    },
    /// A parameter of the query.
    Query {
        /// Name of the parameter.
        name: String,
    },
}

/// Whether a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "lowercase")]
pub enum RepeatRule {
    /// Sent at most once, unless the earlier try is proved not run.
    Once,
    /// May be tried again inside the deadline.
    Repeatable,
}

/// Who gives way first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "lowercase")]
pub enum UrgencyClass {
    /// Somebody waits at the counter or the clock.
    #[default]
    Urgent,
    /// Can wait: reminders, price history.
    Deferrable,
}

/// One operation: a method and the path segment after the service's name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct OperationSpec {
    /// The second segment of the path.
    pub name: Name,
    /// HTTP method, in capitals.
    pub method: String,
    /// Whether it may be repeated.
    pub repeat: RepeatRule,
    /// Whether it may wait.
    #[serde(default)]
    pub urgency: UrgencyClass,
    /// Longest time an answer is waited for, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u32,
}

const fn default_deadline() -> u32 {
    2_000
}

/// Whether targets check grants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "lowercase")]
pub enum FencingMode {
    /// Targets refuse what they do not own.
    #[default]
    Checked,
}

/// What happens to the keys of a zone that went silent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "lowercase")]
pub enum IsolationPolicy {
    /// The keys stay with their zone; callers elsewhere are refused.
    #[default]
    Hold,
}

/// What the placement policy weighs; each from 0 to 100.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields, default)]
pub struct PolicyWeights {
    /// Weight of the time keys are unavailable.
    pub unavailable: u8,
    /// Weight of moves of ownership.
    pub churn: u8,
    /// Weight of unequal load.
    pub imbalance: u8,
}

impl Default for PolicyWeights {
    fn default() -> Self {
        Self { unavailable: 10, churn: 10, imbalance: 10 }
    }
}

impl ServiceSpec {
    /// Checks what the types can't say.
    ///
    /// # Errors
    /// Returns the first field that is wrong.
    pub fn check(&self) -> Result<(), FieldError> {
        check_zones(&self.zones)?;
        if self.shards == 0 || self.shards > SHARDS_MAX {
            return Err(range_error("shards", 1, u64::from(SHARDS_MAX)));
        }
        if (self.shards as usize) < self.zones.len() {
            return Err(FieldError::new("shards", "must be at least the number of zones"));
        }
        if self.body_limit > BODY_LIMIT_MAX {
            return Err(range_error("body_limit", 0, u64::from(BODY_LIMIT_MAX)));
        }
        check_key(&self.key)?;
        check_operations(&self.operations)?;
        check_weights(self.weights)
    }

    /// Checks a change of the spec against what may not change.
    ///
    /// # Errors
    /// Returns the first fixed field that differs.
    pub fn check_change(&self, old: &Self) -> Result<(), FieldError> {
        if self.shards != old.shards {
            return Err(fixed_error("shards"));
        }
        if self.zones != old.zones {
            return Err(fixed_error("zones"));
        }
        Ok(())
    }

    /// The number of shards, never zero in a checked spec.
    #[must_use]
    pub fn shard_count(&self) -> ShardCount {
        ShardCount::new(self.shards).unwrap_or(ShardCount::MIN)
    }

    /// The zone that holds a shard.
    #[must_use]
    pub fn zone_of(&self, shard: ShardIndex) -> Option<&Name> {
        let count = self.zones.len();
        (0..count)
            .find(|place| zone_range(self.shards, count, *place).contains(&shard.0))
            .map(|place| &self.zones[place])
    }

    /// The shards that a zone holds; empty when the service is not in the zone.
    #[must_use]
    pub fn shards_in(&self, zone: &Name) -> std::ops::Range<u32> {
        match self.zones.iter().position(|name| name == zone) {
            Some(place) => zone_range(self.shards, self.zones.len(), place),
            None => 0..0,
        }
    }
}

/// The shards of the zone at `place` of `count` zones: equal, contiguous parts.
#[must_use]
pub fn zone_range(shards: u32, count: usize, place: usize) -> std::ops::Range<u32> {
    let bound = |part: usize| (u64::from(shards) * part as u64 / count as u64) as u32;
    bound(place)..bound(place + 1)
}

fn check_zones(zones: &[Name]) -> Result<(), FieldError> {
    if zones.is_empty() || zones.len() > ZONES_MAX {
        return Err(FieldError::new("zones", format!("must name 1 to {ZONES_MAX} zones")));
    }
    for (place, zone) in zones.iter().enumerate() {
        if zones[..place].contains(zone) {
            return Err(FieldError::new(format!("zones[{place}]"), "names a zone twice"));
        }
    }
    Ok(())
}

fn check_key(key: &KeySource) -> Result<(), FieldError> {
    match key {
        KeySource::Path { segment: 0 } => {
            Err(FieldError::new("key.segment", "is 0, the service's own name: use 1 or more"))
        }
        KeySource::Path { .. } => Ok(()),
        KeySource::Header { name } if is_token(name) => Ok(()),
        KeySource::Query { name } if !name.is_empty() => Ok(()),
        _ => Err(FieldError::new("key.name", "must be a name in lower case")),
    }
}

fn is_token(name: &str) -> bool {
    let fits = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !name.is_empty() && name.bytes().all(fits)
}

fn check_operations(operations: &[OperationSpec]) -> Result<(), FieldError> {
    if operations.is_empty() || operations.len() > OPERATIONS_MAX {
        let reason = format!("must declare 1 to {OPERATIONS_MAX} operations");
        return Err(FieldError::new("operations", reason));
    }
    for (place, operation) in operations.iter().enumerate() {
        let field = |name: &str| format!("operations[{place}].{name}");
        if operation.deadline_ms == 0 || operation.deadline_ms > DEADLINE_MAX_MS {
            return Err(range_error(field("deadline_ms"), 1, u64::from(DEADLINE_MAX_MS)));
        }
        let known = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];
        if !known.contains(&operation.method.as_str()) {
            return Err(FieldError::new(field("method"), format!("must be one of {known:?}")));
        }
        let same = |other: &OperationSpec| {
            other.name == operation.name && other.method == operation.method
        };
        if operations[..place].iter().any(same) {
            return Err(FieldError::new(field("name"), "is declared twice for this method"));
        }
    }
    Ok(())
}

fn check_weights(weights: PolicyWeights) -> Result<(), FieldError> {
    let parts = [
        ("weights.unavailable", weights.unavailable),
        ("weights.churn", weights.churn),
        ("weights.imbalance", weights.imbalance),
    ];
    match parts.into_iter().find(|(_, weight)| *weight > 100) {
        Some((field, _)) => Err(range_error(field, 0, 100)),
        None => Ok(()),
    }
}

fn range_error(field: impl Into<String>, least: u64, most: u64) -> FieldError {
    FieldError::new(field, format!("must be from {least} to {most}"))
}

fn fixed_error(field: &str) -> FieldError {
    FieldError::new(field, "can't change: declare a new service and move the callers")
}
