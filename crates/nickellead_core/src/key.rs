//! Maps the keys of callers to shards.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum length of a caller's key, in bytes.
pub const MAX_KEY_BYTES: usize = 512;

/// Number of shards of a service.
pub type ShardCount = std::num::NonZeroU32;

/// Index of a shard, which is a fixed hash partition of a service's keys.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Encode,
    Decode,
)]
#[serde(transparent)]
pub struct ShardIndex(pub u32);

/// Shard of a key: its XXH3-64 hash, scaled to the number of shards without a division.
///
/// ```
/// use nickellead_core::{ShardCount, shard_of};
/// let count = ShardCount::new(1024).unwrap();
/// assert!(shard_of(b"clinic-7", count).0 < 1024);
/// ```
#[must_use]
pub fn shard_of(key: &[u8], count: ShardCount) -> ShardIndex {
    let hash = u128::from(xxh3_64(key));
    let scaled = (hash * u128::from(count.get())) >> 64;
    ShardIndex(scaled as u32)
}
