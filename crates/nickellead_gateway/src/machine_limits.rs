//! What a process may hold, derived from the descriptors of its machine.

/// Most connections of callers, whatever the number of descriptors.
const MAX_CONNECTIONS: usize = 2_000;
/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Descriptors for listeners, other VMs, the store and readiness checks.
const LINK_DESCRIPTORS: u64 = 256;
/// A caller's connection needs at most one connection to a target at a time.
const DESCRIPTORS_PER_CALLER: u64 = 2;

/// Most connections of callers of a process with so many descriptors; `None` if unknown.
pub(crate) fn max_connections(descriptors: Option<u64>) -> usize {
    let Some(descriptors) = descriptors else { return MAX_CONNECTIONS };
    let free = descriptors.saturating_sub(FILE_DESCRIPTORS + LINK_DESCRIPTORS);
    let callers = usize::try_from(free / DESCRIPTORS_PER_CALLER).unwrap_or(MAX_CONNECTIONS);
    callers.clamp(1, MAX_CONNECTIONS)
}
