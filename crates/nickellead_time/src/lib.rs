//! The clock that counts suspended time, and the one timer service.
//!
//! Parts of a process subscribe to the [`TimerService`] and get a tick into
//! their own ring; nothing else in a process sleeps or reads a clock for its
//! decisions.

mod clock;
mod timer;

pub use clock::BootClock;
pub use timer::{TickSink, TimerService};
