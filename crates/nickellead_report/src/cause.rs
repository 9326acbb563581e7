//! Sentences about what a request met: its targets, who decided, and others like it.

use std::collections::BTreeSet;

use nickellead_event::EventName;

use crate::LogLine;

/// Other failures of the same kind from which one target or route is said to be the cause.
const MANY: usize = 3;

/// What happened to each target involved.
pub(crate) fn tell_targets(
    own: &[LogLine],
    targets: &BTreeSet<String>,
    near: &[&LogLine],
) -> Vec<String> {
    let request = own.first().and_then(|line| line.field("request"));
    let mut told = Vec::new();
    for target in targets {
        let of_target = |line: &&LogLine| line.field("target") == Some(target);
        let about: Vec<&LogLine> = near.iter().copied().filter(of_target).collect();
        told.extend(own.iter().filter(of_target).map(|line| tell_try(target, line)));
        told.extend(tell_leaving(target, &about));
        told.extend(tell_signs(target, &about));
        told.extend(tell_orders(target, &about));
        told.extend(tell_other_tries(target, &about, request));
    }
    told
}

/// How one try of the request ended.
fn tell_try(target: &str, line: &LogLine) -> String {
    let reason = line.field("reason").unwrap_or("?");
    let after = line.field("after_ms").unwrap_or("?");
    format!("the try at {target} ended after {after} ms: {reason}")
}

/// When the target stopped being ready.
fn tell_leaving(target: &str, about: &[&LogLine]) -> Option<String> {
    let leaves = |line: &&&LogLine| {
        line.event == EventName::TargetChanged && line.field("state") != Some("ready")
    };
    let line = about.iter().find(leaves)?;
    let state = line.field("state").unwrap_or("?");
    Some(format!("{target} was {state} from {:.3} s on", line.at))
}

/// What the target told of itself on its answers.
fn tell_signs(target: &str, about: &[&LogLine]) -> Vec<String> {
    let first = |event: EventName| about.iter().find(|line| line.event == event);
    let leaves = first(EventName::TargetLeaving).or(first(EventName::OwnerLeaving));
    let leaves = leaves.map(|line| format!("{target} said at {:.3} s that it leaves", line.at));
    let pauses = first(EventName::TargetPaused).map(|line| {
        let pause = line.field("pause_ms").unwrap_or("?");
        format!("{target} asked at {:.3} s for a pause of {pause} ms", line.at)
    });
    let limits = first(EventName::TargetLimited).map(|line| {
        let rate = line.field("rate").unwrap_or("?");
        format!("{target} named at {:.3} s a limit of {rate} requests a second", line.at)
    });
    leaves.into_iter().chain(pauses).chain(limits).collect()
}

/// How many orders to the target failed.
fn tell_orders(target: &str, about: &[&LogLine]) -> Option<String> {
    let orders = about.iter().filter(|line| line.event == EventName::OrderFailed).count();
    (orders > 0).then(|| format!("{orders} orders to {target} failed around that time"))
}

/// Whether many other requests failed at the target.
fn tell_other_tries(target: &str, about: &[&LogLine], request: Option<&str>) -> Option<String> {
    let other = |line: &&&LogLine| {
        line.event == EventName::RequestRetried && line.field("request") != request
    };
    let others = about.iter().filter(other).count();
    (others >= MANY)
        .then(|| format!("{others} other requests failed at {target}: look at the target"))
}

/// Whether another VM had just begun to decide about owners.
pub(crate) fn tell_decider(context: &[LogLine]) -> Option<String> {
    let taken = context.iter().rfind(|line| line.event == EventName::MandateTaken)?;
    let vm = taken.field("vm").or(taken.vm.as_deref()).unwrap_or("another VM");
    Some(format!(
        "{vm} took the mandate at {:.3} s: what it did not know had to settle first",
        taken.at
    ))
}

/// Whether many requests of the route ended the same way.
pub(crate) fn tell_crowd(failed: &LogLine, near: &[&LogLine]) -> Option<String> {
    let alike = |line: &&&LogLine| {
        line.event == EventName::RequestFailed
            && line.field("error") == failed.field("error")
            && line.field("route") == failed.field("route")
    };
    let others = near.iter().filter(alike).count().saturating_sub(1);
    let route = failed.field("route")?;
    (others >= MANY).then(|| format!("{others} other requests of {route} ended the same way"))
}
