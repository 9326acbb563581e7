//! The closed list of log events, written as one line of key=value pairs each.
//!
//! Every part of the product logs through [`log_event`], so that a reader of
//! logs meets one form and one list of names; `docs/EVENTS.md` lists them.

mod event;

pub use event::{EventName, REQUEST_ANSWERED_SAMPLE_INTERVAL, event_line, events_page, log_event};
