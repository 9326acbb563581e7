//! Detects that this VM reaches no target at all.
//!
//! A failure at one target may be the target's own. After a failure the VM checks a few targets of
//! different availability zones; if it can't connect to any of them, the VM itself is cut off. While
//! it is, the check is repeated, and after the first connection the VM returns gradually.
//!
//! See `docs/design/reach.md`.

use std::time::Duration;

use nickellead_core::Timestamp;

/// Minimum time between two checks of a VM that reaches targets.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which a VM that reaches targets again takes over all its requests. Its connections are
/// gone, so that each request may open one.
const RETURN_TIME: Duration = Duration::from_millis(1_000);
/// Consecutive failed checks after which roles that need targets are handed over.
const CONFIRMING_CHECKS: u32 = 2;

/// Result of trying to connect to a few targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReachCheck {
    /// Whether a target accepted a connection.
    pub reached: bool,
    /// Targets that refused or reset the connection.
    pub refused: usize,
    /// Targets that did not respond.
    pub silent: usize,
}

/// Whether this VM reaches targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VmPhase {
    Connected,
    /// No target of the last checks accepted a connection. It is `silent` if none responded.
    CutOff {
        checks: u32,
        silent: bool,
    },
    /// A target accepted a connection again.
    Returning {
        since: Timestamp,
    },
}

/// Detects that this VM reaches no target.
#[derive(Clone, Copy, Debug)]
pub struct VmReachability {
    phase: VmPhase,
    last_check: Option<Timestamp>,
    /// When a target last responded or accepted a connection.
    last_reached: Option<Timestamp>,
}

impl Default for VmReachability {
    fn default() -> Self {
        Self { phase: VmPhase::Connected, last_check: None, last_reached: None }
    }
}

impl VmReachability {
    /// Records a failure of something that began at `began`; returns whether to check now.
    ///
    /// While the VM is cut off, checks are made without further failures.
    #[must_use]
    pub fn record_failure(&mut self, began: Timestamp, now: Timestamp) -> bool {
        let is_refuted = self.last_reached.is_some_and(|at| at >= began);
        let is_recent = self.last_check.is_some_and(|at| now.since(at) < SUSPICION_INTERVAL);
        if self.is_cut_off() || is_refuted || is_recent {
            return false;
        }
        self.last_check = Some(now);
        true
    }

    /// Records that a target responded or accepted a connection.
    pub fn record_reached(&mut self, now: Timestamp) {
        self.last_reached = Some(now);
    }

    /// Applies a check; returns whether the VM thereby became cut off or reaches targets again.
    pub fn apply_check(&mut self, check: ReachCheck, now: Timestamp) -> bool {
        let was_cut_off = self.is_cut_off();
        self.last_check = Some(now);
        if check.reached {
            self.record_reached(now);
        }
        self.phase = match self.phase {
            VmPhase::CutOff { .. } if check.reached => VmPhase::Returning { since: now },
            VmPhase::Connected | VmPhase::Returning { .. } if check.reached => self.phase,
            VmPhase::CutOff { checks, .. } => {
                VmPhase::CutOff { checks: checks.saturating_add(1), silent: check.refused == 0 }
            }
            VmPhase::Connected | VmPhase::Returning { .. } => {
                VmPhase::CutOff { checks: 1, silent: check.refused == 0 }
            }
        };
        was_cut_off != self.is_cut_off()
    }

    /// Whether this VM reaches no target.
    #[must_use]
    pub const fn is_cut_off(&self) -> bool {
        matches!(self.phase, VmPhase::CutOff { .. })
    }

    /// Whether this VM reaches no target, and connections hang instead of being refused.
    #[must_use]
    pub const fn is_silent(&self) -> bool {
        matches!(self.phase, VmPhase::CutOff { silent: true, .. })
    }

    /// Whether several checks in a row found that this VM reaches no target.
    #[must_use]
    pub const fn is_confirmed(&self) -> bool {
        matches!(self.phase, VmPhase::CutOff { checks, .. } if checks >= CONFIRMING_CHECKS)
    }

    /// Fraction of the requests that this VM sends to targets itself, if another VM can send them.
    #[must_use]
    pub fn own_fraction(&self, now: Timestamp) -> f64 {
        match self.phase {
            VmPhase::Connected => 1.0,
            VmPhase::CutOff { .. } => 0.0,
            VmPhase::Returning { since } => {
                (now.since(since).as_secs_f64() / RETURN_TIME.as_secs_f64()).min(1.0)
            }
        }
    }
}
