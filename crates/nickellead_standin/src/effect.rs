//! What stand-in targets record of the requests that had their effect.

use std::path::Path;

use nickellead_core::Name;
use serde::{Deserialize, Serialize};

/// One request that had its effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EffectRecord {
    /// When, in microseconds on the machine's clock.
    pub at_us: u64,
    /// The target that ran it.
    pub target: Name,
    /// The service.
    pub service: String,
    /// The caller's number of the operation; 0 when it gave none.
    pub operation: u64,
    /// The shard it ran under.
    pub shard: u32,
    /// The epoch it ran under.
    pub epoch: u64,
}

/// Reads the effects that a target appended to a file; a torn last line is left out.
///
/// # Errors
/// The system's error when the file can't be read.
pub fn read_effects(path: &Path) -> std::io::Result<Vec<EffectRecord>> {
    let text = std::fs::read_to_string(path)?;
    Ok(text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect())
}
