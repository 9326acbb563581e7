//! Reading the time.

use nickellead_core::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// The machine's clock since boot, which goes on while the machine is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// The time now.
    #[must_use]
    pub fn now(self) -> Timestamp {
        let time = clock_gettime(ClockId::Boottime);
        let millis = time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000;
        Timestamp(millis)
    }

    /// The time now in microseconds; comparable between processes of one machine.
    #[must_use]
    pub fn micros(self) -> u64 {
        let time = clock_gettime(ClockId::Boottime);
        time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
    }
}
