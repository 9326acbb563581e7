//! Quotas of workspaces over several gateways, on sockets.
#![allow(clippy::unwrap_used)]

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::store::MemoryStore;
use common::target::{Behavior, TestTarget};
use common::{TestGateway, declarations, entry, wait_until};
use nickellead_gateway::{
    Declarations, KeyDigest, QuotaSettings, SlotCount, WorkspaceQuota, WorkspaceRule,
    WorkspaceRules,
};

const QUOTA: QuotaSettings = QuotaSettings { window_s: 2.0, overage: 0.1, slack: 5.0 };
const LIMITED: WorkspaceQuota = WorkspaceQuota { rate: 20.0, burst: 10.0 };

fn workspace(key: &str, quota: Option<WorkspaceQuota>) -> Arc<WorkspaceRule> {
    let keys = vec![KeyDigest::of(key.as_bytes())];
    Arc::new(WorkspaceRule { keys, priority: None, quota, regions: None })
}

/// Declarations with the workspaces `limited` and `free`, whose names are their keys.
fn with_quota(version: u64, quota: WorkspaceQuota) -> Declarations {
    let workspaces: WorkspaceRules = [
        ("limited".to_owned(), workspace("limited", Some(quota))),
        ("free".to_owned(), workspace("free", None)),
    ]
    .into();
    Declarations { workspaces: Some(workspaces), ..declarations(version) }
}

struct Fleet {
    store: MemoryStore,
    target: TestTarget,
    gateways: Vec<TestGateway>,
}

impl Fleet {
    fn start(name: &str, vms: usize) -> Self {
        let store = MemoryStore::default();
        let target = TestTarget::start("t1", Behavior::Serve);
        let mut listed = entry(&target.id, "plain", target.address);
        listed.slots = SlotCount::new(64).unwrap();
        store.list(listed);
        store.declare(with_quota(1, LIMITED));
        let start = |vm| {
            TestGateway::start_as(&format!("{name}-{vm}"), &store, |settings| {
                settings.quota = QUOTA;
            })
        };
        let gateways: Vec<TestGateway> = (0..vms).map(start).collect();
        gateways.iter().for_each(TestGateway::wait_ready);
        let fleet = Self { store, target, gateways };
        fleet.wait_for_tokens();
        fleet
    }

    /// Waits until every VM gets tokens.
    fn wait_for_tokens(&self) {
        for gateway in &self.gateways {
            wait_until("the VM gets tokens", || status(&send(gateway, "limited")) == "200");
        }
    }

    /// Sends requests of a workspace to all VMs in turn at a rate; returns the answers' statuses.
    fn send_at(&self, key: &str, rate: f64, duration: Duration) -> Vec<String> {
        let (started, mut statuses) = (Instant::now(), Vec::new());
        for number in 0.. {
            let at = started + Duration::from_secs_f64(number as f64 / rate);
            if at > started + duration {
                break;
            }
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let gateway = &self.gateways[number % self.gateways.len()];
            statuses.push(status(&send(gateway, key)).to_owned());
        }
        statuses
    }

    /// The most arrivals at the target in any window.
    fn busiest_window(&self) -> usize {
        let arrivals: Vec<Instant> = self.target.arrivals().iter().map(|one| one.at).collect();
        let window = Duration::from_secs_f64(QUOTA.window_s);
        let in_window = |first: usize| {
            arrivals[first..].iter().take_while(|at| **at < arrivals[first] + window).count()
        };
        (0..arrivals.len()).map(in_window).max().unwrap_or_default()
    }
}

/// Waits for as long as the VM that grants tokens has to know of its predecessors' bursts.
fn wait_for_burst() {
    std::thread::sleep(Duration::from_secs_f64(2.0 * LIMITED.burst / LIMITED.rate));
}

fn allowed(quota: WorkspaceQuota) -> usize {
    let quota = quota.rate * QUOTA.window_s + quota.burst;
    (quota * (1.0 + QUOTA.overage) + QUOTA.slack) as usize
}

fn send(gateway: &TestGateway, key: &str) -> String {
    gateway.send("GET", "/read/a", &format!("authorization: Bearer {key}\r\n"))
}

fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or_default()
}

/// Sends as fast as possible from one thread a VM until told to stop.
fn flood(fleet: &Fleet, duration: Duration) -> Vec<String> {
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let callers: Vec<_> = fleet
            .gateways
            .iter()
            .map(|gateway| {
                scope.spawn(|| {
                    let mut responses = Vec::new();
                    while !stop.load(Ordering::Relaxed) {
                        responses.push(send(gateway, "limited"));
                    }
                    responses
                })
            })
            .collect();
        std::thread::sleep(duration);
        stop.store(true, Ordering::Relaxed);
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    })
}

#[test]
fn all_vms_together_send_no_more_than_the_quota_of_a_flood() {
    let fleet = Fleet::start("vm-flood", 5);
    let responses = flood(&fleet, Duration::from_secs(5));
    let busiest = fleet.busiest_window();
    assert!(busiest <= allowed(LIMITED), "{busiest} of {}", allowed(LIMITED));
    let served = responses.iter().filter(|one| status(one) == "200").count() as f64;
    assert!(served >= LIMITED.rate * 5.0 * 0.9, "{served}");
    let refused = responses.iter().filter(|one| status(one) != "200");
    for response in refused {
        assert_eq!(status(response), "429", "{response}");
        assert!(response.contains("quota-exceeded") && response.contains("retry-after: "));
        assert!(response.contains("nickellead-outcome: not-run"), "{response}");
    }
}

