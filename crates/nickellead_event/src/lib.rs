//! Log events of the router, written as one line of key=value pairs each.
//!
//! All crates log through [`log_event`], so that log lines have one format and a fixed set of event
//! and field names. `docs/EVENTS.md` documents them.

mod event;

pub use event::{EventName, REQUEST_ANSWERED_SAMPLE_INTERVAL, event_line, events_page, log_event};
