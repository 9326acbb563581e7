//! The request path of one VM.
//!
//! A request is read and matched to a route. Then the worker selects a target and sends the request
//! there, until a response is accepted or no further attempt is allowed.
//!
//! This module holds the worker and its cached state. `access` checks keys and regions, `attempts`
//! is the attempt loop, `crashes` finds out which requests targets had when they fell, `selection`
//! selects targets, `dispatching` has dispatchers select them,
//! `vm_reach` checks whether this VM reaches any target, and `assisting` has requests served by other
//! VMs while it does not. `outcome` evaluates attempts, `repeat_cause` names why a request is sent
//! again, `reach` applies changes of the zones in reach, `responses` builds what the caller receives,
//! and `gauges` reports the state.

mod access;
mod assisting;
mod attempts;
mod crashes;
mod dispatching;
mod gauges;
mod outcome;
mod reach;
mod repeat_cause;
mod responses;
mod selection;
mod vm_reach;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, Request, Response};
use nickellead_balance::{ReachRules, ZoneReachability};
use nickellead_core::{ErrorKind, Timestamp};
use nickellead_event::{EventName, log_event};
use nickellead_limit::{ByteBudget, RetryBudget, RetryLimits, WaitQueue};
use nickellead_proxy::{ServeState, arrival_of};
use nickellead_range::RangeMap;
use nickellead_time::BootClock;
use tokio::sync::Notify;

pub(crate) use self::assisting::{AssistFailure, AssistedRequest};
use self::crashes::FallChecks;
pub(crate) use self::crashes::SentRequest;
use self::gauges::gauge_value;
use self::repeat_cause::RepeatCause;
use self::responses::forward_response;
use self::vm_reach::VmReach;
use crate::admission::{AdmissionTable, CachedAdmission};
use crate::connections::ConnectFailure;
use crate::dispatch::{AssistClient, DispatchClient, GroupTable, ZoneReports};
use crate::drain::DrainState;
use crate::evacuation::ZoneStates;
use crate::exchange::TargetResponse;
use crate::fleet::FleetTable;
use crate::incoming::{IncomingRequest, read_request};
use crate::listed_targets::ListedTargets;
use crate::load_counter::{LoadCounter, VmId};
use crate::metrics::{GatewayMetrics, RequestSender};
use crate::quarantine::SharedQuarantine;
use crate::quota::{QuotaClient, QuotaToken};
use crate::regions::RegionMap;
use crate::route_table::RouteTable;
use crate::target_registry::{RegistryRules, TargetRegistry};
use crate::vm_reach::ReachSignal;
use crate::waiting::wait_for;
use crate::workspace_table::WorkspaceTable;
use crate::{
    CallerLimits, ColdSettings, Declarations, DeclarationsFreshness, DispatchScope, EvacuatedZones,
    HeaderNames, PolicySettings, RouteRule, ServiceRule, StateConfirmation,
};

/// Memory that a request takes while it is in progress, without its body: its state and its head.
const REQUEST_BYTES: usize = 16 * 1024;
/// Part of the caller's deadline that is reserved for returning the response.
const RESPONSE_RETURN_RESERVE: Duration = Duration::from_millis(4);
/// Maximum time that a request waits for the first declarations of a VM that has just started. If
/// the store is unavailable they take longer, and the caller should try another VM.
///
/// Of 295 VMs with a tenth of a core that started at once, half knew them after 0.24 s and the last one
/// after 0.33 s; their requests are read a little later than they arrive.
const MAX_FIRST_DECLARATIONS_WAIT: Duration = Duration::from_millis(500);
/// The wait for the first declarations also ends after the caller's deadline divided by this, which
/// leaves the caller time to try another VM.
const FIRST_DECLARATIONS_DEADLINE_DIVISOR: u32 = 2;

