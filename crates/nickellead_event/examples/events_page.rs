//! Prints the content of `docs/EVENTS.md`.
#![allow(clippy::print_stdout, reason = "the page is the output of this example")]

fn main() {
    print!("{}", nickellead_event::events_page());
}
