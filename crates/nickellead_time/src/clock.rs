//! Clock of the machine.

use nickellead_core::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// Clock that counts the time since boot, including time during which the machine was suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Current time in milliseconds since boot.
    #[must_use]
    pub fn now(self) -> Timestamp {
        let time = clock_gettime(ClockId::Boottime);
        let millis = time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000;
        Timestamp(millis)
    }

    /// Current time in microseconds since boot; comparable between processes on the same machine.
    #[must_use]
    pub fn micros(self) -> u64 {
        let time = clock_gettime(ClockId::Boottime);
        time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
    }
}
