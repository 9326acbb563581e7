//! Plays events through the state chart of a session, which is loaded from `assets/charts`.
//!
//! `cargo run --example 01_session_life`
#![allow(clippy::print_stdout)]

use nickellead_lease::{SessionEvent, charts};

fn main() {
    let chart = &charts().session;
    let mut phase = chart.initial();
    println!("a session begins as {}", phase.as_str());
    let events = [
        SessionEvent::ContactAnswered,
        SessionEvent::Synced,
        SessionEvent::Restarted,
        SessionEvent::Synced,
        SessionEvent::Expired,
        SessionEvent::ContactAnswered,
    ];
    for event in events {
        let changed = chart.advance(&mut phase, event);
        let effect = if changed { "leads to" } else { "is ignored in" };
        println!("{} {effect} {}", event.as_str(), phase.as_str());
    }
}
