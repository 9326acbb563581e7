//! Explanations of requests from lines collected from several VMs.
#![allow(clippy::unwrap_used)]

use nickellead_report::{LogLine, explain_request, read_lines};

const LOGS: &str = "\
6.6738 front-a-4 2026-12-02T10:00:00.1Z [INFO] event=order-failed order=grant outcome=unanswered target=i-7 first=0 last=9 fence=1
8.1969 front-a-4 event=target-changed target=i-7 service=boards state=gone
8.1970 front-b-1 event=target-changed target=i-7 service=boards state=gone
7.5643 front-a-3 event=mandate-taken vm=front-a-3
9.0000 front-a-4 event=request-retried request=r-2 target=i-8 reason=late after_ms=277
9.0001 front-a-4 event=request-failed request=r-2 route=pay error=answer-late after_ms=278 version=4
9.0261 front-a-4 event=request-failed request=r-1 route=view error=move-too-long after_ms=402 key=5 owner=i-7 fence=2 version=4
9.1000 front-a-4 event=request-retried request=r-4 target=i-9 reason=broken after_ms=60
9.1001 front-a-4 event=request-failed request=r-4 route=pay error=answer-lost after_ms=60 version=4
9.2 front-a-4 event=target-leaving target=i-5
9.3 front-a-4 event=target-paused target=i-5 pause_ms=3000
9.4 front-a-4 event=request-failed request=r-6 route=view error=target-paused after_ms=0 key=5 owner=i-5 fence=2 version=4
9.5 front-a-4 event=request-answered request=r-3 route=view status=200 after_ms=12 version=4
9.52 front-a-5 event=zone-out-of-reach zone=zone-b in_reach=false first_hand=true
9.55 front-a-5 event=request-failed request=r-7 route=view error=target-unreachable after_ms=0 key=5 owner=i-11 fence=2 version=4
9.56 front-a-6 event=vm-cut-off cut_off=true refused=4 silent=0
9.57 front-a-7 event=request-assisted request=r-8 result=overloaded after_ms=5
9.58 front-a-6 event=request-handed-over request=r-8 address=10.1.0.7:7621 result=overloaded after_ms=8
9.58 front-a-6 event=request-failed request=r-8 route=view error=overloaded after_ms=8 key=5 owner=i-12 fence=2 version=4
9.6 front-a-4 event=log-lines-dropped count=3
nothing of ours
";

fn cause_of(id: &str) -> String {
    explain_request(id, &read_lines([LOGS])).cause.join("\n")
}

/// The owner of the key was lost while another VM had just taken the mandate.
#[test]
fn a_refusal_is_traced_to_the_lost_owner() {
    let explanation = explain_request("r-1", &read_lines([LOGS]));
    let cause = explanation.cause.join("\n");
    assert!(cause.contains("move-too-long") && cause.contains("did not run"), "{cause}");
    assert!(cause.contains("i-7 was gone from 8.197 s on"), "{cause}");
    assert!(cause.contains("1 orders to i-7 failed"), "{cause}");
    assert!(cause.contains("front-a-3 took the mandate at 7.564 s"), "{cause}");
    assert_eq!(explanation.lines.len(), 1);
    let gone = explanation.context.iter().filter(|line| line.text.contains("state=gone"));
    assert_eq!(gone.count(), 1, "the same change logged by two VMs is listed once");
    assert_eq!(explanation.missing, ["3 lines were dropped because the log output was not read"]);
}

#[test]
fn a_late_response_is_traced_to_the_target_of_the_request() {
    let cause = cause_of("r-2");
    assert!(cause.contains("answer-late") && cause.contains("may have run"), "{cause}");
    assert!(cause.contains("the attempt at i-8 ended after 277 ms: late"), "{cause}");
}

#[test]
fn a_refusal_is_traced_to_the_signals_of_the_owner() {
    let cause = cause_of("r-6");
    assert!(cause.contains("target-paused") && cause.contains("did not run"), "{cause}");
    assert!(cause.contains("i-5 signaled at 9.200 s that it is leaving"), "{cause}");
    assert!(cause.contains("i-5 requested at 9.300 s a pause of 3000 ms"), "{cause}");
}

/// The owner was never tried for this request, because its zone was out of reach.
#[test]
fn a_refusal_is_shown_with_the_zone_out_of_reach() {
    let explanation = explain_request("r-7", &read_lines([LOGS]));
    let lost = |line: &LogLine| line.text.contains("zone=zone-b in_reach=false");
    assert!(explanation.context.iter().any(lost), "{:?}", explanation.context);
}

#[test]
fn an_unknown_outcome_is_traced_to_the_broken_connection() {
    let cause = cause_of("r-4");
    assert!(cause.contains("answer-lost") && cause.contains("may have run"), "{cause}");
    assert!(cause.contains("the attempt at i-9 ended after 60 ms: broken"), "{cause}");
}

#[test]
fn an_answered_request_and_an_unknown_request_are_explained() {
    assert_eq!(cause_of("r-3"), "a target responded with status 200 after 12 ms");
    let explanation = explain_request("r-5", &read_lines([LOGS]));
    assert!(explanation.cause.is_empty());
    assert!(
        explanation.missing[0].contains("no line names this request"),
        "{:?}",
        explanation.missing
    );
}

#[test]
fn quoted_values_are_unescaped() {
    let value = "x\n\"=\u{1f} ende";
    let text = nickellead_event::event_line(
        nickellead_event::EventName::RequestFailed,
        &[("request", &value), ("after_ms", &12)],
    );
    let line = LogLine::read(&text).unwrap();
    assert_eq!((line.field("request"), line.field("after_ms")), (Some(value), Some("12")));
}

#[test]
fn lines_without_a_collector_prefix_have_a_time_and_no_vm() {
    let line =
        LogLine::read("2026-12-02T15:53:22.824Z [WARN] event=store-lost reason=silent").unwrap();
    assert!(line.vm.is_none() && line.at > 1.7e9, "{line:?}");
}

/// A request that went through two VMs looked as if the first one had refused it by itself.
#[test]
fn a_refusal_of_another_vm_is_traced_to_the_vm_that_was_cut_off() {
    let explanation = explain_request("r-8", &read_lines([LOGS]));
    let cause = explanation.cause.join("\n");
    let handed_over =
        "front-a-6 reached no target and handed it to the VM at 10.1.0.7:7621: overloaded";
    assert!(cause.contains(handed_over), "{cause}");
    assert_eq!(explanation.lines.len(), 3);
    let cut_off = |line: &LogLine| line.text.contains("event=vm-cut-off");
    assert!(explanation.context.iter().any(cut_off), "{:?}", explanation.context);
}
