//! Random schedules of disturbances, with shrinking.

use nickellead_api::TargetState;
use quickcheck::{Arbitrary, Gen};

use super::Simulation;

const VMS: usize = 3;
const TARGETS: usize = 3;

/// One disturbance, or a period without any.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Run(u16),
    Stall(u16),
    Tick(u8),
    Deliver(u8),
    Lose(u8),
    Duplicate(u8, u16),
    Delay(u8, u16),
    PauseVm(u8),
    PauseTarget(u8),
    KillVm(u8),
    UnlistVm(u8),
    RestartVm(u8),
    KillTarget(u8),
    RestartTarget(u8),
    CutTarget(u8, u8),
    CutVms(u8, u8),
    CutPlatform(u8),
    PlatformDown(bool),
    LoseResponses(bool),
    Drain(u8),
    Undrain,
    Begin(u8, u8),
    Finish(u8),
    StopLeader,
    Heal,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let small = u8::arbitrary(g);
        let other = u8::arbitrary(g);
        let flag = bool::arbitrary(g);
        let long = u16::arbitrary(g) % 4_000;
        match u8::arbitrary(g) % 40 {
            0..=9 => Self::Run(long % 1_500 + 10),
            10 => Self::Run(long + 1_000),
            11 => Self::Stall(long),
            12 => Self::Stall(long % 200),
            13 => Self::Tick(small),
            14 | 15 => Self::Deliver(small),
            16 => Self::Lose(small),
            17 => Self::Duplicate(small, long),
            18 => Self::Delay(small, long),
            19 | 20 => Self::PauseVm(small),
            21 | 22 => Self::PauseTarget(small),
            23 => Self::KillVm(small),
            24 => Self::UnlistVm(small),
            25 => Self::RestartVm(small),
            26 => Self::KillTarget(small),
            27 => Self::RestartTarget(small),
            28 | 29 => Self::CutTarget(small, other),
            30 => Self::CutVms(small, other),
            31 => Self::CutPlatform(small),
            32 | 33 => Self::PlatformDown(flag),
            34 => Self::LoseResponses(flag),
            35 => Self::Drain(small),
            36 => Self::Undrain,
            37 => Self::Begin(small, other),
            38 => Self::Finish(small),
            _ if flag => Self::Heal,
            _ => Self::StopLeader,
        }
    }
}

/// A sequence of steps, which quickcheck shrinks by removing runs of steps.
#[derive(Clone, Debug)]
pub struct Schedule(pub Vec<Step>);

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut steps = vec![Step::Run(1_500)];
        steps.extend((0..g.size()).map(|_| Step::arbitrary(g)));
        Self(steps)
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let steps = self.0.clone();
        let length = steps.len();
        let mut sizes = vec![];
        let mut size = length / 2;
        while size > 0 {
            sizes.push(size);
            size /= 2;
        }
        let cuts = sizes
            .into_iter()
            .flat_map(move |size| (0..length.div_ceil(size)).map(move |part| (part * size, size)));
        Box::new(cuts.map(move |(start, size)| {
            let mut rest = steps.clone();
            rest.drain(start..(start + size).min(rest.len()));
            Self(rest)
        }))
    }
}

impl Schedule {
    /// Plays the schedule in a new simulation; panics if an invariant is violated.
    pub fn play(&self) -> Simulation {
        let mut simulation = Simulation::new(VMS, TARGETS);
        for step in &self.0 {
            apply(&mut simulation, *step);
        }
        simulation
    }
}

fn toggle<T: PartialEq>(list: &mut Vec<T>, item: T) {
    match list.iter().position(|known| *known == item) {
        Some(index) => drop(list.remove(index)),
        None => list.push(item),
    }
}

fn apply(simulation: &mut Simulation, step: Step) {
    let vm = |number: u8| usize::from(number) % VMS;
    let target = |number: u8| usize::from(number) % TARGETS;
    match step {
        Step::Run(millis) => simulation.run(u64::from(millis)),
        Step::Stall(millis) => simulation.stall(u64::from(millis)),
        Step::Tick(number) => simulation.tick(vm(number)),
        Step::Deliver(index) => simulation.deliver_one(usize::from(index)),
        Step::Lose(index) => simulation.lose_one(usize::from(index)),
        Step::Duplicate(index, delay) => {
            simulation.duplicate_one(usize::from(index), u64::from(delay))
        }
        Step::Delay(index, delay) => simulation.delay_one(usize::from(index), u64::from(delay)),
        Step::PauseVm(number) => {
            let node = &mut simulation.vms[vm(number)];
            node.paused = !node.paused;
        }
        Step::PauseTarget(number) => {
            let node = &mut simulation.targets[target(number)];
            node.paused = !node.paused;
        }
        Step::KillVm(number) => simulation.kill_vm(vm(number)),
        Step::UnlistVm(number) => {
            let number = vm(number);
            if !simulation.vms[number].alive {
                simulation.listed_vms.retain(|listed| *listed != number);
            }
        }
        Step::RestartVm(number) => {
            if !simulation.vms[vm(number)].alive {
                simulation.restart_vm(vm(number));
            }
        }
        Step::KillTarget(number) => simulation.targets[target(number)].alive = false,
        Step::RestartTarget(number) => {
            if !simulation.targets[target(number)].alive {
                simulation.restart_target(target(number));
            }
        }
        Step::CutTarget(one, other) => {
            toggle(&mut simulation.cut_target_links, (vm(one), target(other)))
        }
        Step::CutVms(one, other) => toggle(&mut simulation.cut_vm_links, (vm(one), vm(other))),
        Step::CutPlatform(number) => toggle(&mut simulation.cut_platform_links, vm(number)),
        Step::PlatformDown(down) => simulation.platform.down = down,
        Step::LoseResponses(lose) => simulation.platform.lose_responses = lose,
        Step::Drain(number) => simulation.declare(&[(target(number), TargetState::Draining)]),
        Step::Undrain => simulation.declare(&[]),
        Step::Begin(number, shard) => {
            simulation.begin_request(target(number), u32::from(shard) % super::SHARDS);
        }
        Step::Finish(number) => simulation.finish_request(target(number)),
        Step::StopLeader => simulation.stop_leader(),
        Step::Heal => simulation.heal(),
    }
}
