//! Soak test: randomized faults injected into real processes, with the guarantees checked meanwhile.
//!
//! [`random_schedule`] generates faults from a seed: processes that are stopped,
//! paused, killed and restarted, links that are slow, reset, one-way or silent,
//! a platform that is down, slow or loses responses, and targets that drain and
//! return. [`run_round`] starts a fleet of processes, sends a load, injects the
//! scheduled faults and checks the records of callers and targets.
//!
//! Pausing a process also covers clock jumps: VMs use no wall clock. VMs store
//! nothing on disk, so storage faults are injected into the platform only.

mod address;
mod error;
mod fleet;
mod gateway;
mod link;
mod process;
mod round;
mod schedule;

pub use address::free_address;
pub use error::SoakError;
pub use fleet::{FleetSize, SoakFleet};
pub use gateway::{
    DutyCycle, GatewayFault, GatewayReport, GatewayRound, GatewaySchedule, GatewaySite,
    RoundFaults, ScheduledGatewayFault, UnpaidArrival, VmMetrics, gateway_schedule,
    run_gateway_round,
};
pub use link::{FaultLink, LinkFault, LinkHost};
pub use process::SoakProcess;
pub use round::{RoundReport, RoundSettings, run_round};
pub use schedule::{Fault, ScheduledFault, random_schedule};
