//! Sentences on the likely cause of a failure: its targets, the mandate and similar failures.

use std::collections::BTreeSet;

use nickellead_event::EventName;

use crate::LogLine;

/// Minimum number of similar failures of other requests to report as a common cause.
const MIN_SIMILAR_FAILURES: usize = 3;

/// Describes the events of every involved target.
pub(crate) fn describe_targets(
    own: &[LogLine],
    targets: &BTreeSet<String>,
    nearby: &[&LogLine],
) -> Vec<String> {
    let request = own.first().and_then(|line| line.field("request"));
    let mut sentences = Vec::new();
    for target in targets {
        let of_target = |line: &&LogLine| line.field("target") == Some(target);
        let events: Vec<&LogLine> = nearby.iter().copied().filter(of_target).collect();
        sentences.extend(own.iter().filter(of_target).map(|line| describe_attempt(target, line)));
        sentences.extend(describe_state_change(target, &events));
        sentences.extend(describe_signals(target, &events));
        sentences.extend(describe_failed_orders(target, &events));
        sentences.extend(describe_other_attempts(target, &events, request));
    }
    sentences
}

/// Describes how one attempt of the request ended.
fn describe_attempt(target: &str, line: &LogLine) -> String {
    let reason = line.field("reason").unwrap_or("?");
    let after = line.field("after_ms").unwrap_or("?");
    format!("the attempt at {target} ended after {after} ms: {reason}")
}

/// Describes the VMs that served the request in place of the one that received it.
pub(crate) fn describe_assistants(own: &[LogLine]) -> Vec<String> {
    let handed_over = own.iter().filter(|line| line.event == EventName::RequestHandedOver);
    let describe = |line: &LogLine| {
        let vm = line.vm.as_deref().unwrap_or("the VM");
        let address = line.field("address").unwrap_or("?");
        let result = line.field("result").unwrap_or("?");
        format!("{vm} reached no target and handed it to the VM at {address}: {result}")
    };
    handed_over.map(describe).collect()
}

/// Describes when the target left the ready state.
fn describe_state_change(target: &str, events: &[&LogLine]) -> Option<String> {
    let not_ready = |line: &&&LogLine| {
        line.event == EventName::TargetChanged && line.field("state") != Some("ready")
    };
    let line = events.iter().find(not_ready)?;
    let state = line.field("state").unwrap_or("?");
    Some(format!("{target} was {state} from {:.3} s on", line.at))
}

/// Describes the signals on the target's responses: leaving, pause, limit.
fn describe_signals(target: &str, events: &[&LogLine]) -> Vec<String> {
    let first = |event: EventName| events.iter().find(|line| line.event == event);
    let leaving = first(EventName::TargetLeaving).or(first(EventName::OwnerLeaving));
    let leaving =
        leaving.map(|line| format!("{target} signaled at {:.3} s that it is leaving", line.at));
    let pause = first(EventName::TargetPaused).map(|line| {
        let pause = line.field("pause_ms").unwrap_or("?");
        format!("{target} requested at {:.3} s a pause of {pause} ms", line.at)
    });
    let limit = first(EventName::TargetLimited).map(|line| {
        let rate = line.field("rate").unwrap_or("?");
        format!("{target} reported at {:.3} s a limit of {rate} requests per second", line.at)
    });
    leaving.into_iter().chain(pause).chain(limit).collect()
}

/// Counts the orders to the target that failed.
fn describe_failed_orders(target: &str, events: &[&LogLine]) -> Option<String> {
    let orders = events.iter().filter(|line| line.event == EventName::OrderFailed).count();
    (orders > 0).then(|| format!("{orders} orders to {target} failed around that time"))
}

/// Reports whether attempts of many other requests failed at the target.
fn describe_other_attempts(
    target: &str,
    events: &[&LogLine],
    request: Option<&str>,
) -> Option<String> {
    let other = |line: &&&LogLine| {
        line.event == EventName::RequestRetried && line.field("request") != request
    };
    let others = events.iter().filter(other).count();
    (others >= MIN_SIMILAR_FAILURES)
        .then(|| format!("{others} other requests failed at {target}: check the target"))
}

/// Describes the latest change of the mandate (leader lease).
pub(crate) fn describe_mandate_change(context: &[LogLine]) -> Option<String> {
    let taken = context.iter().rfind(|line| line.event == EventName::MandateTaken)?;
    let vm = taken.field("vm").or(taken.vm.as_deref()).unwrap_or("another VM");
    Some(format!(
        "{vm} took the mandate at {:.3} s: it had to resolve unknown ownership first",
        taken.at
    ))
}

/// Reports whether many requests of the route failed with the same error.
pub(crate) fn describe_similar_failures(failed: &LogLine, nearby: &[&LogLine]) -> Option<String> {
    let is_similar = |line: &&&LogLine| {
        line.event == EventName::RequestFailed
            && line.field("error") == failed.field("error")
            && line.field("route") == failed.field("route")
    };
    let others = nearby.iter().filter(is_similar).count().saturating_sub(1);
    let route = failed.field("route")?;
    (others >= MIN_SIMILAR_FAILURES)
        .then(|| format!("{others} other requests of {route} failed with the same error"))
}
