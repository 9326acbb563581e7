//! Planned stops of a VM while another process is paused.
//!
//! Guards against expired leases during a handover: a stopping coordinator renews no leases after it writes the
//! end of its mandate (leader lease), and a standby needs the platform to take over.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::fleet::{Fleet, FleetSpec};

/// Process that is paused.
#[derive(Clone, Copy, Debug)]
enum PausedProcess {
    /// The coordinator, or a standby if the coordinator stops.
    OtherVm,
    Target,
    Platform,
}

/// VM that is stopped.
#[derive(Clone, Copy, Debug)]
enum StoppedVm {
    Coordinator,
    Standby,
}

/// Combination of a planned stop and a pause.
#[derive(Clone, Copy, Debug)]
struct PauseCase {
    label: &'static str,
    stopped: StoppedVm,
    paused: PausedProcess,
    /// Time from the stop signal to the pause.
    pause_delay: Duration,
    pause_duration: Duration,
}

/// Asserts that a VM that is neither stopped nor paused answers every request, and that no shard moves.
fn assert_nothing_lost(case: PauseCase) {
    let mut fleet = Fleet::start(FleetSpec { label: case.label, ..FleetSpec::default() });
    let coordinator = fleet.coordinator("zone-a").unwrap();
    let standbys: Vec<usize> = (0..3).filter(|vm| *vm != coordinator).collect();
    let (stopped, other) = match case.stopped {
        StoppedVm::Coordinator => (coordinator, standbys[0]),
        StoppedVm::Standby => (standbys[0], coordinator),
    };
    let load = fleet.load(5, &[standbys[1]]);
    fleet.wait_for_effects(0);
    let process = fleet.vms[stopped].process.take().unwrap();
    process.signal("TERM");
    std::thread::sleep(case.pause_delay);
    let signal = |signal: &str| match case.paused {
        PausedProcess::OtherVm => fleet.signal_vm(other, signal),
        PausedProcess::Target => fleet.signal_target(0, signal),
        PausedProcess::Platform => fleet.signal_platform(signal),
    };
    signal("STOP");
    std::thread::sleep(case.pause_duration);
    signal("CONT");
    assert_eq!(process.exit_code(), Some(0), "{case:?}");
    let report = load.join().unwrap();
    fleet.check_guarantees(&report);
    assert!(report.answered > 100, "{case:?}: {} answered", report.answered);
    assert_eq!((report.refused, report.unknown), (0, 0), "{case:?}: {:?}", report.errors);
    assert_eq!(fleet.moved_shards(), 0, "{case:?}");
}

/// Pause of a VM or target: leaves time for the stop within a lease of 2.4 s, which is renewed every 0.4 s.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Pause of the platform, on which renewals of leases do not depend.
const PLATFORM_PAUSE: Duration = Duration::from_millis(2_000);

#[test]
fn a_planned_stop_beside_a_vm_or_a_target_that_stands_still_loses_nothing() {
    for (label, stopped, paused) in [
        ("still-standby", StoppedVm::Coordinator, PausedProcess::OtherVm),
        ("still-coordinator", StoppedVm::Standby, PausedProcess::OtherVm),
        ("still-target", StoppedVm::Coordinator, PausedProcess::Target),
        ("still-platform", StoppedVm::Standby, PausedProcess::Platform),
    ] {
        let pause_delay = Duration::ZERO;
        assert_nothing_lost(PauseCase {
            label,
            stopped,
            paused,
            pause_delay,
            pause_duration: PAUSE,
        });
    }
}

#[test]
fn a_planned_stop_of_the_coordinator_while_the_platform_stands_still_loses_nothing() {
    for pause_delay in [Duration::ZERO, Duration::from_millis(250)] {
        assert_nothing_lost(PauseCase {
            label: "still-platform-handover",
            stopped: StoppedVm::Coordinator,
            paused: PausedProcess::Platform,
            pause_delay,
            pause_duration: PLATFORM_PAUSE,
        });
    }
}
