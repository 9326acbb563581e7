//! One round: faults, load, and checks of what callers and targets saw.

use std::collections::HashMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use nickellead_adapter_standin::{
    CrashingLoad, CrashingRequests, HandedTime, LoadReport, OddAnswer, ServiceRepeats,
    StandinLateness, TargetBehavior, WidespreadWork, run_callers,
};

use super::fleet::GatewayFleet;
use super::metrics::VmMetrics;
use super::schedule::{GatewaySchedule, gateway_schedule};
use super::site::GatewaySite;
use crate::SoakError;

/// Load without faults at the start, and after the last one.
const CALM_TIME: Duration = Duration::from_secs(3);
/// Interval between two looks at the time of the next fault.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time until a VM that is starved has written what it logged: two of its periods.
const LOG_DELAY: Duration = Duration::from_secs(1);
/// How a VM logs that it took a token to send a request once more; the id of the request follows.
const PAID_EVENT: &str = "event=request-repeated request=";

/// What a round plays.
#[derive(Clone, Debug)]
pub struct GatewayRound {
    /// Path of the program under test.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// The deployment.
    pub site: GatewaySite,
    /// How targets handle requests while no fault changes it.
    pub target_behavior: TargetBehavior,
    /// Requests that make targets fall.
    pub crashing: Option<CrashingLoad>,
    /// Time within which all faults end.
    pub fault_duration: Duration,
    /// Seed of the deployment, the load and the faults.
    pub seed: u64,
    /// Which faults are injected.
    pub faults: RoundFaults,
}

impl GatewayRound {
    /// The faults to inject, of which some concern this many targets.
    fn schedule(&self, targets: usize) -> GatewaySchedule {
        let seeded = || gateway_schedule(self.seed, self.site, targets, self.fault_duration);
        match &self.faults {
            RoundFaults::Seeded => seeded(),
            RoundFaults::None => GatewaySchedule { faults: Vec::new(), ..seeded() },
            RoundFaults::Given(schedule) => schedule.clone(),
        }
    }
}

/// The faults of a round.
#[derive(Clone, Debug)]
pub enum RoundFaults {
    /// Those of the seed.
    Seeded,
    /// None; small VMs are starved as the seed tells.
    None,
    /// These.
    Given(GatewaySchedule),
}

/// An arrival beyond the first of its request for which no VM has logged that it took a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnpaidArrival {
    /// Id of the request.
    pub id: String,
    /// When it arrived.
    pub at: Duration,
    /// Whether a VM was killed soon after. The last lines of its log are lost, so that nothing shows
    /// whether it took a token.
    pub before_kill: bool,
}

/// What callers, targets and VMs saw in a round.
#[derive(Clone, Debug)]
pub struct GatewayReport {
    /// Responses to callers.
    pub load: LoadReport,
    /// The retry budget of each service.
    pub repeats: Vec<ServiceRepeats>,
    /// Responses that targets sent twice, if another request came over their connections.
    pub surplus_responses: usize,
    /// Unusual responses of targets, with the ids of their requests.
    pub odd_answers: Vec<(String, OddAnswer)>,
    /// Bytes sent of each response without end.
    pub endless_responses: Vec<usize>,
    /// Requests at more targets at the same time than routes allow.
    pub widespread_work: WidespreadWork,
    /// What targets were told of the time that remains.
    pub handed_time: HandedTime,
    /// The same without requests whose VMs were not in touch, which the rule does not bind. The VM that a
    /// caller sent a request to is known, not the dispatcher that may have passed it on.
    pub handed_in_touch: HandedTime,
    /// Requests that make targets fall.
    pub crashing: CrashingRequests,
    /// Whether they reached targets too often by way of VMs in touch.
    pub crashing_exceeded: bool,
    /// Late arrivals of the worst of them, by way of all VMs.
    pub most_late_crashing: usize,
    /// How late the threads of callers and targets ran.
    pub lateness: StandinLateness,
    /// Watches that the store cut.
    pub cut_watches: usize,
    /// Requests that arrived more than once, with the time of each further arrival.
    pub repeated: Vec<(Duration, String)>,
    /// Arrivals beyond the first of each request for which no VM has logged that it took a token.
    pub unpaid: Vec<UnpaidArrival>,
    /// Metrics of all VMs over all lives.
    pub metrics: VmMetrics,
    /// The faults that were injected.
    pub schedule: GatewaySchedule,
}

impl GatewayReport {
    /// Whether every guarantee was kept.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let is_repeated_too_often = self.repeats.iter().any(ServiceRepeats::is_exceeded);
        let is_exceeded = self.widespread_work.is_exceeded() || self.handed_in_touch.is_exceeded();
        let within_budget = !is_repeated_too_often && !is_exceeded && !self.crashing_exceeded;
        let load = &self.load;
        let promises_kept = load.broken_promises.is_empty() && load.run_twice.is_empty();
        within_budget && promises_kept && self.unpaid.iter().all(|arrival| arrival.before_kill)
    }
}

