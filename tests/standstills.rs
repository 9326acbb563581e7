//! Planned stops while another part stands still for a known time.
//!
//! Seen: beside heavy load a planned stop of the coordinator lost the leases of all targets at once, and up to 32
//! requests were refused as `target-refused`.
//!
//! How it comes about: the coordinator writes to the platform as its last act that it coordinates no more, and
//! renews no lease from then on. A standby can take the mandate only when the platform has answered both of
//! them. While the platform stands still nobody renews, and all leases lapse 2.4 s after their last heartbeat.
//!
//! Shown by: the parts of a deployment stopped and continued by signal, for 0.5 s to 2 s each, around the stop.
//! Of 48 such runs the two with the platform still for 2 s around the stop of the coordinator lost all
//! leases; other VMs and the platform at any other time cost nothing, and a target loses its own lease after 2 s,
//! as it must.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::fleet::{Fleet, FleetSpec};

/// The part that stands still.
#[derive(Clone, Copy, Debug)]
enum StillPart {
    /// The VM that coordinates, or the standby when the coordinator stops.
    OtherVm,
    Target,
    Platform,
}

/// Who stops.
#[derive(Clone, Copy, Debug)]
enum StoppedVm {
    Coordinator,
    Standby,
}

/// What stands still while a VM stops as planned.
#[derive(Clone, Copy, Debug)]
struct StillCase {
    label: &'static str,
    stopped: StoppedVm,
    part: StillPart,
    /// From the signal to stop on.
    after: Duration,
    length: Duration,
}

/// Callers that ask a VM which neither stops nor stands still get every answer, and no key moves.
fn assert_nothing_lost(case: StillCase) {
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
    std::thread::sleep(case.after);
    let signal = |signal: &str| match case.part {
        StillPart::OtherVm => fleet.signal_vm(other, signal),
        StillPart::Target => fleet.signal_target(0, signal),
        StillPart::Platform => fleet.signal_platform(signal),
    };
    signal("STOP");
    std::thread::sleep(case.length);
    signal("CONT");
    assert_eq!(process.exit_code(), Some(0), "{case:?}");
    let report = load.join().unwrap();
    fleet.judge(&report);
    assert!(report.answered > 100, "{case:?}: {} answered", report.answered);
    assert_eq!((report.refused, report.unknown), (0, 0), "{case:?}: {:?}", report.errors);
    assert_eq!(fleet.moved_shards(), 0, "{case:?}");
}

/// Longest time for which a part may stand still, besides the platform: a target's lease of 2.4 s is renewed
/// each 0.4 s, and a stop takes a part of the rest.
const STILL: Duration = Duration::from_millis(1_500);
/// The platform may be silent for as long as it likes: coordination goes on without it.
const PLATFORM_STILL: Duration = Duration::from_millis(2_000);

#[test]
fn a_planned_stop_beside_a_vm_or_a_target_that_stands_still_loses_nothing() {
    for (label, stopped, part) in [
        ("still-standby", StoppedVm::Coordinator, StillPart::OtherVm),
        ("still-coordinator", StoppedVm::Standby, StillPart::OtherVm),
        ("still-target", StoppedVm::Coordinator, StillPart::Target),
        ("still-platform", StoppedVm::Standby, StillPart::Platform),
    ] {
        let after = Duration::ZERO;
        assert_nothing_lost(StillCase { label, stopped, part, after, length: STILL });
    }
}

#[test]
fn a_planned_stop_of_the_coordinator_while_the_platform_stands_still_loses_nothing() {
    for after in [Duration::ZERO, Duration::from_millis(250)] {
        assert_nothing_lost(StillCase {
            label: "still-platform-handover",
            stopped: StoppedVm::Coordinator,
            part: StillPart::Platform,
            after,
            length: PLATFORM_STILL,
        });
    }
}
