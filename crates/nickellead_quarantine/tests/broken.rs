//! Which requests are kept until it is known whether their target fell.

use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_quarantine::{
    BrokenRequest, BrokenRequests, FALL_WINDOW, RequestContent, RequestMark,
};

fn broken(sent: u64, broke: u64) -> BrokenRequest {
    BrokenRequest {
        mark: RequestMark(7),
        id: "r1".to_owned(),
        sent: Timestamp(sent),
        broke: Timestamp(broke),
        waited: Duration::ZERO,
    }
}

const CONTENT: RequestContent<'_> = RequestContent {
    workspace: None,
    host: b"board.example",
    method: "GET",
    path_and_query: "/a/b",
    body: &[],
};

/// Guards innocent requests: a target that answers what was sent after the break has not fallen.
#[test]
fn an_answer_to_a_later_request_shows_that_the_target_lives() {
    let mut requests = BrokenRequests::default();
    requests.record(broken(10, 30));
    requests.record(broken(20, 40));
    requests.observe_answer(Timestamp(35));
    assert_eq!(requests.take_fallen(Timestamp(50)), [broken(20, 40)]);
    assert!(requests.is_empty());
}

/// Guards against missing a fall: what the target answered before it fell may be read after the break.
#[test]
fn an_answer_to_an_earlier_request_shows_nothing() {
    let mut requests = BrokenRequests::default();
    requests.record(broken(10, 30));
    requests.observe_answer(Timestamp(30));
    requests.observe_answer(Timestamp(5));
    assert_eq!(requests.take_fallen(Timestamp(31)).len(), 1);
}

/// Guards innocent requests: a target that ends long after a connection broke ends for another reason.
#[test]
fn a_fall_long_after_the_break_concerns_no_request() {
    let mut requests = BrokenRequests::default();
    requests.record(broken(10, 30));
    let late = Timestamp(30) + FALL_WINDOW;
    assert!(requests.take_fallen(late).is_empty());
}

/// Guards innocent requests against sharing the mark of one that makes targets fall.
#[test]
fn marks_differ_in_each_part_of_the_content() {
    let other = [
        RequestContent { workspace: Some(""), ..CONTENT },
        RequestContent { workspace: Some("w"), ..CONTENT },
        RequestContent { host: b"other.example", ..CONTENT },
        RequestContent { method: "PUT", ..CONTENT },
        RequestContent { path_and_query: "/a/b?c", ..CONTENT },
        RequestContent { path_and_query: "/a/", body: &[b"b"], ..CONTENT },
        RequestContent { body: &[b"x"], ..CONTENT },
    ];
    let marks = other.map(|content| RequestMark::of(&content));
    assert!(marks.iter().all(|mark| *mark != RequestMark::of(&CONTENT)));
    assert!((1..marks.len()).all(|index| !marks[..index].contains(&marks[index])));
}

/// Guards VMs that tell each other marks: a version that derives others would suspect and free nothing.
#[test]
fn the_mark_of_a_content_never_changes() {
    assert_eq!(RequestMark::of(&CONTENT).to_string(), "d48dacbfc1819d0d");
}
