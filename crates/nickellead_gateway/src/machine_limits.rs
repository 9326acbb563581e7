//! What a process may hold, derived from the memory and the descriptors of its machine.

/// Part of the memory for bodies of requests and responses.
///
/// The rest is for code and cluster state, for the buffers of connections, and for bytes that the
/// operating system has received and the process has not read.
const HELD_FRACTION: f64 = 1.0 / 3.0;
/// Bytes of one MB.
const BYTES_PER_MB: f64 = 1e6;

/// Most connections of callers, whatever the number of descriptors.
const MAX_CONNECTIONS: usize = 2_000;
/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Descriptors for listeners, other VMs, the store and readiness checks.
const LINK_DESCRIPTORS: u64 = 256;
/// A caller's connection needs at most one connection to a target at a time.
const DESCRIPTORS_PER_CALLER: u64 = 2;

/// Most bytes of requests and responses that the process holds.
pub(crate) fn max_held_bytes(memory_mb: u64) -> usize {
    (memory_mb as f64 * BYTES_PER_MB * HELD_FRACTION) as usize
}

/// Most connections of callers of a process with so many descriptors; `None` if unknown.
pub(crate) fn max_connections(descriptors: Option<u64>) -> usize {
    let Some(descriptors) = descriptors else { return MAX_CONNECTIONS };
    let free = descriptors.saturating_sub(FILE_DESCRIPTORS + LINK_DESCRIPTORS);
    let callers = usize::try_from(free / DESCRIPTORS_PER_CALLER).unwrap_or(MAX_CONNECTIONS);
    callers.clamp(1, MAX_CONNECTIONS)
}
