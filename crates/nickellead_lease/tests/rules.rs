//! One test for each safety rule that random schedules do not reach.
//!
//! `tools/mutations` takes each rule out and expects a test to fail.
#![allow(clippy::unwrap_used)]

mod simulation;

use std::sync::Arc;

use nickellead_api::TargetState;
use nickellead_core::{
    Epoch, Incarnation, Nonce, Sequence, ServiceKey, ShardIndex, TargetKey, Term, Timestamp,
    Version,
};
use nickellead_lease::{
    CoordinatorSettings, GrantGuard, LeaseTimings, MandateObject, MandatePhase, OrderOutcome,
    ReadOutcome, RecordBatch, RunRefusal, SessionPhase, ShardGrant, ShardRecordEntry, TargetOrder,
    VmIncarnation, ZoneAction, ZoneCoordinator, ZoneEvent,
};
use simulation::{Simulation, name};

const TARGET: TargetKey = TargetKey(7);
const LIFE: Incarnation = Incarnation(3);

fn grant(shard: u32, epoch: u64) -> ShardGrant {
    ShardGrant { shard: ShardIndex(shard), epoch: Epoch(epoch) }
}

fn order(term: u64, sequence: u64) -> TargetOrder {
    TargetOrder {
        target: TARGET,
        term: Term(term),
        incarnation: Some(LIFE),
        sequence: Sequence(sequence),
        echo: None,
        lease_ms: 2_400,
        standing: None,
        grants: Vec::new(),
        releases: Vec::new(),
    }
}

/// A guard that holds shard 1 at epoch 5 under a live session of term 2.
fn serving_guard() -> GrantGuard {
    let mut guard = GrantGuard::new(TARGET, LIFE);
    let hello = TargetOrder { incarnation: None, ..order(2, 1) };
    let nonce = guard.apply(&hello, Timestamp(100)).nonce;
    let sync = TargetOrder {
        echo: Some(nonce),
        standing: Some(Vec::new()),
        grants: vec![grant(1, 5)],
        ..order(2, 2)
    };
    assert_eq!(guard.apply(&sync, Timestamp(110)).outcome, OrderOutcome::Accepted);
    guard
}

#[test]
fn the_lease_runs_from_when_the_nonce_was_issued_not_from_when_it_came_back() {
    let guard = serving_guard();
    assert_eq!(guard.lease_until(), Timestamp(100 + 2_400));
}

#[test]
fn a_request_under_another_epoch_is_refused_before_it_runs() {
    let mut guard = serving_guard();
    assert_eq!(guard.admit(grant(1, 4), Timestamp(200)), Err(RunRefusal::WrongEpoch));
    assert_eq!(guard.admit(grant(1, 6), Timestamp(200)), Err(RunRefusal::WrongEpoch));
    assert!(guard.admit(grant(1, 5), Timestamp(200)).is_ok());
}

#[test]
fn a_request_that_outlasts_its_session_has_no_effect() {
    let mut guard = serving_guard();
    let ticket = guard.admit(grant(1, 5), Timestamp(2_499)).unwrap();
    assert_eq!(guard.check_effect(&ticket, Timestamp(2_500)), Err(RunRefusal::NoSession));
}

#[test]
fn an_order_for_an_earlier_life_is_refused() {
    let mut guard = GrantGuard::new(TARGET, Incarnation(4));
    let stale =
        TargetOrder { standing: Some(Vec::new()), grants: vec![grant(1, 5)], ..order(2, 9) };
    assert_eq!(guard.apply(&stale, Timestamp(0)).outcome, OrderOutcome::WrongIncarnation);
    assert!(guard.held_grants().is_empty());
}

#[test]
fn a_nonce_that_was_never_issued_extends_nothing() {
    let mut guard = serving_guard();
    let until = guard.lease_until();
    guard.apply(&TargetOrder { echo: Some(Nonce(999)), ..order(2, 3) }, Timestamp(2_000));
    assert_eq!(guard.lease_until(), until);
}

#[test]
fn a_released_epoch_is_never_taken_again() {
    let mut guard = serving_guard();
    let release = TargetOrder { releases: vec![grant(1, 5)], ..order(2, 3) };
    assert_eq!(guard.apply(&release, Timestamp(200)).released, vec![grant(1, 5)]);
    let late = TargetOrder { grants: vec![grant(1, 5)], ..order(2, 4) };
    assert_eq!(guard.apply(&late, Timestamp(210)).refused, vec![grant(1, 5)]);
    assert!(!guard.owns(ShardIndex(1), Timestamp(220)));
}

