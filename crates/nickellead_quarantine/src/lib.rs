//! Which requests make the targets fall that run them, and which of them are refused.
//!
//! A [`RequestMark`] names all requests with the same content, whoever sends them and under which id.
//! [`BrokenRequests`] keeps the requests whose connections to one target broke, until it is known
//! whether the target fell or lives. A [`QuarantineTable`] counts the falls of each mark, and says by
//! its [`RequestVerdict`] which requests are refused. Any target's answer clears a mark: a request that
//! makes its targets fall is never answered.
//!
//! VMs tell each other [`CrashReport`]s, so that a caller who comes back to another VM is refused there
//! as well.

mod broken;
mod mark;
mod record;
mod table;

pub use broken::{BrokenRequest, BrokenRequests, FALL_WINDOW, FallEvidence};
pub use mark::{RequestContent, RequestMark};
pub use record::{RequestVerdict, TargetFall};
pub use table::{CrashReport, MAX_MARKS, QuarantineTable};