/// The request path's cached copy of the cluster state. Each field is replaced as a whole.
struct WorkerState {
    /// Version of the declarations; `None` before the first ones.
    version: Option<u64>,
    services: BTreeMap<String, ServiceRule>,
    fleet: Arc<FleetTable>,
    zones: ZoneStates,
    limits: CallerLimits,
    routes: Rc<RouteTable>,
    /// Workspaces of the declarations; `None` if requests need no key.
    workspaces: Option<WorkspaceTable>,
    /// How old the declarations can be, by version.
    freshness: DeclarationsFreshness<u64>,
    registry: TargetRegistry,
    /// Groups of targets that dispatchers decide for.
    groups: Rc<GroupTable>,
    /// Whether a declared route has large responses.
    large_responses: bool,
    ranges: Arc<RangeMap>,
    admissions: CachedAdmission,
    updated: StateTimes,
}

impl WorkerState {
    /// The registry, and what determines how its targets are used; `cold` bounds what cold targets are
    /// sent.
    fn registry_with_rules(
        &mut self,
        cold: Option<ColdSettings>,
    ) -> (&mut TargetRegistry, RegistryRules<'_>) {
        let rules = RegistryRules {
            services: &self.services,
            cold_settings: cold,
            fleet: &self.fleet,
            zones: &self.zones,
        };
        (&mut self.registry, rules)
    }

    /// Whether each key of a service has one owner.
    fn is_sharded(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|rule| rule.sharded)
    }
}

/// When parts of the state were last updated, for the log.
#[derive(Clone, Copy)]
struct StateTimes {
    declarations: Instant,
    targets: Instant,
    ranges: Instant,
}

/// How this VM takes part in dispatch.
pub(crate) struct WorkerDispatch {
    pub(crate) client: Rc<DispatchClient>,
    pub(crate) assist: AssistClient,
    pub(crate) scope: DispatchScope,
}

/// Settings and shared dependencies of the request path.
pub(crate) struct WorkerContext {
    pub(crate) header_names: HeaderNames,
    pub(crate) vm: String,
    pub(crate) zone: String,
    pub(crate) retry_limits: RetryLimits,
    pub(crate) load_counter: LoadCounter,
    pub(crate) quarantine: SharedQuarantine,
    pub(crate) drain: Arc<DrainState>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) policy: PolicySettings,
    pub(crate) cold_settings: Option<ColdSettings>,
    pub(crate) leaving_window: Duration,
    pub(crate) max_key_age: Option<Duration>,
    pub(crate) regions: RegionMap,
    pub(crate) quotas: Rc<QuotaClient>,
    /// `None` if the VM does not take part in dispatch.
    pub(crate) dispatch: Option<WorkerDispatch>,
    pub(crate) reachability: Rc<ZoneReachability>,
    pub(crate) zone_reports: Rc<ZoneReports>,
    /// Bytes of requests and responses that this VM holds.
    pub(crate) memory: ByteBudget,
    pub(crate) serve_state: Arc<ServeState>,
    pub(crate) reach_signal: ReachSignal,
}

/// The request path of one VM.
pub(crate) struct RequestWorker {
    header_names: HeaderNames,
    vm: VmId,
    zone: String,
    state: RefCell<WorkerState>,
    /// Notified when the state changes.
    changed: Notify,
    retry_budget: RefCell<RetryBudget>,
    rng: RefCell<fastrand::Rng>,
    load_counter: LoadCounter,
    /// Requests that make targets fall.
    quarantine: SharedQuarantine,
    /// Wait queues of services, for requests that any target of the service can take.
    queues: RefCell<HashMap<String, Rc<WaitQueue>>>,
    fall_checks: FallChecks,
    reachability: Rc<ZoneReachability>,
    /// Notified when a zone goes out of reach or returns.
    reach_changed: Notify,
    /// When a target last responded, or when the VM started.
    last_response: Cell<Timestamp>,
    vm_reach: VmReach,
    /// Requests of other VMs that are being served.
    assisted: Cell<usize>,
    /// What this VM and others of its zone tell each other about other zones.
    zone_reports: Rc<ZoneReports>,
    /// When ranges were first seen without a usable owner, by fence.
    ownerless_since: RefCell<HashMap<u64, Instant>>,
    drain: Arc<DrainState>,
    metrics: GatewayMetrics,
    policy: PolicySettings,
    /// Bounds on what all VMs together send to a cold target.
    cold_settings: Option<ColdSettings>,
    /// How long an owner that announced that it leaves still receives the requests for its keys.
    leaving_window: Duration,
    /// Most age of the declarations with which keys may be checked; `None` for no limit.
    max_key_age: Option<Duration>,
    regions: RegionMap,
    quotas: Rc<QuotaClient>,
    dispatch: Option<WorkerDispatch>,
    /// Bytes of requests and responses that this VM holds.
    memory: ByteBudget,
    serve_state: Arc<ServeState>,
}

