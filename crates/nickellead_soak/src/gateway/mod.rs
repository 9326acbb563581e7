//! Rounds of faults against real gateways, with stand-ins for the platform, its targets and callers.

mod disturbances;
mod fleet;
mod http_get;
mod metrics;
mod processes;
mod round;
mod schedule;
mod site;

pub use metrics::VmMetrics;
pub use processes::DutyCycle;
pub use round::{GatewayReport, GatewayRound, RoundFaults, UnpaidArrival, run_gateway_round};
pub use schedule::{GatewayFault, GatewaySchedule, ScheduledGatewayFault, gateway_schedule};
pub use site::GatewaySite;
