//! The request path of one VM.
//!
//! A request is read and given a route; then, until an answer stands: a target
//! is chosen, the request is tried there, and the outcome decides whether it
//! may be tried once more.
//!
//! This module holds what the path believes and takes a request in. `attempts` is
//! the loop, `selection` finds a target with room, `outcome` learns from a try, and
//! `responses` builds what the caller gets.

mod attempts;
mod outcome;
mod responses;
mod selection;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, Request, Response};
use nickellead_balance::ZoneReachability;
use nickellead_core::ErrorKind;
use nickellead_event::{EventName, log_event};
use nickellead_limit::WaitQueue;
use nickellead_range::RangeMap;
use nickellead_time::BootClock;
use tokio::sync::Notify;

use self::responses::pass_on;
use crate::admission::{AdmissionTable, CachedAdmission};
use crate::drain::DrainState;
use crate::evacuation::ZoneStates;
use crate::exchange::TargetResponse;
use crate::fleet::FleetTable;
use crate::incoming::{IncomingRequest, read_request};
use crate::load_counter::LoadCounter;
use crate::metrics::GatewayMetrics;
use crate::retry_budget::RetryBudget;
use crate::route_table::RouteTable;
use crate::target_registry::{RegistryRules, TargetRegistry};
use crate::waiting::wait_for;
use crate::{
    CallerLimits, ColdSettings, Declarations, EvacuatedZones, HeaderNames, PolicySettings,
    ServiceRule, TargetList,
};

/// Kept of the caller's time for the way back of an answer.
const RETURN_TIME: Duration = Duration::from_millis(4);
/// How long a request waits for a VM's first declarations: a VM that has just started learns them
/// within this time, unless the store is away, and then another VM is the better one to ask.
///
/// Of 295 VMs with a tenth of a core that started at once, half knew them after 0.24 s and the last one
/// after 0.33 s; their requests are read a little later than they come.
const START_WAIT: Duration = Duration::from_millis(500);
/// Part of the caller's time that it waits for them at most: it must be able to ask another VM.
const START_WAIT_PART: u32 = 2;

/// What the request path believes; parts are replaced whole.
struct WorkerState {
    /// Version of the declarations; `None` before the first ones.
    version: Option<u64>,
    services: BTreeMap<String, ServiceRule>,
    list: Arc<TargetList>,
    fleet: Arc<FleetTable>,
    zones: ZoneStates,
    limits: CallerLimits,
    table: Rc<RouteTable>,
    roster: TargetRegistry,
    ranges: Arc<RangeMap>,
    admissions: CachedAdmission,
    taken: BeliefTimes,
}

impl WorkerState {
    /// Makes the roster anew of what is believed now.
    fn rebuild_roster(&mut self, bounds: Option<ColdSettings>) {
        let rules = RegistryRules {
            services: &self.services,
            cold_settings: bounds,
            fleet: &self.fleet,
            zones: &self.zones,
        };
        self.roster = self.roster.rebuild(&self.list, &rules);
    }

    /// Whether each key of a service has one owner.
    fn is_divided(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|rule| rule.sharded)
    }
}

/// When each belief was taken over, for logs.
#[derive(Clone, Copy)]
struct BeliefTimes {
    declarations: Instant,
    targets: Instant,
    ranges: Instant,
}

/// What the request path is built from.
pub(crate) struct WorkerContext {
    pub(crate) names: HeaderNames,
    pub(crate) vm: String,
    pub(crate) zone: String,
    pub(crate) retry_burst: f64,
    pub(crate) keys: LoadCounter,
    pub(crate) drain: Arc<DrainState>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) policy: PolicySettings,
    pub(crate) cold: Option<ColdSettings>,
    pub(crate) leaving_stay: Duration,
}

