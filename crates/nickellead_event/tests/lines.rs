//! One event is one line, whatever callers put into it.

use nickellead_event::{EventName, event_line};

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
