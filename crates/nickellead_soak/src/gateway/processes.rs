//! The processes of all VMs, and whether each of them runs at this moment.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::{SoakError, SoakProcess};

/// Interval between two looks at which processes are to run.
const TICK: Duration = Duration::from_millis(2);

/// How a process is starved: it runs for a part of each period and stands still for the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyCycle {
    /// How long it runs in each period.
    pub running: Duration,
    /// Length of a period.
    pub period: Duration,
}

impl DutyCycle {
    /// Whether a process with this phase runs at this time.
    fn is_running(self, phase: f64, time: Duration) -> bool {
        let shift = self.period.mul_f64(phase);
        let within = (time + shift).as_nanos() % self.period.as_nanos().max(1);
        within < self.running.as_nanos()
    }
}

/// One VM.
struct VmProcess {
    settings: PathBuf,
    log: PathBuf,
    process: Option<SoakProcess>,
    /// When the process is killed, if it was told to stop.
    stop_by: Option<Instant>,
    /// Whether the process was stopped by a signal of the driver.
    stands_still: bool,
    /// Number of faults that pause it.
    pauses: usize,
    cycle: Option<DutyCycle>,
    /// Where its periods begin, from 0 to 1.
    phase: f64,
}

/// All VMs, and the thread that stops and continues their processes.
pub(super) struct VmProcesses {
    program: PathBuf,
    vms: Arc<Vec<Mutex<VmProcess>>>,
    ended: Arc<AtomicBool>,
}

fn lock(vm: &Mutex<VmProcess>) -> MutexGuard<'_, VmProcess> {
    vm.lock().unwrap_or_else(PoisonError::into_inner)
}

impl VmProcesses {
    /// Creates the VMs of these settings and logs without starting them.
    pub(super) fn new(
        program: PathBuf,
        files: Vec<(PathBuf, PathBuf)>,
        rng: &mut fastrand::Rng,
    ) -> Result<Self, SoakError> {
        let vm = |(settings, log)| {
            Mutex::new(VmProcess {
                settings,
                log,
                process: None,
                stop_by: None,
                stands_still: false,
                pauses: 0,
                cycle: None,
                phase: rng.f64(),
            })
        };
        let vms: Arc<Vec<_>> = Arc::new(files.into_iter().map(vm).collect());
        let ended = Arc::new(AtomicBool::new(false));
        let (driven, ending) = (Arc::clone(&vms), Arc::clone(&ended));
        let driver = std::thread::Builder::new().name("driver".to_owned());
        let thread = driver.spawn(move || drive(&driven, &ending));
        thread.map_err(SoakError::system("a thread"))?;
        Ok(Self { program, vms, ended })
    }

    /// Starts a VM unless it runs.
    pub(super) fn start(&self, vm: usize) -> Result<(), SoakError> {
        let mut known = lock(&self.vms[vm]);
        if known.process.is_some() {
            return Ok(());
        }
        let settings = known.settings.display().to_string();
        let arguments = ["gateway", "--settings", &settings];
        known.process = Some(SoakProcess::start(&self.program, &arguments, &known.log)?);
        known.stop_by = None;
        known.stands_still = false;
        Ok(())
    }

    /// Kills a VM.
    pub(super) fn kill(&self, vm: usize) {
        lock(&self.vms[vm]).process = None;
    }

    /// Tells a VM to read its settings again.
    pub(super) fn reload(&self, vm: usize) {
        if let Some(process) = &lock(&self.vms[vm]).process {
            process.signal(Signal::HUP);
        }
    }

    /// Tells a VM to stop within `grace`.
    pub(super) fn stop(&self, vm: usize, grace: Duration) {
        let mut known = lock(&self.vms[vm]);
        if let Some(process) = &known.process {
            process.signal(Signal::TERM);
        }
        known.stop_by.get_or_insert(Instant::now() + grace);
    }

    /// Whether a VM has a process.
    pub(super) fn is_started(&self, vm: usize) -> bool {
        lock(&self.vms[vm]).process.is_some()
    }

    /// Waits until a VM that was told to stop has ended, and kills it when its time is over. Returns
    /// whether it ended by itself.
    pub(super) fn finish_stop(&self, vm: usize) -> bool {
        let mut known = lock(&self.vms[vm]);
        let (process, stop_by) = (known.process.take(), known.stop_by.take());
        drop(known);
        match process {
            Some(process) => wait_stopped(process, stop_by),
            None => true,
        }
    }

    /// Pauses a VM once more.
    pub(super) fn pause(&self, vm: usize) {
        lock(&self.vms[vm]).pauses += 1;
    }

    /// Ends one of the pauses of a VM.
    pub(super) fn end_pause(&self, vm: usize) {
        let mut known = lock(&self.vms[vm]);
        known.pauses = known.pauses.saturating_sub(1);
    }

    /// Starves a VM, or ends it.
    pub(super) fn set_cycle(&self, vm: usize, cycle: Option<DutyCycle>) {
        lock(&self.vms[vm]).cycle = cycle;
    }

    /// The logs of all VMs.
    pub(super) fn logs(&self) -> Vec<PathBuf> {
        self.vms.iter().map(|vm| lock(vm).log.clone()).collect()
    }

    /// Number of VMs.
    pub(super) fn count(&self) -> usize {
        self.vms.len()
    }
}

impl Drop for VmProcesses {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        (0..self.count()).for_each(|vm| self.kill(vm));
    }
}

/// Waits until a process ends, and kills it at `stop_by`. Returns whether it ended by itself.
fn wait_stopped(mut process: SoakProcess, stop_by: Option<Instant>) -> bool {
    process.signal(Signal::CONT);
    let left = stop_by.map(|by| by.saturating_duration_since(Instant::now()));
    process.wait_exit(left.unwrap_or_default()).is_some()
}

/// Stops and continues processes until the round ends.
fn drive(vms: &[Mutex<VmProcess>], ended: &AtomicBool) {
    let started = Instant::now();
    while !ended.load(Ordering::Relaxed) {
        std::thread::sleep(TICK);
        let time = started.elapsed();
        for vm in vms {
            lock(vm).drive(time);
        }
    }
}

impl VmProcess {
    fn drive(&mut self, time: Duration) {
        let is_in_cycle = self.cycle.is_none_or(|cycle| cycle.is_running(self.phase, time));
        let stands_still = self.pauses > 0 || !is_in_cycle;
        let Some(process) = &self.process else { return };
        if stands_still != self.stands_still {
            process.signal(if stands_still { Signal::STOP } else { Signal::CONT });
            self.stands_still = stands_still;
        }
    }
}
