//! What targets are told of the time that remains, by real gateways that stand still.
#![allow(clippy::unwrap_used)]

use std::path::PathBuf;
use std::time::Duration;

use nickellead_adapter_standin::TargetBehavior;
use nickellead_soak::{
    DutyCycle, GatewayFault, GatewayReport, GatewayRound, GatewaySchedule, GatewaySite,
    RoundFaults, ScheduledGatewayFault, run_gateway_round,
};

/// One VM with half of a core and two with a tenth in each availability zone.
const SITE: GatewaySite = GatewaySite { vms: 12, load: 0.5 };
/// A tenth of a core in long periods.
const LONG_CYCLE: DutyCycle =
    DutyCycle { running: Duration::from_millis(50), period: Duration::from_millis(500) };

fn play(label: &str, schedule: GatewaySchedule, fault_duration: Duration) -> GatewayReport {
    let folder = format!("handed-time-{label}-{}", std::process::id());
    let round = GatewayRound {
        program: PathBuf::from(env!("CARGO_BIN_EXE_nickellead")),
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(folder),
        site: SITE,
        target_behavior: TargetBehavior::Serve,
        crashing: None,
        fault_duration,
        seed: 1,
        faults: RoundFaults::Given(schedule),
    };
    run_gateway_round(&round).unwrap()
}

/// Asserts that targets were told no more time than the rule allows.
fn assert_in_time(report: &GatewayReport) {
    let handed = &report.handed_time;
    let figures = format!(
        "{} of {} arrivals, {} late repeats, {:?}, {:?}",
        handed.overlong(),
        handed.arrivals,
        handed.late_repeats(),
        handed.overlong_by_route(),
        report.lateness
    );
    assert!(!handed.is_exceeded(), "{figures}");
    assert!(report.load.served() > 500, "{:?}", report.load);
}

/// Guards targets against requests whose time is counted from when a VM with little processor time reads
/// them.
#[test]
fn starved_vms_tell_targets_no_more_time_than_remains() {
    let schedule = GatewaySchedule { cycle: Some(LONG_CYCLE), faults: Vec::new() };
    assert_in_time(&play("starved", schedule, Duration::from_secs(15)));
}

/// Guards targets against requests that lay unread in a VM's sockets, or between two VMs, for longer than
/// a second.
#[test]
fn vms_that_were_paused_tell_targets_no_more_time_than_remains() {
    let pause = |start_s: u64| ScheduledGatewayFault {
        start: Duration::from_secs(start_s),
        end: Duration::from_secs(start_s) + Duration::from_millis(1_200),
        fault: GatewayFault::Pause((0..SITE.vms).collect()),
    };
    let faults = [0, 3, 6].map(pause).to_vec();
    let schedule = GatewaySchedule { cycle: None, faults };
    assert_in_time(&play("paused", schedule, Duration::from_secs(8)));
}
