//! What a process may hold, derived from the memory and the descriptors of its machine.

use nickellead_limit::{MemoryBounds, machine_memory};

/// Bytes of one MB.
const BYTES_PER_MB: u64 = 1_000_000;

/// Most connections of callers, whatever the number of descriptors.
const MAX_CONNECTIONS: usize = 2_000;
/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Descriptors for listeners, other VMs, the store and readiness checks.
const LINK_DESCRIPTORS: u64 = 256;
/// A caller's connection needs at most one connection to a target at a time.
const DESCRIPTORS_PER_CALLER: u64 = 2;

/// Most bytes that the process holds for callers, on a machine with so much memory; `None` for what the
/// operating system tells.
pub(crate) fn memory_bounds(memory_mb: Option<u64>) -> MemoryBounds {
    let bytes = memory_mb.map_or_else(machine_memory, |mb| mb.saturating_mul(BYTES_PER_MB));
    MemoryBounds::of_machine(bytes)
}

/// Most connections of callers of a process with so many descriptors; `None` if unknown.
pub(crate) fn max_connections(descriptors: Option<u64>) -> usize {
    let Some(descriptors) = descriptors else { return MAX_CONNECTIONS };
    let free = descriptors.saturating_sub(FILE_DESCRIPTORS + LINK_DESCRIPTORS);
    let callers = usize::try_from(free / DESCRIPTORS_PER_CALLER).unwrap_or(MAX_CONNECTIONS);
    callers.clamp(1, MAX_CONNECTIONS)
}
