//! Offline log analysis: explains single requests and computes burn rates of objectives.
//!
//! [`read_lines`] parses the collected logs of several VMs, [`explain_request`] finds the
//! likely cause of a request's outcome, and [`report_burn`] computes how fast each route
//! consumes the error budget of its objective.

mod burn;
mod cause;
mod context;
mod explain;
mod line;

pub use burn::{BurnReport, BurnSettings, BurnWindow, RouteBurn, report_burn};
pub use explain::{RequestExplanation, explain_request};
pub use line::{LogLine, read_lines};
