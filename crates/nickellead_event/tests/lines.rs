//! Guards against log lines that callers can forge, and against undocumented events and fields.

use nickellead_event::{EventName, event_line, events_page};

#[test]
fn plain_values_are_not_quoted() {
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

#[test]
fn the_events_page_matches_the_table() {
    let page = include_str!("../../../docs/EVENTS.md");
    assert_eq!(page, events_page(), "regenerate the page with the command in its head");
}

#[test]
fn event_names_are_unique_and_can_be_parsed() {
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
