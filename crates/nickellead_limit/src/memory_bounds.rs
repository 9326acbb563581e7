//! How the memory of a machine is divided.

use std::fs;

/// Bytes of one MB, the unit of settings.
const BYTES_PER_MB: u64 = 1_000_000;
/// Bytes of a kibibyte, the unit of the operating system's figures.
const KIBIBYTE: u64 = 1_024;
/// Assumed memory of a machine that does not tell how much it has, in bytes.
const DEFAULT_MACHINE_BYTES: u64 = 512_000_000;
/// File in which the operating system tells the memory of the machine.
const MACHINE_MEMORY_FILE: &str = "/proc/meminfo";

/// Requests and responses may take the memory divided by this.
const SHARED_DIVISOR: u64 = 3;
/// Connections of callers may take the memory divided by this.
const CONNECTIONS_DIVISOR: u64 = 4;
/// What callers may take together, in fifths of the memory. The rest is for code and cluster state.
const TOTAL_FIFTHS: u64 = 4;

/// Most bytes that one process holds for its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBounds {
    /// Requests and responses.
    pub shared: usize,
    /// One body that does not fit among the others; 0 if there may be none.
    pub single: usize,
    /// Connections.
    pub connections: usize,
    /// Everything.
    pub total: usize,
}

impl MemoryBounds {
    /// No bounds.
    pub const NONE: Self =
        Self { shared: usize::MAX, single: usize::MAX, connections: usize::MAX, total: usize::MAX };

    /// A bound on requests and responses only.
    #[must_use]
    pub const fn shared_only(bytes: usize) -> Self {
        Self { shared: bytes, single: 0, ..Self::NONE }
    }

    /// Bounds of a process that has this many bytes of memory.
    #[must_use]
    pub fn of_machine(bytes: u64) -> Self {
        let size = |bytes| usize::try_from(bytes).unwrap_or(usize::MAX);
        let total = size(bytes / 5 * TOTAL_FIFTHS);
        Self {
            shared: size(bytes / SHARED_DIVISOR),
            single: total,
            connections: size(bytes / CONNECTIONS_DIVISOR),
            total,
        }
    }

    /// Bounds of a process whose settings tell the memory in MB; `None` for what the operating system tells.
    #[must_use]
    pub fn of_settings(memory_mb: Option<u64>) -> Self {
        Self::of_machine(
            memory_mb.map_or_else(machine_memory, |mb| mb.saturating_mul(BYTES_PER_MB)),
        )
    }

    /// An equal part for each of several threads.
    #[must_use]
    pub fn divided_by(self, threads: usize) -> Self {
        let part = |bytes: usize| bytes / threads.max(1);
        Self {
            shared: part(self.shared),
            single: part(self.single),
            connections: part(self.connections),
            total: part(self.total),
        }
    }
}

/// Memory of this machine in bytes, as the operating system tells it.
#[must_use]
pub fn machine_memory() -> u64 {
    let text = fs::read_to_string(MACHINE_MEMORY_FILE).unwrap_or_default();
    parse_machine_memory(&text).unwrap_or(DEFAULT_MACHINE_BYTES)
}

/// The line `MemTotal: N kB`.
fn parse_machine_memory(text: &str) -> Option<u64> {
    let value = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kibibytes: u64 = value.trim().strip_suffix("kB")?.trim_end().parse().ok()?;
    kibibytes.checked_mul(KIBIBYTE)
}
