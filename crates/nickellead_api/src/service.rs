//! Declared services.

use bincode::{Decode, Encode};
use nickellead_core::{Name, ShardCount, ShardIndex};
use serde::{Deserialize, Serialize};

use crate::FieldError;

/// Maximum number of shards of one service.
pub const MAX_SHARDS: u32 = 131_072;
/// Maximum number of zones of one service.
const MAX_ZONES: usize = 64;
/// Maximum number of operations of one service.
const MAX_OPERATIONS: usize = 64;
/// Maximum deadline of an operation.
const MAX_DEADLINE_MS: u32 = 120_000;
/// Maximum body limit that a service may declare.
const MAX_BODY_LIMIT_BYTES: u32 = 16 * 1024 * 1024;

/// Declaration of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Availability zones that own the keys, with an equal number of shards each.
    pub zones: Vec<Name>,
    /// Number of hash partitions; immutable.
    #[serde(default = "default_shards")]
    pub shards: u32,
    /// Location of the key in a request.
    pub key: KeySource,
    /// Operations that callers may request.
    pub operations: Vec<OperationSpec>,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit: u32,
    /// How targets check grants.
    #[serde(default)]
    pub fencing: FencingMode,
    /// Handling of the keys of a zone that is disconnected.
    #[serde(default)]
    pub isolation: IsolationPolicy,
    /// Weights of the placement policy.
    #[serde(default)]
    pub weights: PolicyWeights,
}

const fn default_shards() -> u32 {
    1_024
}

const fn default_body_limit() -> u32 {
    64 * 1024
}

/// Location of the key in a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(tag = "from", rename_all = "lowercase", deny_unknown_fields)]
pub enum KeySource {
    /// The path segment at this index; the service's name is segment 0.
    Path {
        /// Index of the segment.
        segment: u8,
    },
    /// The value of a header.
    Header {
        /// Name of the header, in lower case.
        name: String,
    },
    /// The value of a query parameter.
    Query {
        /// Name of the parameter.
        name: String,
    },
}

/// Whether a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "lowercase")]
pub enum RepeatRule {
    /// Sent again only if the earlier attempt provably did not run.
    Once,
    /// May be sent again within the deadline.
    Repeatable,
}

/// Priority of an operation under load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "lowercase")]
pub enum UrgencyClass {
    /// Latency-sensitive: somebody waits for the response.
    #[default]
    Urgent,
    /// May be delayed in favour of urgent operations.
    Deferrable,
}

/// One operation, identified by the method and the path segment after the service's name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct OperationSpec {
    /// The second segment of the path.
    pub name: Name,
    /// HTTP method, in upper case.
    pub method: String,
    /// Whether the router may repeat a request.
    pub repeat: RepeatRule,
    /// Priority under load.
    #[serde(default)]
    pub urgency: UrgencyClass,
    /// Maximum time until the response, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u32,
}

const fn default_deadline() -> u32 {
    2_000
}

/// How targets check grants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "lowercase")]
pub enum FencingMode {
    /// Targets refuse requests for keys that they do not own.
    #[default]
    Checked,
}

/// Handling of the keys of a zone that is disconnected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "lowercase")]
pub enum IsolationPolicy {
    /// The keys stay in their zone, and requests from other zones are refused.
    #[default]
    Hold,
}

/// Weights of the placement policy, each from 0 to 100.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields, default)]
pub struct PolicyWeights {
    /// Weight of the time for which keys are unavailable.
    pub unavailable: u8,
    /// Weight of ownership moves.
    pub churn: u8,
    /// Weight of unequal load of targets.
    pub imbalance: u8,
}

impl Default for PolicyWeights {
    fn default() -> Self {
        Self { unavailable: 10, churn: 10, imbalance: 10 }
    }
}

impl ServiceSpec {
    /// Validates the constraints that the types do not express.
    ///
    /// # Errors
    /// The first invalid field.
    pub fn check(&self) -> Result<(), FieldError> {
        check_zones(&self.zones)?;
        if self.shards == 0 || self.shards > MAX_SHARDS {
            return Err(range_error("shards", 1, u64::from(MAX_SHARDS)));
        }
        if (self.shards as usize) < self.zones.len() {
            return Err(FieldError::new("shards", "must be at least the number of zones"));
        }
        if self.body_limit > MAX_BODY_LIMIT_BYTES {
            return Err(range_error("body_limit", 0, u64::from(MAX_BODY_LIMIT_BYTES)));
        }
        check_key(&self.key)?;
        check_operations(&self.operations)?;
        check_weights(self.weights)
    }

