//! A clock that includes suspended time, and a timer service.
//!
//! Components of a process subscribe to the [`TimerService`] and receive periodic ticks with the
//! current time, on which they base their decisions instead of reading a clock.

mod clock;
mod timer;

pub use clock::BootClock;
pub use timer::{TickSink, TimerService};