/// State of a request across its attempts.
#[derive(Default)]
struct AttemptState {
    /// Attempts that reached a target.
    sent: u32,
    /// Attempts that failed before anything was sent.
    unsent: u32,
    /// Targets of earlier attempts.
    tried: Vec<String>,
    /// Targets that reported that they do not own the key.
    misdirected: Vec<String>,
    /// Targets that broke the connection while they had the request.
    broken: usize,
    /// Attempts that failed while connecting.
    unconnected: Vec<UnconnectedAttempt>,
    /// How the last attempt that may have reached a target ended.
    repeat_cause: RepeatCause,
    /// Whether a target may have run the request.
    may_have_run: bool,
    /// An error response of a target, returned if no later attempt succeeds.
    response: Option<TargetResponse>,
    /// The quota token of the next attempt.
    token: Option<QuotaToken>,
    /// Whether the next attempt is made by this VM's own limits.
    undispatched: bool,
    /// Whether the announced limits on overloaded owners admitted the request.
    admitted: bool,
    /// Whether the retry budget of this VM has recorded the request.
    is_in_budget: bool,
    /// Whether no other VM took the request.
    unassisted: bool,
}

/// An attempt that failed while connecting.
struct UnconnectedAttempt {
    target: String,
    zone: String,
    failure: ConnectFailure,
}

/// The next step after an attempt.
enum NextStep {
    Done(TargetResponse),
    Retry,
    Fail(ErrorKind),
}

impl RequestWorker {
    pub(crate) fn new(context: WorkerContext) -> Rc<Self> {
        let started = Instant::now();
        let vm = VmId::new(&context.vm, &context.zone);
        let state = WorkerState {
            version: None,
            services: BTreeMap::new(),
            fleet: Arc::default(),
            zones: ZoneStates::default(),
            limits: CallerLimits::default(),
            routes: Rc::default(),
            workspaces: None,
            freshness: DeclarationsFreshness::default(),
            registry: TargetRegistry::new(vm, context.zone.clone()),
            groups: Rc::default(),
            large_responses: false,
            ranges: Arc::default(),
            admissions: CachedAdmission::new(Arc::default()),
            updated: StateTimes { declarations: started, targets: started, ranges: started },
        };
        Rc::new(Self {
            header_names: context.header_names,
            vm,
            zone: context.zone,
            state: RefCell::new(state),
            changed: Notify::new(),
            retry_budget: RefCell::new(RetryBudget::new(context.retry_limits, fastrand::f64())),
            rng: RefCell::new(fastrand::Rng::new()),
            load_counter: context.load_counter,
            quarantine: context.quarantine,
            queues: RefCell::default(),
            fall_checks: FallChecks::default(),
            reachability: context.reachability,
            reach_changed: Notify::new(),
            last_response: Cell::new(BootClock.now()),
            vm_reach: VmReach::new(context.reach_signal),
            assisted: Cell::new(0),
            zone_reports: context.zone_reports,
            ownerless_since: RefCell::default(),
            drain: context.drain,
            metrics: context.metrics,
            policy: context.policy,
            cold_settings: context.cold_settings,
            leaving_window: context.leaving_window,
            max_key_age: context.max_key_age,
            regions: context.regions,
            quotas: context.quotas,
            dispatch: context.dispatch,
            memory: context.memory,
            serve_state: context.serve_state,
        })
    }

    /// Applies changed services or evacuated zones to all targets.
    fn apply_registry_rules(&self, state: &mut WorkerState) {
        let (registry, rules) = state.registry_with_rules(self.cold_settings);
        registry.apply_rules(&rules);
        self.rebuild_groups(state);
    }

    /// Divides all targets into groups anew.
    fn rebuild_groups(&self, state: &mut WorkerState) {
        if self.dispatch.is_some() {
            let groups = GroupTable::build(&state.registry, &state.fleet, &state.zones);
            self.set_groups(state, groups);
        }
    }