/// The request path of one VM.
pub(crate) struct RequestWorker {
    names: HeaderNames,
    zone: String,
    beliefs: RefCell<WorkerState>,
    /// Woken by every new belief.
    changed: Notify,
    retries: RefCell<RetryBudget>,
    rng: RefCell<fastrand::Rng>,
    keys: LoadCounter,
    /// Requests that wait for any target of a service.
    queues: RefCell<HashMap<String, Rc<WaitQueue>>>,
    reach: ZoneReachability,
    /// Ranges that nobody could be asked for, by fence, and since when.
    ownerless: RefCell<HashMap<u64, Instant>>,
    drain: Arc<DrainState>,
    metrics: GatewayMetrics,
    policy: PolicySettings,
    /// What all VMs together may send a cold target.
    cold: Option<ColdSettings>,
    /// For how long a target that said that it leaves is sent what nobody else can serve.
    leaving_stay: Duration,
}

/// What is known of a request between its tries.
#[derive(Default)]
struct AttemptState {
    /// Tries that reached a target.
    sent: u32,
    /// Tries that failed before anything was sent.
    unsent: u32,
    /// Targets tried already.
    tried: Vec<String>,
    /// Targets that said that they do not own the key.
    misdirected: Vec<String>,
    /// Whether a target may have run the request.
    may_have_run: bool,
    /// A failure that a target answered, to be passed on if nothing better comes.
    answer: Option<TargetResponse>,
}

/// What follows a try.
enum NextStep {
    Done(TargetResponse),
    Again,
    Fail(ErrorKind),
}

impl RequestWorker {
    pub(crate) fn new(parts: WorkerContext) -> Rc<Self> {
        let started = Instant::now();
        let beliefs = WorkerState {
            version: None,
            services: BTreeMap::new(),
            list: Arc::default(),
            fleet: Arc::default(),
            zones: ZoneStates::default(),
            limits: CallerLimits::default(),
            table: Rc::default(),
            roster: TargetRegistry::new(parts.vm, parts.zone.clone()),
            ranges: Arc::default(),
            admissions: CachedAdmission::new(Arc::default()),
            taken: BeliefTimes { declarations: started, targets: started, ranges: started },
        };
        Rc::new(Self {
            names: parts.names,
            zone: parts.zone,
            beliefs: RefCell::new(beliefs),
            changed: Notify::new(),
            retries: RefCell::new(RetryBudget::new(parts.retry_burst)),
            rng: RefCell::new(fastrand::Rng::new()),
            keys: parts.keys,
            queues: RefCell::default(),
            reach: ZoneReachability::default(),
            ownerless: RefCell::default(),
            drain: parts.drain,
            metrics: parts.metrics,
            policy: parts.policy,
            cold: parts.cold,
            leaving_stay: parts.leaving_stay,
        })
    }

    /// Takes over newer declarations; older ones are ignored.
    pub(crate) fn set_declarations(&self, declarations: &Declarations) {
        let mut beliefs = self.beliefs.borrow_mut();
        if beliefs.version.is_some_and(|known| known >= declarations.version) {
            return;
        }
        let started = Instant::now();
        beliefs.table = Rc::new(RouteTable::build(declarations, &beliefs.table));
        log_built(declarations, started.elapsed());
        if beliefs.services != declarations.services {
            beliefs.services.clone_from(&declarations.services);
            beliefs.rebuild_roster(self.cold);
        }
        beliefs.limits = declarations.limits;
        beliefs.version = Some(declarations.version);
        beliefs.taken.declarations = Instant::now();
        self.changed.notify_waiters();
    }

    /// Takes over the list of targets.
    pub(crate) fn set_targets(&self, list: Arc<TargetList>) {
        let mut beliefs = self.beliefs.borrow_mut();
        beliefs.list = list;
        beliefs.rebuild_roster(self.cold);
        beliefs.taken.targets = Instant::now();
        self.changed.notify_waiters();
    }

    /// Takes over which availability zones are evacuated.
    pub(crate) fn set_evacuations(&self, zones: &EvacuatedZones) {
        let mut beliefs = self.beliefs.borrow_mut();
        beliefs.zones.update(zones, BootClock.now());
        beliefs.rebuild_roster(self.cold);
        self.changed.notify_waiters();
    }

    /// Takes over which VMs take requests.
    pub(crate) fn set_fleet(&self, fleet: Arc<FleetTable>) {
        let mut beliefs = self.beliefs.borrow_mut();
        beliefs.fleet = fleet;
        beliefs.rebuild_roster(self.cold);
    }