#[test]
fn requests_inside_the_quota_are_served_on_every_vm_beside_a_flood_of_another_workspace() {
    let fleet = Fleet::start("vm-inside", 5);
    let statuses = std::thread::scope(|scope| {
        let flooding = scope.spawn(|| flood(&fleet, Duration::from_secs(4)));
        let statuses = fleet.send_at("free", 25.0, Duration::from_secs(3));
        flooding.join().unwrap();
        statuses
    });
    assert!(statuses.iter().all(|status| status == "200"), "{statuses:?}");
    // The flood has left no tokens.
    std::thread::sleep(Duration::from_secs(1));
    let statuses = fleet.send_at("limited", LIMITED.rate * 0.7, Duration::from_secs(3));
    assert!(statuses.iter().all(|status| status == "200"), "{statuses:?}");
}

#[test]
fn a_lower_quota_binds_when_its_declarations_are_active() {
    let fleet = Fleet::start("vm-lower", 3);
    let lower = WorkspaceQuota { rate: 5.0, burst: 1.0 };
    fleet.store.declare(with_quota(2, lower));
    wait_until("version 2 is active", || fleet.gateways.iter().all(|one| one.is_version_active(2)));
    std::thread::sleep(Duration::from_secs_f64(QUOTA.window_s));
    let before = fleet.target.arrivals().len();
    flood(&fleet, Duration::from_secs_f64(QUOTA.window_s));
    let sent = fleet.target.arrivals().len() - before;
    assert!(sent <= allowed(lower), "{sent} of {}", allowed(lower));
}

/// The VM that grants tokens is lost, and its successor does not know what it granted.
#[test]
fn the_quota_holds_while_the_mandate_passes_to_another_vm() {
    let mut fleet = Fleet::start("vm-takeover", 4);
    let holder = fleet.store.mandate_holder().unwrap();
    let index: usize = holder.rsplit('-').next().unwrap().parse().unwrap();
    let mut lost = fleet.gateways.remove(index);
    std::thread::scope(|scope| {
        let flooding = scope.spawn(|| flood(&fleet, Duration::from_secs(8)));
        std::thread::sleep(Duration::from_secs(1));
        fleet.store.disconnect(&holder);
        if let Some(handle) = lost.handle.take() {
            handle.stop();
        }
        flooding.join().unwrap();
    });
    let busiest = fleet.busiest_window();
    assert!(busiest <= allowed(LIMITED), "{busiest} of {}", allowed(LIMITED));
    assert_ne!(fleet.store.mandate_holder().unwrap(), holder);
    fleet.wait_for_tokens();
}

/// Heavy load: a target that sheds takes nothing from the quota of its callers.
#[test]
fn requests_that_no_target_ran_do_not_use_the_quota() {
    let fleet = Fleet::start("vm-shed", 1);
    wait_for_burst();
    fleet.target.set_behavior(Behavior::Shed);
    let statuses = fleet.send_at("limited", LIMITED.rate * 2.0, Duration::from_secs(3));
    let refused = statuses.iter().filter(|status| *status == "429").count();
    assert_eq!(refused, 0, "of {}", statuses.len());
    assert!(statuses.iter().all(|status| status == "503"), "{statuses:?}");
}

#[test]
fn a_workspace_may_send_its_burst_as_soon_as_it_is_declared() {
    let fleet = Fleet::start("vm-first", 2);
    wait_for_burst();
    let mut declared = with_quota(2, LIMITED);
    let workspaces = declared.workspaces.as_mut().unwrap();
    workspaces.insert("new".to_owned(), workspace("new", Some(LIMITED)));
    fleet.store.declare(declared);
    wait_until("version 2 is active", || fleet.gateways.iter().all(|one| one.is_version_active(2)));
    let responses: Vec<String> =
        (0..LIMITED.burst as usize).map(|_| send(&fleet.gateways[0], "new")).collect();
    assert!(responses.iter().all(|response| status(response) == "200"), "{responses:?}");
}

/// A VM that stops leaves its upstream and still serves callers for a while.
#[test]
fn a_vm_that_stops_still_gets_tokens() {
    let mut fleet = Fleet::start("vm-stops", 3);
    let holder = fleet.store.mandate_holder().unwrap();
    let index: usize = holder.rsplit('-').next().unwrap().parse().unwrap();
    let stopping = &mut fleet.gateways[(index + 1) % 3];
    let handle = stopping.handle.take().unwrap();
    let statuses: Vec<String> = std::thread::scope(|scope| {
        let stopped = scope.spawn(move || handle.stop());
        std::thread::sleep(Duration::from_millis(100));
        let statuses = (0..7).map(|_| {
            std::thread::sleep(Duration::from_millis(100));
            status(&send(stopping, "limited")).to_owned()
        });
        let statuses = statuses.collect();
        stopped.join().unwrap();
        statuses
    });
    assert!(statuses.iter().all(|status| status == "200"), "{statuses:?}");
}

#[test]
fn without_the_vm_that_counts_requests_are_refused_as_not_run() {
    let fleet = Fleet::start("vm-alone", 3);
    fleet.store.set_unavailable(true);
    wait_until("no tokens are granted", || {
        fleet.gateways.iter().all(|one| send(one, "limited").contains("quota-unknown"))
    });
    let refused = send(&fleet.gateways[0], "limited");
    assert_eq!(status(&refused), "503", "{refused}");
    assert!(refused.contains("not-run") && refused.contains("retry-after"), "{refused}");
    assert_eq!(status(&send(&fleet.gateways[0], "free")), "200");
    fleet.store.set_unavailable(false);
    fleet.wait_for_tokens();
}
