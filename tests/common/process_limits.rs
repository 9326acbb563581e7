//! What a process takes of its machine.

use std::fs;

/// Bytes of one MB.
const BYTES_PER_MB: u64 = 1_000_000;

/// Number of open descriptors of a process.
pub fn descriptors(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// Most resident memory of a process so far, in bytes; `None` once it has ended.
fn peak_memory(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kibibytes: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kibibytes * 1_024)
}

/// Asserts that a process runs, and that its memory and its descriptors have stayed within these bounds.
pub fn assert_within(label: &str, process: u32, memory_mb: u64, most_descriptors: usize) {
    // A process that has ended and was not waited for has no memory.
    let peak = peak_memory(process).unwrap_or_else(|| panic!("{label}: the process has ended"));
    let most = memory_mb * BYTES_PER_MB;
    eprintln!("{label}: {peak} of {most} bytes");
    assert!(peak <= most, "{label}: {peak} bytes of {most} were resident");
    let open = descriptors(process);
    assert!(open <= most_descriptors, "{label}: {open} of {most_descriptors} descriptors are open");
}