    /// Takes targets into this VM's part of their services as they get warm.
    pub(crate) async fn take_in_warmed(&self) {
        loop {
            let next = || self.beliefs.borrow().roster.next_warm(BootClock.now());
            let warm = wait_for(&self.changed, next).await;
            tokio::time::sleep(warm.since(BootClock.now())).await;
            self.beliefs.borrow_mut().rebuild_roster(self.cold);
        }
    }

    /// Takes over the map of ranges.
    pub(crate) fn set_ranges(&self, ranges: Arc<RangeMap>) {
        {
            let fences: HashSet<u64> = ranges.fences().collect();
            self.ownerless.borrow_mut().retain(|fence, _| fences.contains(fence));
            let mut beliefs = self.beliefs.borrow_mut();
            beliefs.ranges = ranges;
            beliefs.taken.ranges = Instant::now();
        }
        self.changed.notify_waiters();
    }

    /// Takes over the holder's word about crowded owners and targets that name limits.
    pub(crate) fn set_admissions(&self, admissions: Arc<AdmissionTable>) {
        let mut beliefs = self.beliefs.borrow_mut();
        beliefs.roster.set_reported_limits(&admissions);
        beliefs.admissions = CachedAdmission::new(admissions);
    }

    /// Answers one request of a caller.
    pub(crate) async fn answer(&self, request: Request) -> Response<BoxBody> {
        self.metrics.requests.inc();
        let id = self.request_id(&request);
        let known = self.beliefs.borrow().version.is_some();
        if !known && !self.wait_for_declarations(&request).await {
            return self.refuse(ErrorKind::NotConfigured, &id, None);
        }
        let (table, limits) = {
            let beliefs = self.beliefs.borrow();
            (Rc::clone(&beliefs.table), beliefs.limits)
        };
        let planned = match read_request(request, &self.names, limits, &table).await {
            Ok(planned) if self.policy.caller_age.is_on() => planned,
            Ok(planned) => IncomingRequest { caller_age: Duration::ZERO, ..planned },
            Err(kind) => return self.refuse_unread(kind, &id),
        };
        if self.drain.ends_before(planned.deadline) {
            return self.refuse(ErrorKind::Stopping, &id, Some(&planned));
        }
        match self.serve(&planned).await {
            Ok(answer) => {
                self.metrics.record_response(planned.main_service(), planned.arrived_at.elapsed());
                self.log_sample(&id, &planned, &answer);
                pass_on(answer)
            }
            Err(kind) => self.refuse(kind, &id, Some(&planned)),
        }
    }

    /// Waits a little for the first declarations of a VM that has just started.
    async fn wait_for_declarations(&self, request: &Request) -> bool {
        let deadline = request.headers().get(self.names.deadline_ms);
        let deadline = deadline.and_then(|value| value.to_str().ok()?.parse().ok());
        let wait = START_WAIT.min(Duration::from_millis(deadline.unwrap_or(0)) / START_WAIT_PART);
        let waiting = wait_for(&self.changed, || self.beliefs.borrow().version);
        tokio::time::timeout(wait, waiting).await.is_ok()
    }

    /// Brings the figures up to date that are read from what the worker believes.
    pub(crate) fn refresh_gauges(&self) {
        let beliefs = self.beliefs.borrow();
        let metrics = &self.metrics;
        let opened = i64::try_from(beliefs.roster.opened()).unwrap_or(i64::MAX);
        metrics.connections.set(opened);
        let signs = beliefs.roster.count_signals(BootClock.now());
        metrics.leaving.set(signs.leaving);
        metrics.paused.set(signs.paused);
        metrics.limited.set(signs.limited);
        let version = beliefs.version.unwrap_or_default();
        metrics.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        metrics.config_age.set(beliefs.taken.declarations.elapsed().as_secs_f64());
        metrics.targets_age.set(beliefs.taken.targets.elapsed().as_secs_f64());
    }
}

fn log_built(declarations: &Declarations, took: Duration) {
    let pairs: [(&str, &dyn std::fmt::Display); 3] = [
        ("version", &declarations.version),
        ("routes", &declarations.routes.len()),
        ("took_ms", &took.as_millis()),
    ];
    log_event(EventName::RoutesBuilt, &pairs);
}
