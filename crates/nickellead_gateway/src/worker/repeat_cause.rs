//! Why a request that may have reached a target is sent again.

use crate::exchange::{AttemptResult, LossReason};

/// How the last attempt that may have reached a target ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum RepeatCause {
    /// The target responded with an error.
    #[default]
    Failed,
    /// The target refused the request.
    Shed,
    /// The target does not own the key.
    NotOwner,
    /// No usable response came.
    Lost(LossReason),
    /// The VM that served it for this one gave no answer.
    AssistLost,
}

impl RepeatCause {
    /// The cause if the request is sent again after this result; `None` if nothing was sent.
    pub(super) const fn of(result: &AttemptResult) -> Option<Self> {
        match result {
            AttemptResult::Responded(_) => Some(Self::Failed),
            AttemptResult::Shed => Some(Self::Shed),
            AttemptResult::Misdirected => Some(Self::NotOwner),
            AttemptResult::Lost(reason) => Some(Self::Lost(*reason)),
            AttemptResult::NotSent(_) | AttemptResult::Withheld | AttemptResult::Forbidden(_) => {
                None
            }
        }
    }

    /// The cause in logs and metrics.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Failed => "failed",
            Self::Shed => "shed",
            Self::NotOwner => "not-owner",
            Self::Lost(reason) => reason.as_str(),
            Self::AssistLost => "assist-lost",
        }
    }
}
