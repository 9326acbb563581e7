//! The age of the knowledge of keys in a model without network: whatever is lost, late, frozen or
//! restored, no VM accepts a key for longer after its revocation than the limit.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_gateway::{
    DeclarationsFreshness, RESTORE_GRACE, RelayedConfirmation, StateConfirmation,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const VMS: usize = 5;
/// Limit of the age, in milliseconds.
const MAX_AGE_MS: u64 = 4_500;
/// Longest delay of a message or freeze of a VM.
const MAX_DELAY_MS: u64 = 9_000;
/// How long after a restore the operator writes lost versions again, at most.
const REWRITE_MS: u64 = RESTORE_GRACE.as_millis() as u64 - 1;
/// Longest time for which writes are lost by a restore.
const MAX_LOST_MS: u64 = 8_000;
/// Schedules that are played unless `NICKELLEAD_SCHEDULES` sets another number.
const DEFAULT_SCHEDULES: u64 = 3_000;

/// Something that happens in the model.
#[derive(Clone, Debug)]
enum Action {
    /// The operator writes the next version, which takes away the key of the same number.
    Revoke,
    /// A VM reads the store.
    ReadStore { vm: usize, delays: [u64; 2] },
    /// A VM polls another one, which holds the request for a while.
    Poll { vm: usize, upstream: usize, delays: [u64; 3] },
    /// The store comes back from a copy that is this old.
    Restore { lost_ms: u64, rewrite_ms: u64 },
    /// A VM starts anew and knows nothing.
    Restart { vm: usize },
}

#[derive(Clone, Debug)]
struct Schedule(Vec<(u64, Action)>);

/// A delay that is mostly short.
fn delay(generator: &mut Gen) -> u64 {
    let max = *generator.choose(&[3, 30, 900, MAX_DELAY_MS]).unwrap();
    u64::arbitrary(generator) % max
}

impl Arbitrary for Schedule {
    fn arbitrary(generator: &mut Gen) -> Self {
        let mut at = 10_000;
        let actions = (0..generator.size() * 2).map(|_| {
            at += delay(generator) / 6;
            let vm = usize::arbitrary(generator) % VMS;
            let action = match u8::arbitrary(generator) % 24 {
                0..=2 => Action::Revoke,
                3..=8 => Action::ReadStore { vm, delays: [(); 2].map(|()| delay(generator)) },
                9 => Action::Restore {
                    lost_ms: u64::arbitrary(generator) % MAX_LOST_MS,
                    rewrite_ms: u64::arbitrary(generator) % REWRITE_MS,
                },
                10 => Action::Restart { vm },
                _ => Action::Poll {
                    vm,
                    upstream: usize::arbitrary(generator) % VMS,
                    delays: [(); 3].map(|()| delay(generator)),
                },
            };
            (at, action)
        });
        Self(actions.collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(Self))
    }
}

/// `quickcheck` shrinks schedules by leaving out actions only.
impl Arbitrary for Action {
    fn arbitrary(_: &mut Gen) -> Self {
        Self::Revoke
    }
}

#[derive(Clone, Default)]
struct ModelVm {
    /// Counts restarts, so that messages to an earlier run are lost.
    run: u32,
    /// Difference between the VM's clock and the model's.
    clock_offset: u64,
    active: u64,
    era: u64,
    freshness: DeclarationsFreshness<u64>,
}

impl ModelVm {
    fn now(&self, at: u64) -> Timestamp {
        Timestamp(at + self.clock_offset)
    }

    fn learn(&mut self, version: u64) {
        if version > self.active {
            self.active = version;
            self.freshness.activate(version);
        }
    }
}

/// A step that is due at some time.
#[derive(Clone, Debug)]
enum Due {
    Begin(Action),
    StoreAnswers {
        vm: usize,
        run: u32,
        sent: Timestamp,
        delay: u64,
    },
    StoreRead {
        vm: usize,
        run: u32,
        sent: Timestamp,
        version: u64,
        era: u64,
    },
    RequestArrives {
        vm: usize,
        run: u32,
        upstream: usize,
        sent: Timestamp,
        delays: [u64; 2],
    },
    RequestAnswered {
        vm: usize,
        run: u32,
        upstream: usize,
        sent: Timestamp,
        arrived: Timestamp,
        delay: u64,
    },
    ResponseArrives {
        vm: usize,
        run: u32,
        sent: Timestamp,
        version: u64,
        confirmed: Option<RelayedConfirmation<u64>>,
    },
    Rewrite {
        version: u64,
    },
}