    /// Validates that a change of the spec leaves immutable fields as they are.
    ///
    /// # Errors
    /// The first immutable field that differs.
    pub fn check_change(&self, old: &Self) -> Result<(), FieldError> {
        if self.shards != old.shards {
            return Err(immutable_error("shards"));
        }
        if self.zones != old.zones {
            return Err(immutable_error("zones"));
        }
        Ok(())
    }

    /// Returns the number of shards, or the minimum for an invalid spec.
    #[must_use]
    pub fn shard_count(&self) -> ShardCount {
        ShardCount::new(self.shards).unwrap_or(ShardCount::MIN)
    }

    /// Returns the zone that owns a shard; `None` if the index is out of range.
    #[must_use]
    pub fn zone_of(&self, shard: ShardIndex) -> Option<&Name> {
        let count = self.zones.len();
        (0..count)
            .find(|index| zone_range(self.shards, count, *index).contains(&shard.0))
            .map(|index| &self.zones[index])
    }

    /// Returns the shards that a zone owns; empty if the service is not in the zone.
    #[must_use]
    pub fn shards_in(&self, zone: &Name) -> std::ops::Range<u32> {
        match self.zones.iter().position(|name| name == zone) {
            Some(index) => zone_range(self.shards, self.zones.len(), index),
            None => 0..0,
        }
    }
}

/// Returns the shards of the zone at `index` of `count` zones.
///
/// The ranges are contiguous, and their sizes differ by at most one.
#[must_use]
pub fn zone_range(shards: u32, count: usize, index: usize) -> std::ops::Range<u32> {
    let bound = |zones: usize| (u64::from(shards) * zones as u64 / count as u64) as u32;
    bound(index)..bound(index + 1)
}

fn check_zones(zones: &[Name]) -> Result<(), FieldError> {
    if zones.is_empty() || zones.len() > MAX_ZONES {
        return Err(FieldError::new("zones", format!("must name 1 to {MAX_ZONES} zones")));
    }
    for (index, zone) in zones.iter().enumerate() {
        if zones[..index].contains(zone) {
            return Err(FieldError::new(format!("zones[{index}]"), "names a zone twice"));
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
    let is_valid = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !name.is_empty() && name.bytes().all(is_valid)
}

fn check_operations(operations: &[OperationSpec]) -> Result<(), FieldError> {
    if operations.is_empty() || operations.len() > MAX_OPERATIONS {
        let reason = format!("must declare 1 to {MAX_OPERATIONS} operations");
        return Err(FieldError::new("operations", reason));
    }
    for (index, operation) in operations.iter().enumerate() {
        let field = |name: &str| format!("operations[{index}].{name}");
        if operation.deadline_ms == 0 || operation.deadline_ms > MAX_DEADLINE_MS {
            return Err(range_error(field("deadline_ms"), 1, u64::from(MAX_DEADLINE_MS)));
        }
        let methods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];
        if !methods.contains(&operation.method.as_str()) {
            return Err(FieldError::new(field("method"), format!("must be one of {methods:?}")));
        }
        let is_duplicate = |other: &OperationSpec| {
            other.name == operation.name && other.method == operation.method
        };
        if operations[..index].iter().any(is_duplicate) {
            return Err(FieldError::new(field("name"), "is declared twice for this method"));
        }
    }
    Ok(())
}

fn check_weights(weights: PolicyWeights) -> Result<(), FieldError> {
    let weights = [
        ("weights.unavailable", weights.unavailable),
        ("weights.churn", weights.churn),
        ("weights.imbalance", weights.imbalance),
    ];
    match weights.into_iter().find(|(_, weight)| *weight > 100) {
        Some((field, _)) => Err(range_error(field, 0, 100)),
        None => Ok(()),
    }
}

fn range_error(field: impl Into<String>, min: u64, max: u64) -> FieldError {
    FieldError::new(field, format!("must be from {min} to {max}"))
}

fn immutable_error(field: &str) -> FieldError {
    FieldError::new(field, "can't change: declare a new service and move the callers")
}