    /// Replaces the groups of targets after the registry changed.
    fn set_groups(&self, state: &mut WorkerState, groups: GroupTable) {
        let Some(dispatch) = &self.dispatch else { return };
        state.groups = Rc::new(groups);
        dispatch.client.set_groups(Rc::clone(&state.groups));
    }

    /// Applies newer declarations; older ones are ignored.
    pub(crate) fn set_declarations(&self, declarations: &Declarations) {
        let mut state = self.state.borrow_mut();
        if state.version.is_some_and(|known| known >= declarations.version) {
            return;
        }
        let started = Instant::now();
        state.routes = Rc::new(RouteTable::build(declarations, &state.routes));
        log_built(declarations, started.elapsed());
        if state.services != declarations.services {
            state.services.clone_from(&declarations.services);
            self.apply_registry_rules(&mut state);
        }
        state.limits = declarations.limits;
        self.serve_state.set_idle_timeout(declarations.limits.idle_timeout);
        state.workspaces = declarations.workspaces.as_ref().map(WorkspaceTable::build);
        state.large_responses = declarations.routes.iter().any(|route| route.large_responses);
        self.set_reach_rules(&state);
        state.freshness.activate(declarations.version);
        let workspaces = declarations.workspaces.as_ref();
        self.quotas.retain(|name| workspaces.is_some_and(|known| known.contains_key(name)));
        state.version = Some(declarations.version);
        state.updated.declarations = Instant::now();
        self.changed.notify_waiters();
    }

    /// Selects the rules by which zones count as out of reach, as the settings and declarations need.
    fn set_reach_rules(&self, state: &WorkerState) {
        let scope = self.dispatch.as_ref().map(|dispatch| dispatch.scope);
        let rules = match scope {
            Some(DispatchScope::Always) => ReachRules::AllFailures,
            // A request that is sent again to a zone out of reach would waste a large response.
            Some(DispatchScope::Never) if state.large_responses && state.workspaces.is_none() => {
                ReachRules::AllFailures
            }
            Some(DispatchScope::Never) | None => ReachRules::Timeouts,
        };
        self.reachability.set_rules(rules, &state.registry.count_by_zone());
    }

    /// Applies a confirmation of a version of the declarations.
    pub(crate) fn confirm_declarations(&self, confirmation: StateConfirmation<u64>) {
        self.state.borrow_mut().freshness.confirm(confirmation);
    }

    /// Replaces the list of targets.
    pub(crate) fn set_targets(&self, list: ListedTargets) {
        let mut state = self.state.borrow_mut();
        let (registry, rules) = state.registry_with_rules(self.cold_settings);
        let changed = registry.apply_list(list, &rules);
        let retired = registry.take_retired();
        if self.dispatch.is_some() {
            let (fleet, zones) = (&state.fleet, &state.zones);
            let groups = state.groups.with_changes(&changed, &state.registry, fleet, zones);
            self.set_groups(&mut state, groups);
        }
        self.reachability.set_targets(&state.registry.count_by_zone());
        state.updated.targets = Instant::now();
        drop(state);
        self.record_retired(&retired);
        self.changed.notify_waiters();
    }

    /// Replaces the evacuated availability zones.
    pub(crate) fn set_evacuations(&self, zones: &EvacuatedZones) {
        let mut state = self.state.borrow_mut();
        state.zones.update(zones, BootClock.now());
        self.apply_registry_rules(&mut state);
        self.changed.notify_waiters();
    }

    /// Replaces the VMs that take requests.
    pub(crate) fn set_fleet(&self, fleet: Arc<FleetTable>) {
        let sharing_vms = fleet.count_including(self.vm);
        self.retry_budget.borrow_mut().set_fleet_size(sharing_vms);
        self.metrics.repeats.budget_vms.set(gauge_value(sharing_vms));
        if let Some(dispatch) = &self.dispatch {
            dispatch.assist.retain(&fleet);
        }
        let mut state = self.state.borrow_mut();
        state.fleet = fleet;
        let (registry, rules) = state.registry_with_rules(self.cold_settings);
        registry.apply_fleet(&rules);
        self.rebuild_groups(&mut state);
    }