#[derive(Default)]
struct Model {
    queue: BTreeMap<(u64, u64), Due>,
    number: u64,
    vms: Vec<ModelVm>,
    /// Versions of the store with the times at which they were written.
    versions: Vec<(u64, u64)>,
    newest_written: u64,
    era: u64,
    /// When each version was first acknowledged.
    acknowledged: Vec<u64>,
    /// Checks in which a VM accepted keys.
    accepted: u64,
}

impl Model {
    fn new() -> Self {
        let vms = (0..VMS)
            .map(|vm| ModelVm { clock_offset: vm as u64 * 1_234_567, ..ModelVm::default() });
        Self {
            vms: vms.collect(),
            versions: vec![(1, 0)],
            newest_written: 1,
            acknowledged: vec![0, 0],
            ..Self::default()
        }
    }

    fn push(&mut self, at: u64, due: Due) {
        self.number += 1;
        self.queue.insert((at, self.number), due);
    }

    fn version(&self) -> u64 {
        self.versions.last().map_or(1, |(version, _)| *version)
    }

    fn play(&mut self, schedule: &Schedule) -> Result<(), String> {
        for (at, action) in &schedule.0 {
            self.push(*at, Due::Begin(action.clone()));
        }
        while let Some(((at, _), due)) = self.queue.pop_first() {
            self.check(at)?;
            self.step(at, due);
            self.check(at)?;
        }
        Ok(())
    }

    fn step(&mut self, at: u64, due: Due) {
        match due {
            Due::Begin(action) => self.begin(at, action),
            Due::StoreAnswers { vm, run, sent, delay } => {
                let (version, era) = (self.version(), self.era);
                self.push(at + delay, Due::StoreRead { vm, run, sent, version, era });
            }
            Due::StoreRead { vm, run, sent, version, era } => {
                let vm = &mut self.vms[vm];
                if vm.run != run {
                    return;
                }
                if vm.era < era {
                    vm.freshness.record_restore(vm.now(at));
                }
                vm.era = vm.era.max(era);
                vm.freshness.confirm(StateConfirmation { state: version, at: sent });
                vm.learn(version);
            }
            Due::RequestArrives { vm, run, upstream, sent, delays: [held, delay] } => {
                let arrived = self.vms[upstream].now(at);
                self.push(
                    at + held,
                    Due::RequestAnswered { vm, run, upstream, sent, arrived, delay },
                );
            }
            Due::RequestAnswered { vm, run, upstream, sent, arrived, delay } => {
                let upstream = &self.vms[upstream];
                let version = upstream.active;
                let confirmed = upstream.freshness.confirmation();
                let confirmed = confirmed.map(|known| known.relay(arrived, upstream.now(at)));
                self.push(at + delay, Due::ResponseArrives { vm, run, sent, version, confirmed });
            }
            Due::ResponseArrives { vm, run, sent, version, confirmed } => {
                let vm = &mut self.vms[vm];
                if vm.run != run {
                    return;
                }
                if let Some(confirmed) = confirmed {
                    vm.freshness.confirm(confirmed.receive(sent));
                }
                vm.learn(version);
            }
            Due::Rewrite { version } => {
                if self.version() < version {
                    self.versions.push((version, at));
                }
            }
        }
    }

