//! Prints `docs/EVENTS.md` from the table of events.
#![allow(clippy::print_stdout, reason = "an example speaks to its reader")]

fn main() {
    print!("{}", nickellead_event::events_page());
}
