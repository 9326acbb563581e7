//! Which requests make the targets fall that run them.
//!
//! A [`RequestMark`] names all requests with the same content, whoever sends them and under which id.
//! [`BrokenRequests`] keeps the requests whose connections to one target broke, until it is known
//! whether the target fell or lives.

mod broken;
mod mark;

pub use broken::{BrokenRequest, BrokenRequests, FALL_WINDOW, FallEvidence};
pub use mark::{RequestContent, RequestMark};