    fn begin(&mut self, at: u64, action: Action) {
        match action {
            Action::Revoke => {
                self.newest_written += 1;
                self.versions.push((self.newest_written, at));
                self.acknowledged.push(at);
            }
            Action::ReadStore { vm, delays: [there, back] } => {
                let (sent, run) = (self.vms[vm].now(at), self.vms[vm].run);
                self.push(at + there, Due::StoreAnswers { vm, run, sent, delay: back });
            }
            Action::Poll { vm, upstream, delays: [there, held, back] } if vm != upstream => {
                let (sent, run) = (self.vms[vm].now(at), self.vms[vm].run);
                let delays = [held, back];
                self.push(at + there, Due::RequestArrives { vm, run, upstream, sent, delays });
            }
            Action::Poll { .. } => {}
            Action::Restore { lost_ms, rewrite_ms } => {
                self.era += 1;
                let copied_at = at.saturating_sub(lost_ms);
                self.versions.retain(|(_, written)| *written <= copied_at);
                let version = self.newest_written;
                self.push(at + rewrite_ms, Due::Rewrite { version });
            }
            Action::Restart { vm } => {
                let run = self.vms[vm].run + 1;
                let clock_offset = self.vms[vm].clock_offset;
                self.vms[vm] = ModelVm { run, clock_offset, ..ModelVm::default() };
            }
        }
    }

    /// No VM may accept a key that was taken away more than the limit ago.
    fn check(&mut self, at: u64) -> Result<(), String> {
        let max_age = Duration::from_millis(MAX_AGE_MS);
        let due = self.acknowledged.iter().rposition(|acked| acked + MAX_AGE_MS < at);
        let due = due.unwrap_or_default() as u64;
        for (number, vm) in self.vms.iter().enumerate() {
            if !vm.freshness.is_within(max_age, vm.now(at)) {
                continue;
            }
            self.accepted += 1;
            if vm.active < due {
                return Err(format!("VM {number} accepts key {due} at {at}, active {}", vm.active));
            }
        }
        Ok(())
    }
}

#[test]
fn no_vm_accepts_a_key_for_longer_after_its_revocation_than_the_limit() {
    fn property(schedule: Schedule) -> Result<(), String> {
        Model::new().play(&schedule)
    }
    let schedules = std::env::var("NICKELLEAD_SCHEDULES").ok().and_then(|text| text.parse().ok());
    QuickCheck::new()
        .tests(schedules.unwrap_or(DEFAULT_SCHEDULES))
        .quickcheck(property as fn(Schedule) -> Result<(), String>);
}

/// Guards against a model in which no VM ever accepts a key.
#[test]
fn vms_that_poll_in_time_accept_keys() {
    let mut schedule = vec![(10_000, Action::ReadStore { vm: 0, delays: [1, 1] })];
    for vm in 1..VMS {
        let at = 10_000 + vm as u64 * 600;
        schedule.push((at, Action::Poll { vm, upstream: vm - 1, delays: [1, 500, 1] }));
    }
    let mut model = Model::new();
    model.play(&Schedule(schedule)).unwrap();
    let now = |vm: &ModelVm| vm.now(13_000);
    let max_age = Duration::from_millis(MAX_AGE_MS);
    assert!(model.vms.iter().all(|vm| vm.freshness.is_within(max_age, now(vm))));
    let late = |vm: &ModelVm| vm.now(14_600);
    assert!(!model.vms.iter().any(|vm| vm.freshness.is_within(max_age, late(vm))));
}

#[test]
fn a_confirmation_of_an_announced_state_counts_once_it_is_active() {
    let mut freshness = DeclarationsFreshness::default();
    freshness.activate(1);
    freshness.confirm(StateConfirmation { state: 1, at: Timestamp(1_000) });
    freshness.confirm(StateConfirmation { state: 2, at: Timestamp(9_000) });
    let within = |freshness: &DeclarationsFreshness<i32>| {
        freshness.is_within(Duration::from_millis(MAX_AGE_MS), Timestamp(9_500))
    };
    assert!(!within(&freshness), "the active state is older");
    freshness.activate(2);
    assert!(within(&freshness));
}

#[test]
fn a_response_that_was_long_on_its_way_confirms_an_early_time() {
    let known = StateConfirmation { state: 1, at: Timestamp(900) };
    let relayed = known.relay(Timestamp(1_000), Timestamp(1_500));
    // The request was sent at 50 on the receiver's clock, and held for half a second.
    assert_eq!(relayed.receive(Timestamp(50)), StateConfirmation { state: 1, at: Timestamp(0) });
    let received = relayed.receive(Timestamp(70_000));
    assert_eq!(received, StateConfirmation { state: 1, at: Timestamp(69_899) });
}