#[test]
fn a_release_waits_for_the_requests_that_run() {
    let mut guard = serving_guard();
    let ticket = guard.admit(grant(1, 5), Timestamp(200)).unwrap();
    let release = |sequence| TargetOrder { releases: vec![grant(1, 5)], ..order(2, sequence) };
    assert!(guard.apply(&release(3), Timestamp(210)).released.is_empty());
    assert_eq!(guard.admit(grant(1, 5), Timestamp(220)), Err(RunRefusal::Releasing));
    assert!(guard.check_effect(&ticket, Timestamp(230)).is_ok(), "no request in flight is cut");
    guard.finish(ticket);
    assert_eq!(guard.apply(&release(4), Timestamp(240)).released, vec![grant(1, 5)]);
}

/// A world of three VMs that has come to rest, and its leader.
fn settled(targets: usize) -> (Simulation, usize, Vec<usize>) {
    let mut simulation = Simulation::new(3, targets);
    simulation.run(4_000);
    assert!(simulation.all_owned(), "{}", simulation.describe());
    let leader = simulation.leader().unwrap();
    let others = (0..3).filter(|vm| *vm != leader).collect();
    (simulation, leader, others)
}

/// The predecessor may go on extending a target that the successor can't reach.
#[test]
fn a_successor_waits_for_a_target_that_it_has_not_fenced() {
    let (mut simulation, leader, others) = settled(3);
    simulation.cut_platform.push(leader);
    for other in &others {
        simulation.cut_vms.push((leader, *other));
        simulation.cut_targets.push((*other, 0));
    }
    simulation.run(12_000);
    assert!(!simulation.all_owned(), "target 0 was replaced without evidence");
    // The former coordinator can be asked now, and says that it has stepped down.
    simulation.cut_vms.clear();
    simulation.run(8_000);
    assert!(simulation.all_owned(), "{}", simulation.describe());
}

/// A coordinator that may lack records must not let a returning target serve on
/// while another holds its shards by a grant that it does not know of.
#[test]
fn a_successor_without_records_waits_for_every_lease_of_its_predecessor() {
    let (mut simulation, leader, others) = settled(2);
    for other in &others {
        simulation.kill_vm(*other);
        simulation.listed.retain(|listed| listed != other);
    }
    simulation.run(4_000);
    let newcomer = others[0];
    simulation.cut_vms.push((leader, newcomer));
    simulation.restart_vm(newcomer);
    simulation.cut_platform.push(leader);
    simulation.run(2_500);
    assert_eq!(simulation.vms[leader].coordinator.phase(), MandatePhase::Detached);
    simulation.targets[0].paused = true;
    simulation.run(4_000);
    let owner = simulation.owners(ShardIndex(0));
    assert_eq!(owner, vec![1], "the detached coordinator replaced target 0");
    simulation.targets[0].paused = false;
    simulation.cut_targets.push((leader, 0));
    simulation.cut_targets.push((newcomer, 1));
    simulation.run(100);
    simulation.kill_vm(leader);
    simulation.listed.retain(|listed| *listed != leader);
    simulation.tell_list(newcomer);
    simulation.run(6_000);
    assert_eq!(simulation.leader(), Some(newcomer));
    assert!(simulation.all_owned(), "{}", simulation.describe());
}

/// The case that records exist for: a detached coordinator replaces a target,
/// then a standby that can reach only the replaced one takes over.
#[test]
fn a_standby_that_takes_over_keeps_to_the_grants_of_the_detached_coordinator() {
    let (mut simulation, leader, others) = settled(2);
    simulation.platform.down = true;
    simulation.run(2_500);
    simulation.targets[0].paused = true;
    simulation.run(4_000);
    assert!((0..simulation::SHARDS).all(|shard| simulation.owners(ShardIndex(shard)) == [1]));
    simulation.targets[0].paused = false;
    simulation.cut_targets.extend([(leader, 0), (others[0], 1), (others[1], 1)]);
    simulation.kill_vm(leader);
    simulation.platform.down = false;
    simulation.run(1_500);
    let successor = simulation.leader().unwrap();
    assert_ne!(successor, leader);
    simulation.cut_targets.clear();
    simulation.run(4_000);
    assert!(simulation.all_owned(), "{}", simulation.describe());
}

/// A write of the former coordinator that comes to the platform late must fail:
/// the successor first writes its term into every placement.
#[test]
fn a_late_write_of_the_former_coordinator_fails_once_a_successor_acts() {
    let (mut simulation, leader, others) = settled(2);
    simulation.cut_targets.push((leader, 0));
    simulation.cut_vms.extend([(leader, others[0]), (leader, others[1])]);
    let held = (0..600).any(|_| {
        simulation.stall(10);
        simulation.tick(leader);
        let held = simulation.hold_placement_write(1_700);
        if !held {
            simulation.run(10);
        }
        held
    });
    assert!(held, "the coordinator never replaced target 0");
    simulation.vms[leader].paused = true;
    simulation.cut_targets.extend([(others[0], 1), (others[1], 1)]);
    // The successor takes over, then the write comes, then its answer waits for the sender.
    simulation.run(1_750);
    let successor = simulation.vms.iter().position(|vm| !vm.paused && vm.coordinator.publishes());
    assert!(successor.is_some(), "{}", simulation.describe());
    simulation.vms[leader].paused = false;
    simulation.deliver_placement_answer();
    simulation.run(1_000);
    simulation.heal();
    simulation.run(8_000);
    assert!(simulation.all_owned(), "{}", simulation.describe());
}

