//! One event is one line, whatever callers put into it.

use nickellead_event::{EventName, event_line, events_page};

#[test]
fn plain_values_stand_as_they_are() {
    let line = event_line(EventName::RequestFailed, &[("request", &"9c41"), ("after_ms", &12)]);
    assert_eq!(line, "event=request-failed request=9c41 after_ms=12");
}

#[test]
fn a_caller_cannot_forge_a_line_or_a_pair() {
    let forged = "x\nevent=mandate-taken vm=evil";
    let line = event_line(EventName::RequestFailed, &[("request", &forged)]);
    assert_eq!(line, "event=request-failed request=\"x\\nevent=mandate-taken vm=evil\"");
    assert_eq!(line.lines().count(), 1);
}

/// Every event stands in the page with its fields, and nothing else does.
#[test]
fn the_page_of_events_is_that_of_the_table() {
    let page = include_str!("../../../docs/EVENTS.md");
    assert_eq!(page, events_page(), "write it anew as its head says");
}

#[test]
fn names_of_events_are_read_back_and_differ() {
    for event in EventName::ALL {
        assert_eq!(EventName::parse(event.as_str()), Some(*event));
    }
    assert_eq!(EventName::parse("nothing"), None);
}

#[test]
#[should_panic(expected = "its row of the table does not name")]
fn a_field_that_is_not_documented_fails_tests() {
    let _ = event_line(EventName::StoreLost, &[("colour", &"red")]);
}
