//! What logs tell afterwards: the story of one request, and the burn of service levels.
//!
//! [`read_lines`] reads the logs of several VMs as they were collected;
//! [`explain_request`] joins what they say of one request and names the cause,
//! and [`report_burn`] counts how fast each route spends what its objective allows.

mod burn;
mod cause;
mod context;
mod explain;
mod line;

pub use burn::{BurnReport, BurnSettings, BurnWindow, RouteBurn, report_burn};
pub use explain::{RequestStory, explain_request};
pub use line::{LogLine, read_lines};