/// Runs one round.
///
/// # Errors
/// A [`SoakError`] if the round could not run.
pub fn run_gateway_round(round: &GatewayRound) -> Result<GatewayReport, SoakError> {
    let mut fleet = GatewayFleet::start(round)?;
    let targets = fleet.targets.count();
    let schedule = round.schedule(targets);
    let load_duration = round.fault_duration + 2 * CALM_TIME;
    let (settings, factor) = fleet.callers(load_duration, round.seed);
    let ledger = fleet.ledger.clone();
    let callers = std::thread::spawn(move || match actix_rt::Runtime::new() {
        Ok(runtime) => runtime.block_on(run_callers(settings, ledger, factor)),
        // The empty report shows that nothing was sent.
        Err(_) => LoadReport::default(),
    });
    std::thread::sleep(CALM_TIME);
    fleet.set_cycle(schedule.cycle);
    inject(&mut fleet, &schedule, round.fault_duration)?;
    fleet.set_cycle(None);
    let load = callers.join().map_err(|_| SoakError::NotReached("load finished".to_owned()))?;
    let (repeated, metrics) = (fleet.ledger.repeated(), fleet.metrics());
    let paid = fleet.count_events(PAID_EVENT)?;
    let handed_time = fleet.ledger.handed_time();
    let handed_in_touch = handed_time
        .filtered(|one| one.vm.is_none_or(|vm| fleet.disturbances.is_in_touch(vm, one.at)));
    let crashing = fleet.ledger.crashing_requests();
    let most_late = crashing.iter().map(|(_, request)| request.late_arrivals(|_, _| true)).max();
    Ok(GatewayReport {
        load,
        repeats: fleet.ledger.judge(round.site.budget()),
        surplus_responses: fleet.ledger.surplus_responses(),
        odd_answers: fleet.ledger.odd_answers(),
        endless_responses: fleet.ledger.endless_responses(),
        widespread_work: fleet.ledger.widespread_work(GatewaySite::ATTEMPTS),
        handed_time,
        handed_in_touch,
        crashing_exceeded: crashing.is_exceeded(|vm, at| fleet.disturbances.is_in_touch(vm, at)),
        most_late_crashing: most_late.unwrap_or(0),
        crashing,
        lateness: fleet.ledger.lateness(),
        cut_watches: fleet.store.cut_watches(),
        unpaid: find_unpaid(&repeated, paid, &fleet.kills),
        repeated,
        metrics,
        schedule,
    })
}

/// The arrivals beyond the first of each request for which no VM has logged that it took a token.
fn find_unpaid(
    repeated: &[(Duration, String)],
    mut paid: HashMap<String, usize>,
    kills: &[Duration],
) -> Vec<UnpaidArrival> {
    let is_unpaid = |(_, id): &&(Duration, String)| match paid.get_mut(id) {
        Some(left) if *left > 0 => {
            *left -= 1;
            false
        }
        _ => true,
    };
    let is_before_kill =
        |at: Duration| kills.iter().any(|kill| (at..at + LOG_DELAY).contains(kill));
    let unpaid = repeated.iter().filter(is_unpaid);
    unpaid
        .map(|(at, id)| UnpaidArrival { id: id.clone(), at: *at, before_kill: is_before_kill(*at) })
        .collect()
}

/// Injects all faults; ends when the last one has ended.
fn inject(
    fleet: &mut GatewayFleet,
    schedule: &GatewaySchedule,
    duration: Duration,
) -> Result<(), SoakError> {
    let (started, started_at) = (Instant::now(), fleet.ledger.now());
    let starts = schedule.faults.iter().map(|fault| (fault.start, true, fault));
    let ends = schedule.faults.iter().map(|fault| (fault.end, false, fault));
    let mut edges: Vec<_> = starts.chain(ends).collect();
    edges.sort_by_key(|(at, _, _)| *at);
    let wait_until = |at: Duration| {
        while started.elapsed() < at {
            std::thread::sleep(POLL_INTERVAL);
        }
    };
    for (at, is_start, scheduled) in edges {
        wait_until(at);
        if is_start {
            fleet.start_fault(&scheduled.fault);
            continue;
        }
        fleet.end_fault(&scheduled.fault)?;
        let (start, end) = (started_at + scheduled.start, fleet.ledger.now());
        fleet.disturbances.record(&scheduled.fault, start, end);
    }
    wait_until(duration);
    Ok(())
}
