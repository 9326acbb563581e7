//! Records of the requests that stand-in targets executed.

use std::path::Path;

use nickellead_core::Name;
use serde::{Deserialize, Serialize};

/// One executed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EffectRecord {
    /// Time of execution, in microseconds of the machine's boot clock.
    pub at_us: u64,
    /// Name of the target that executed it.
    pub target: Name,
    /// Name of the service, from the first segment of the path.
    pub service: String,
    /// Operation number set by the caller; 0 without one.
    pub operation: u64,
    /// Shard of the grant that admitted it.
    pub shard: u32,
    /// Epoch of the grant that admitted it.
    pub epoch: u64,
}

/// Reads the records that a target appended to a file; skips unreadable lines, such as a torn last one.
///
/// # Errors
/// Returns the I/O error if the file can't be read.
pub fn read_effects(path: &Path) -> std::io::Result<Vec<EffectRecord>> {
    let text = std::fs::read_to_string(path)?;
    Ok(text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect())
}
