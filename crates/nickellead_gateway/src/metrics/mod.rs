//! Prometheus metrics of one VM.
//!
//! Label values are bounded: names of services, and fixed sets of results and errors.

mod attempts;
mod control;
mod crashes;
mod dispatch;
mod reach;
mod requests;
mod retries;
mod threads;
mod unread;

pub(crate) use control::ControlMetrics;
pub(crate) use requests::GatewayMetrics;
pub(crate) use retries::RetryMetrics;
pub(crate) use threads::{ThreadMetrics, ThreadStep, VmThread};
pub(crate) use unread::RequestSender;
