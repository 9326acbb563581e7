//! Durations in messages, after a part of them has passed.
//!
//! Messages tell times as durations, since the clocks of two VMs are unrelated. What passes between writing a
//! message and handling it has to be taken off by whoever knows of it: the sender while it looks for a
//! dispatcher, the receiver for the way.

use std::time::Duration;

use super::messages::{AcquireCall, AssistCall, DispatchCall, ForwardCall, ZoneReport};
use super::wire::millis;

impl AcquireCall {
    /// Takes off the time that has passed since the call was written.
    pub(super) fn pass_time(&mut self, passed: Duration) {
        let passed_ms = millis(passed);
        self.due_in_ms = self.due_in_ms.saturating_sub(passed_ms);
        self.deadline_in_ms = self.deadline_in_ms.saturating_sub(passed_ms);
    }
}

impl ForwardCall {
    /// Takes off the time that has passed since the call was written.
    pub(super) fn pass_time(&mut self, passed: Duration) {
        self.acquire.pass_time(passed);
    }
}

impl AssistCall {
    /// Takes off the time that has passed since the call was written.
    pub(super) fn pass_time(&mut self, passed: Duration) {
        let passed_ms = millis(passed);
        self.caller_age_ms = self.caller_age_ms.saturating_add(passed_ms);
        self.deadline_in_ms = self.deadline_in_ms.saturating_sub(passed_ms);
    }
}

impl ZoneReport {
    /// Adds the time that has passed since the report was written.
    pub(super) fn pass_time(&mut self, passed: Duration) {
        self.seen_ms_ago = self.seen_ms_ago.saturating_add(millis(passed));
    }
}

impl DispatchCall {
    /// Lets this much time pass since the message was written.
    pub(super) fn pass_time(&mut self, passed: Duration) {
        match self {
            Self::Acquire(call) => call.pass_time(passed),
            Self::Forward(call) => call.pass_time(passed),
            Self::Assist(call) => call.pass_time(passed),
            Self::ZoneReport(report) => report.pass_time(passed),
            Self::Release(_) | Self::ProbeAssist => {}
        }
    }
}
