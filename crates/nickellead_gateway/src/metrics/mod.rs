//! Counters, gauges and histograms of one VM.
//!
//! Label sets are bounded: services, and closed lists of answers and errors.

mod control;
mod requests;

pub(crate) use control::ControlMetrics;
pub(crate) use requests::GatewayMetrics;
