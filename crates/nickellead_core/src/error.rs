//! Error kinds of the router and the response for each of them.

use serde::{Deserialize, Serialize};

/// What a caller may conclude from an error response about the effect of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeClass {
    /// The operation did not run, so a retry is safe.
    NotRun,
    /// The operation may have run.
    Unknown,
}

impl OutcomeClass {
    /// Value of the `nickellead-outcome` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Log level of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorLevel {
    /// Caused by the caller; counted, but not logged by default.
    Debug,
    /// Expected under load or while ownership moves.
    Info,
    /// Needs attention by an operator.
    Warn,
}

/// Response for one error kind.
#[derive(Clone, Copy, Debug)]
pub struct ErrorResponse {
    /// Error kind that the response belongs to.
    pub kind: ErrorKind,
    /// Value of the `nickellead-error` header.
    pub code: &'static str,
    /// HTTP status.
    pub status: u16,
    /// Whether the operation may have run.
    pub outcome: OutcomeClass,
    /// Delay before a retry, in milliseconds; `None` if a retry does not help.
    pub retry_after_ms: Option<u32>,
    /// Level at which the error is logged.
    pub level: ErrorLevel,
    /// Meaning of the error and what the caller can do about it.
    pub help: &'static str,
}

macro_rules! error_table {
    ($($kind:ident, $code:literal, $status:literal, $outcome:ident, $retry:expr, $level:ident, $help:literal;)*) => {
        /// Reason for which the router fails a request.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
        pub enum ErrorKind {
            $(#[doc = $help] #[error($help)] $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// The kind with this code; `None` if this version has none.
            #[must_use]
            pub fn parse(code: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|kind| kind.response().code == code)
            }

            /// Response for this kind.
            #[must_use]
            pub const fn response(self) -> ErrorResponse {
                match self {
                    $(Self::$kind => ErrorResponse {
                        kind: self,
                        code: $code,
                        status: $status,
                        outcome: OutcomeClass::$outcome,
                        retry_after_ms: $retry,
                        level: ErrorLevel::$level,
                        help: $help,
                    },)*
                }
            }
        }
    };
}

error_table! {
    UnknownService, "unknown-service", 404, NotRun, None, Debug, "no service of this name is declared: check the first part of the path";
    UnknownRoute, "unknown-route", 404, NotRun, None, Debug, "no route is declared for this host and path";
    Unauthenticated, "unauthenticated", 401, NotRun, None, Debug, "the request has no key of a workspace: send exactly one header `authorization: Bearer KEY`";
    KeysOutdated, "keys-outdated", 503, NotRun, Some(500), Warn, "this VM has not confirmed for too long which keys are valid: another one may answer";
    QuotaExceeded, "quota-exceeded", 429, NotRun, Some(1_000), Debug, "all VMs together have sent as many requests as the workspace's quota allows";
    QuotaUnknown, "quota-unknown", 503, NotRun, Some(250), Warn, "the VM that counts the workspace's requests did not respond in time";
    RegionNotAllowed, "region-not-allowed", 421, NotRun, None, Info, "the route or the workspace may not be served in the region of this VM or of the target";
    HeadTooLarge, "head-too-large", 431, NotRun, None, Debug, "the request's head is larger than the declared limit";
    NotConfigured, "not-configured", 503, NotRun, Some(100), Info, "this VM knows no declarations or no targets yet";
    Overloaded, "overloaded", 503, NotRun, Some(60), Info, "the service has more requests than it can serve in time";
    Stopping, "stopping", 503, NotRun, Some(20), Info, "this VM is about to end: another one answers";
    NoTarget, "no-target", 503, NotRun, Some(150), Warn, "the service has no target now";
    UnknownOperation, "unknown-operation", 404, NotRun, None, Debug, "the service declares no operation for this method and path";
    KeyMissing, "key-missing", 400, NotRun, None, Debug, "the request names no key where the service looks for it";
    KeyTooLong, "key-too-long", 400, NotRun, None, Debug, "the key has more than 512 bytes";
    RequestMalformed, "request-malformed", 400, NotRun, None, Debug, "a header of the request can't be read: check deadline and length";
    BodyTooLarge, "body-too-large", 413, NotRun, None, Debug, "the body is larger than the service allows";
    BodyTruncated, "body-truncated", 400, NotRun, None, Debug, "the body ended before its declared length";
    BodyLate, "body-late", 408, NotRun, None, Debug, "the body was not complete before the deadline, or nothing of it arrived for too long";
    OwnerUnknown, "owner-unknown", 503, NotRun, Some(500), Warn, "no target owns the key now: its target was lost or its zone is silent";
    MoveTooLong, "move-too-long", 503, NotRun, Some(200), Info, "the key is moving and the bounded wait for its new owner ended";
    MemoryFull, "memory-full", 503, NotRun, Some(250), Warn, "this VM holds as many bytes of requests and responses as its memory allows: callers or targets read slowly, or there is too much load";
    QueueFull, "queue-full", 503, NotRun, Some(250), Info, "too many requests wait for this target already";
    TargetBusy, "target-busy", 503, NotRun, Some(250), Info, "the target shed the request before running it";
    TargetPaused, "target-paused", 503, NotRun, Some(250), Info, "every target that could serve the request turned requests away and asked for a pause, which is not over yet";
    TargetLimited, "target-limited", 503, NotRun, Some(250), Info, "every target that could serve the request named how many requests a second it takes from all VMs, and this VM has sent its part";
    TargetRefused, "target-refused", 503, NotRun, Some(100), Info, "the target refused the request before running it: ownership changed";
    TargetUnreachable, "target-unreachable", 503, NotRun, Some(500), Warn, "no connection to the owning target could be made";
    RequestQuarantined, "request-quarantined", 503, NotRun, Some(1_000), Info, "requests with the same method, path and body made at least three targets fall, one after the other, and no target has answered one since: no VM sends such a request to a target until the quarantine ends";
    DeadlineTooShort, "deadline-too-short", 504, NotRun, None, Info, "the deadline passed before the request was sent to a target";
    AnswerLate, "answer-late", 504, Unknown, None, Warn, "the target did not answer before the deadline";
    AnswerLost, "answer-lost", 502, Unknown, None, Warn, "the connection to the target broke after the request was sent";
    AnswerMalformed, "answer-malformed", 502, Unknown, None, Warn, "the target's answer could not be read";
    AnswerAmbiguous, "answer-ambiguous", 502, Unknown, None, Warn, "the target refused the request without saying that it did not run it";
    AnswerUnheld, "answer-unheld", 502, Unknown, None, Warn, "the target's answer was larger than expected and no longer fitted into the memory of this VM";
    Internal, "internal", 500, Unknown, None, Warn, "a fault of the router itself: report it with the log line";
}