/// One VM on its own, told what the test wants it to hear.
struct LoneVm {
    coordinator: ZoneCoordinator,
    now: Timestamp,
    asked: Vec<ZoneAction>,
}

impl LoneVm {
    fn new() -> Self {
        let vm = VmIncarnation { vm: name("vm-0"), incarnation: Incarnation(1) };
        let settings = CoordinatorSettings {
            zone: name("zone-a"),
            vm,
            timings: LeaseTimings::default(),
            max_standbys: 2,
            max_concurrent_moves: 64,
            seed: 1,
        };
        let now = Timestamp(1_000);
        let coordinator = ZoneCoordinator::new(settings, now);
        let mut lone = Self { coordinator, now, asked: Vec::new() };
        lone.give(ZoneEvent::ConfigChanged(Arc::new(simulation::declare(2, &[]))));
        lone.give(ZoneEvent::VmsListed(vec![name("vm-0"), name("vm-9")]));
        lone
    }

    fn give(&mut self, event: ZoneEvent) -> Vec<ZoneAction> {
        let actions = self.coordinator.handle(event, self.now);
        self.asked.extend(actions.clone());
        actions
    }

    fn wait(&mut self, millis: u64) {
        self.now = Timestamp(self.now.0 + millis);
        self.give(ZoneEvent::Tick);
    }

    /// Answers the read of the mandate that is under way, if there is one.
    fn answer_read(&mut self, version: u64, renewal: u64) {
        let read = self.asked.drain(..).rev().find_map(|action| match action {
            ZoneAction::ReadMandate(call) => Some(call),
            _ => None,
        });
        if let Some(call) = read {
            let answer = ReadOutcome::Found(foreign_mandate(renewal), Version(version));
            self.give(ZoneEvent::MandateRead(call, answer));
        }
    }
}

/// A mandate of vm-9 that names vm-0 as its standby.
fn foreign_mandate(renewal: u64) -> MandateObject {
    MandateObject {
        term: Term(4),
        holder: VmIncarnation { vm: name("vm-9"), incarnation: Incarnation(9) },
        standbys: vec![VmIncarnation { vm: name("vm-0"), incarnation: Incarnation(1) }],
        renewal,
        stopped: false,
    }
}

fn batch(term: u64) -> RecordBatch {
    let entry = ShardRecordEntry {
        service: ServiceKey::from(&name("boards")),
        shard: ShardIndex(0),
        target: TARGET,
        epoch: Epoch(9),
    };
    RecordBatch { term: Term(term), number: 1, entries: vec![entry] }
}

fn is_kept(actions: &[ZoneAction]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, ZoneAction::SendRecordResponse(answer) if answer.stored))
}

#[test]
fn a_standby_that_began_to_take_the_mandate_keeps_no_record() {
    let mut lone = LoneVm::new();
    assert!(is_kept(&lone.give(ZoneEvent::RecordBatchReceived(batch(4)))), "a follower keeps it");
    for _ in 0..24 {
        lone.wait(300);
        if lone.coordinator.phase() == MandatePhase::Follower {
            lone.answer_read(10, 1);
        }
    }
    assert_eq!(lone.coordinator.phase(), MandatePhase::Acquiring);
    assert!(!is_kept(&lone.give(ZoneEvent::RecordBatchReceived(batch(4)))));
}

#[test]
fn a_stale_read_does_not_look_like_a_renewal() {
    let mut lone = LoneVm::new();
    for round in 0..24 {
        lone.wait(300);
        if lone.coordinator.phase() == MandatePhase::Follower {
            // One replica of the platform lags: it still shows the version before.
            let (version, renewal) = if round % 2 == 0 { (10, 2) } else { (9, 1) };
            lone.answer_read(version, renewal);
        }
    }
    assert_eq!(lone.coordinator.phase(), MandatePhase::Acquiring);
}

#[test]
fn older_declarations_never_replace_newer_ones() {
    let (mut simulation, leader, _) = settled(3);
    let older = Arc::new(simulation::declare(3, &[]));
    simulation.declare(&[(0, TargetState::Draining)]);
    simulation.run(2_000);
    simulation.tell(leader, ZoneEvent::ConfigChanged(older));
    simulation.run(2_000);
    assert!(simulation.all_owned());
    assert!((0..simulation::SHARDS).all(|shard| simulation.owners(ShardIndex(shard)) != [0]));
    let statuses = simulation.vms[leader].coordinator.target_statuses();
    let drained = statuses.iter().find(|status| status.name == name("target-0")).unwrap();
    assert_eq!((drained.phase, drained.shards), (SessionPhase::Live, 0));
}
