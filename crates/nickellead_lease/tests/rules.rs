//! Tests of the safety rules that random schedules do not cover.
//!
//! `tools/mutations` disables each rule and expects a test to fail.
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
const INCARNATION: Incarnation = Incarnation(3);

fn grant(shard: u32, epoch: u64) -> ShardGrant {
    ShardGrant { shard: ShardIndex(shard), epoch: Epoch(epoch) }
}

fn order(term: u64, sequence: u64) -> TargetOrder {
    TargetOrder {
        target: TARGET,
        term: Term(term),
        incarnation: Some(INCARNATION),
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
    let mut guard = GrantGuard::new(TARGET, INCARNATION);
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
fn an_order_for_an_earlier_incarnation_is_refused() {
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

/// A simulation of three VMs in which every shard has an owner; with the leader and the others.
fn settled_simulation(targets: usize) -> (Simulation, usize, Vec<usize>) {
    let mut simulation = Simulation::new(3, targets);
    simulation.run(4_000);
    assert!(simulation.all_owned(), "{}", simulation.describe());
    let leader = simulation.leader().unwrap();
    let others = (0..3).filter(|vm| *vm != leader).collect();
    (simulation, leader, others)
}

/// Guards against replacing a target whose lease the predecessor may still extend.
#[test]
fn a_successor_waits_for_a_target_that_it_has_not_fenced() {
    let (mut simulation, leader, others) = settled_simulation(3);
    simulation.cut_platform_links.push(leader);
    for other in &others {
        simulation.cut_vm_links.push((leader, *other));
        simulation.cut_target_links.push((*other, 0));
    }
    simulation.run(12_000);
    assert!(!simulation.all_owned(), "target 0 was replaced without evidence");
    // The predecessor becomes reachable and confirms that it has stepped down.
    simulation.cut_vm_links.clear();
    simulation.run(8_000);
    assert!(simulation.all_owned(), "{}", simulation.describe());
}

/// Guards against a coordinator without records that lets a returning target serve shards which
/// a detached predecessor granted to another one.
#[test]
fn a_successor_without_records_waits_for_every_lease_of_its_predecessor() {
    let (mut simulation, leader, others) = settled_simulation(2);
    for other in &others {
        simulation.kill_vm(*other);
        simulation.listed_vms.retain(|listed| listed != other);
    }
    simulation.run(4_000);
    let newcomer = others[0];
    simulation.cut_vm_links.push((leader, newcomer));
    simulation.restart_vm(newcomer);
    simulation.cut_platform_links.push(leader);
    simulation.run(2_500);
    assert_eq!(simulation.vms[leader].coordinator.phase(), MandatePhase::Detached);
    simulation.targets[0].paused = true;
    simulation.run(4_000);
    let owner = simulation.owners(ShardIndex(0));
    assert_eq!(owner, vec![1], "the detached coordinator replaced target 0");
    simulation.targets[0].paused = false;
    simulation.cut_target_links.push((leader, 0));
    simulation.cut_target_links.push((newcomer, 1));
    simulation.run(100);
    simulation.kill_vm(leader);
    simulation.listed_vms.retain(|listed| *listed != leader);
    simulation.send_vm_list(newcomer);
    simulation.run(6_000);
    assert_eq!(simulation.leader(), Some(newcomer));
    assert!(simulation.all_owned(), "{}", simulation.describe());
}

/// Guards against losing the grants of a detached coordinator: it replaces a target, then a
/// standby takes over that can reach only the replaced one.
#[test]
fn a_standby_that_takes_over_keeps_to_the_grants_of_the_detached_coordinator() {
    let (mut simulation, leader, others) = settled_simulation(2);
    simulation.platform.down = true;
    simulation.run(2_500);
    simulation.targets[0].paused = true;
    simulation.run(4_000);
    assert!((0..simulation::SHARDS).all(|shard| simulation.owners(ShardIndex(shard)) == [1]));
    simulation.targets[0].paused = false;
    simulation.cut_target_links.extend([(leader, 0), (others[0], 1), (others[1], 1)]);
    simulation.kill_vm(leader);
    simulation.platform.down = false;
    simulation.run(1_500);
    let successor = simulation.leader().unwrap();
    assert_ne!(successor, leader);
    simulation.cut_target_links.clear();
    simulation.run(4_000);
    assert!(simulation.all_owned(), "{}", simulation.describe());
}

/// Guards against a delayed placement write of the predecessor that takes effect after a
/// successor acts: the successor first writes its term into every placement.
#[test]
fn a_late_write_of_the_former_coordinator_fails_once_a_successor_acts() {
    let (mut simulation, leader, others) = settled_simulation(2);
    simulation.cut_target_links.push((leader, 0));
    simulation.cut_vm_links.extend([(leader, others[0]), (leader, others[1])]);
    let delayed = (0..600).any(|_| {
        simulation.stall(10);
        simulation.tick(leader);
        let delayed = simulation.delay_placement_write(1_700);
        if !delayed {
            simulation.run(10);
        }
        delayed
    });
    assert!(delayed, "the coordinator never replaced target 0");
    simulation.vms[leader].paused = true;
    simulation.cut_target_links.extend([(others[0], 1), (others[1], 1)]);
    // The successor takes over, then the write arrives, then its outcome waits for the sender.
    simulation.run(1_750);
    let successor = simulation.vms.iter().position(|vm| !vm.paused && vm.coordinator.publishes());
    assert!(successor.is_some(), "{}", simulation.describe());
    simulation.vms[leader].paused = false;
    simulation.deliver_placement_outcome();
    simulation.run(1_000);
    simulation.heal();
    simulation.run(8_000);
    assert!(simulation.all_owned(), "{}", simulation.describe());
}

/// A single coordinator that receives only the events of the test.
struct SingleVm {
    coordinator: ZoneCoordinator,
    now: Timestamp,
    actions: Vec<ZoneAction>,
}

impl SingleVm {
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
        let mut vm = Self { coordinator, now, actions: Vec::new() };
        vm.handle(ZoneEvent::ConfigChanged(Arc::new(simulation::declare(2, &[]))));
        vm.handle(ZoneEvent::VmsListed(vec![name("vm-0"), name("vm-9")]));
        vm
    }

    fn handle(&mut self, event: ZoneEvent) -> Vec<ZoneAction> {
        let actions = self.coordinator.handle(event, self.now);
        self.actions.extend(actions.clone());
        actions
    }

    fn advance(&mut self, millis: u64) {
        self.now = Timestamp(self.now.0 + millis);
        self.handle(ZoneEvent::Tick);
    }

    /// Completes the pending mandate read, if there is one.
    fn complete_read(&mut self, version: u64, renewal: u64) {
        let read = self.actions.drain(..).rev().find_map(|action| match action {
            ZoneAction::ReadMandate(call) => Some(call),
            _ => None,
        });
        if let Some(call) = read {
            let outcome = ReadOutcome::Found(foreign_mandate(renewal), Version(version));
            self.handle(ZoneEvent::MandateRead(call, outcome));
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

fn is_stored(actions: &[ZoneAction]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, ZoneAction::SendRecordResponse(response) if response.stored))
}

#[test]
fn a_standby_that_began_to_take_the_mandate_keeps_no_record() {
    let mut vm = SingleVm::new();
    assert!(
        is_stored(&vm.handle(ZoneEvent::RecordBatchReceived(batch(4)))),
        "a follower stores it"
    );
    for _ in 0..24 {
        vm.advance(300);
        if vm.coordinator.phase() == MandatePhase::Follower {
            vm.complete_read(10, 1);
        }
    }
    assert_eq!(vm.coordinator.phase(), MandatePhase::Acquiring);
    assert!(!is_stored(&vm.handle(ZoneEvent::RecordBatchReceived(batch(4)))));
}

#[test]
fn a_stale_read_does_not_look_like_a_renewal() {
    let mut vm = SingleVm::new();
    for round in 0..24 {
        vm.advance(300);
        if vm.coordinator.phase() == MandatePhase::Follower {
            // A lagging replica of the platform returns the previous version.
            let (version, renewal) = if round % 2 == 0 { (10, 2) } else { (9, 1) };
            vm.complete_read(version, renewal);
        }
    }
    assert_eq!(vm.coordinator.phase(), MandatePhase::Acquiring);
}

#[test]
fn older_declarations_never_replace_newer_ones() {
    let (mut simulation, leader, _) = settled_simulation(3);
    let older = Arc::new(simulation::declare(3, &[]));
    simulation.declare(&[(0, TargetState::Draining)]);
    simulation.run(2_000);
    simulation.inject_event(leader, ZoneEvent::ConfigChanged(older));
    simulation.run(2_000);
    assert!(simulation.all_owned());
    assert!((0..simulation::SHARDS).all(|shard| simulation.owners(ShardIndex(shard)) != [0]));
    let statuses = simulation.vms[leader].coordinator.target_statuses();
    let drained = statuses.iter().find(|status| status.name == name("target-0")).unwrap();
    assert_eq!((drained.phase, drained.shards), (SessionPhase::Live, 0));
}
