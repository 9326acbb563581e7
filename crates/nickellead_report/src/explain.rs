//! Explains one request from its log lines and the events around it.

use std::fmt;

use nickellead_core::{ErrorKind, OutcomeClass};
use nickellead_event::{EventName, REQUEST_ANSWERED_SAMPLE_INTERVAL};

use crate::LogLine;
use crate::cause::{
    describe_assistants, describe_mandate_change, describe_similar_failures, describe_targets,
};
use crate::context::{find_context, involved_targets};

/// Seconds of context before a failure: covers the lease of a lost target plus the grace period of a
/// previous mandate holder.
const CONTEXT_BEFORE_S: f64 = 10.0;
/// Seconds of context after a failure: VMs may detect a loss after requests fail because of it.
const CONTEXT_AFTER_S: f64 = 1.0;

/// Explanation of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestExplanation {
    /// Lines that name the request, sorted by time.
    pub lines: Vec<LogLine>,
    /// Changes of its targets, its VM and the mandate around the time of the failure.
    pub context: Vec<LogLine>,
    /// Likely cause of the outcome, one sentence per entry.
    pub cause: Vec<String>,
    /// Gaps in the logs that limit the explanation.
    pub missing: Vec<String>,
}

/// Explains a request from the logs of all VMs.
#[must_use]
pub fn explain_request(id: &str, lines: &[LogLine]) -> RequestExplanation {
    let own: Vec<LogLine> =
        lines.iter().filter(|line| line.field("request") == Some(id)).cloned().collect();
    let mut explanation = RequestExplanation {
        context: Vec::new(),
        cause: Vec::new(),
        missing: find_gaps(&own, lines),
        lines: own,
    };
    let failed =
        explanation.lines.iter().rfind(|line| line.event == EventName::RequestFailed).cloned();
    match failed {
        Some(failed) => explain_failure(&mut explanation, &failed, lines),
        None => explain_response(&mut explanation),
    }
    explanation
}

/// Lists the gaps in the logs: no line of the request, or dropped lines.
fn find_gaps(own: &[LogLine], lines: &[LogLine]) -> Vec<String> {
    let mut missing = Vec::new();
    if own.is_empty() {
        missing.push(format!(
            "no line names this request: it was answered (one in {REQUEST_ANSWERED_SAMPLE_INTERVAL} responses is \
             logged), or the log of the VM that took it is missing"
        ));
    }
    let dropped: u64 = lines
        .iter()
        .filter(|line| line.event == EventName::LinesDropped)
        .filter_map(|line| line.field("count")?.parse::<u64>().ok())
        .sum();
    if dropped > 0 {
        missing.push(format!("{dropped} lines were dropped because the log output was not read"));
    }
    missing
}

/// Adds the target's response, if it was logged.
fn explain_response(explanation: &mut RequestExplanation) {
    let last = explanation.lines.last();
    let Some(answered) = last.filter(|line| line.event == EventName::RequestAnswered) else {
        return;
    };
    let status = answered.field("status").unwrap_or("?");
    let after = answered.field("after_ms").unwrap_or("?");
    explanation.cause.push(format!("a target responded with status {status} after {after} ms"));
}

/// Adds the meaning of the error, the context and the likely cause.
fn explain_failure(explanation: &mut RequestExplanation, failed: &LogLine, lines: &[LogLine]) {
    let code = failed.field("error").unwrap_or_default();
    let Some(kind) = ErrorKind::parse(code) else {
        explanation
            .missing
            .push(format!("error {code:?} is not in the error table of this version"));
        return;
    };
    let outcome = match kind.response().outcome {
        OutcomeClass::NotRun => "it did not run",
        OutcomeClass::Unknown => "it may have run",
    };
    explanation.cause.push(format!("{code}: {} ({outcome})", kind.response().help));
    let nearby: Vec<&LogLine> = lines
        .iter()
        .filter(|line| {
            (failed.at - CONTEXT_BEFORE_S..=failed.at + CONTEXT_AFTER_S).contains(&line.at)
        })
        .collect();
    let targets = involved_targets(&explanation.lines);
    explanation.context = find_context(&nearby, &targets, failed.vm.as_deref());
    explanation.cause.extend(describe_assistants(&explanation.lines));
    explanation.cause.extend(describe_targets(&explanation.lines, &targets, &nearby));
    if failed.field("key").is_some() {
        // Only requests for owned keys depend on the mandate holder.
        explanation.cause.extend(describe_mandate_change(&explanation.context));
    }
    explanation.cause.extend(describe_similar_failures(failed, &nearby));
}

impl fmt::Display for RequestExplanation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (title, lines) in [("lines", &self.lines), ("context", &self.context)] {
            if !lines.is_empty() {
                writeln!(out, "{title}:")?;
                lines.iter().try_for_each(|line| writeln!(out, "  {}", line.text))?;
            }
        }
        for (title, sentences) in [("cause", &self.cause), ("missing", &self.missing)] {
            sentences.iter().try_for_each(|sentence| writeln!(out, "{title}: {sentence}"))?;
        }
        Ok(())
    }
}