    /// Updates this VM's subsets each time a cold target becomes warm, so that it may join them.
    pub(crate) async fn update_when_targets_warm(&self) {
        loop {
            let next = || self.state.borrow().registry.next_warm(BootClock.now());
            let warm = wait_for(&self.changed, next).await;
            tokio::time::sleep(warm.since(BootClock.now())).await;
            let mut state = self.state.borrow_mut();
            let (registry, rules) = state.registry_with_rules(self.cold_settings);
            registry.update_all_subsets(&rules);
            if let Some(dispatch) = &self.dispatch {
                dispatch.client.set_groups(Rc::clone(&state.groups));
            }
        }
    }

    /// Replaces the map of ranges.
    pub(crate) fn set_ranges(&self, ranges: Arc<RangeMap>) {
        {
            let fences: HashSet<u64> = ranges.fences().collect();
            self.ownerless_since.borrow_mut().retain(|fence, _| fences.contains(fence));
            let mut state = self.state.borrow_mut();
            state.ranges = ranges;
            state.updated.ranges = Instant::now();
        }
        self.changed.notify_waiters();
    }

    /// Replaces the mandate holder's limits on overloaded owners and targets.
    pub(crate) fn set_admissions(&self, admissions: Arc<AdmissionTable>) {
        let mut state = self.state.borrow_mut();
        state.registry.set_reported_limits(&admissions);
        state.admissions = CachedAdmission::new(admissions);
    }

    /// Whether this VM takes new connections of callers.
    pub(crate) fn takes_connections(&self) -> bool {
        !self.serve_state.is_full()
    }

    /// Handles one request of a caller, if the memory has room for its state.
    pub(crate) async fn handle(&self, request: Request) -> Response<BoxBody> {
        self.metrics.requests.inc();
        let id = self.request_id(&request);
        match self.memory.admit(REQUEST_BYTES) {
            Ok(_held) => Box::pin(self.handle_admitted(request, id)).await,
            Err(_) => self.refuse_unread(ErrorKind::MemoryFull, &id),
        }
    }

    async fn handle_admitted(&self, request: Request, id: String) -> Response<BoxBody> {
        let unread = arrival_of(&request).elapsed();
        self.metrics.unread.record_request(RequestSender::Caller, id.as_bytes(), unread);
        let known = self.state.borrow().version.is_some();
        if !known && !self.wait_for_declarations(&request).await {
            return self.refuse(ErrorKind::NotConfigured, &id, None);
        }
        let incoming = match self.read(request).await {
            Ok(incoming) if self.policy.caller_age.is_on() => incoming,
            Ok(incoming) => IncomingRequest { caller_age: Duration::ZERO, ..incoming },
            Err(kind) => return self.refuse_unread(kind, &id),
        };
        if self.drain.ends_before(incoming.deadline) {
            return self.refuse(ErrorKind::Stopping, &id, Some(&incoming));
        }
        match self.serve(&incoming).await {
            Ok(response) => {
                self.metrics
                    .record_response(incoming.main_service(), incoming.arrived_at.elapsed());
                self.log_sample(&id, &incoming, &response);
                forward_response(response)
            }
            Err(kind) => self.refuse(kind, &id, Some(&incoming)),
        }
    }

    /// Reads a request by the declarations in force.
    async fn read(&self, request: Request) -> Result<IncomingRequest, ErrorKind> {
        let (routes, limits) = {
            let state = self.state.borrow();
            (Rc::clone(&state.routes), state.limits)
        };
        let identify = |route: &RouteRule, credential| self.identify(route, credential);
        let names = &self.header_names;
        read_request(request, names, limits, &routes, &self.memory, identify).await
    }

    /// Waits for the first declarations of a VM that has just started; `false` on timeout.
    async fn wait_for_declarations(&self, request: &Request) -> bool {
        let deadline = request.headers().get(self.header_names.deadline_ms);
        let deadline = deadline.and_then(|value| value.to_str().ok()?.parse().ok());
        let wait = MAX_FIRST_DECLARATIONS_WAIT.min(
            Duration::from_millis(deadline.unwrap_or(0)) / FIRST_DECLARATIONS_DEADLINE_DIVISOR,
        );
        let waiting = wait_for(&self.changed, || self.state.borrow().version);
        tokio::time::timeout(wait, waiting).await.is_ok()
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
