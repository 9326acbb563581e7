//! Keys of workspaces: who may send requests, what targets receive, and for how long.
#![allow(clippy::unwrap_used)]

mod common;

use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use common::store::MemoryStore;
use common::target::{Behavior, TestTarget, header};
use common::{TestGateway, declarations, entry, exchange, wait_until};
use nickellead_gateway::{Declarations, KeyDigest, WorkspaceRule, WorkspaceRules};

const KEY: &str = "key-of-alpha-1";
const OTHER_KEY: &str = "key-of-beta-1";

/// The header with a key.
fn bearer(key: &str) -> String {
    format!("authorization: Bearer {key}\r\n")
}

fn workspace(keys: &[&str]) -> Arc<WorkspaceRule> {
    Arc::new(WorkspaceRule {
        keys: keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect(),
        priority: None,
        quota: None,
        regions: None,
    })
}

fn workspaces(keys: &[(&str, &[&str])]) -> WorkspaceRules {
    keys.iter().map(|(name, keys)| ((*name).to_owned(), workspace(keys))).collect()
}

/// Declarations with the workspaces `alpha` and `beta`, and the additional public route `/open/`.
fn protected(version: u64) -> Declarations {
    let mut declared = declarations(version);
    let mut open = (*declared.routes[0]).clone();
    open.name = "open".to_owned();
    open.path_prefix = "/open/".to_owned();
    open.public = true;
    declared.routes.push(open.into());
    declared.workspaces = Some(workspaces(&[("alpha", &[KEY]), ("beta", &[OTHER_KEY])]));
    declared
}

fn without_alpha_key(version: u64) -> Declarations {
    let workspaces = Some(workspaces(&[("alpha", &[]), ("beta", &[OTHER_KEY])]));
    Declarations { workspaces, ..protected(version) }
}

/// A ready gateway with one target and the declarations of [`protected`].
fn protected_gateway(name: &str, behavior: Behavior) -> (TestGateway, MemoryStore, TestTarget) {
    revoking_gateway(name, behavior, None)
}

/// The same with a time after which revoked keys may not be served.
fn revoking_gateway(
    name: &str,
    behavior: Behavior,
    revocation_s: Option<f64>,
) -> (TestGateway, MemoryStore, TestTarget) {
    let store = MemoryStore::default();
    let target = TestTarget::start("t1", behavior);
    store.list(entry(&target.id, "plain", target.address));
    store.declare(protected(1));
    let gateway = start(name, &store, revocation_s);
    (gateway, store, target)
}

/// Starts a gateway and waits until it is ready.
fn start(name: &str, store: &MemoryStore, revocation_s: Option<f64>) -> TestGateway {
    let gateway =
        TestGateway::start_as(name, store, |settings| settings.revocation_s = revocation_s);
    gateway.wait_ready();
    gateway
}

fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or_default()
}

#[test]
fn only_requests_with_a_known_key_reach_a_target() {
    let (gateway, _store, target) = protected_gateway("vm-keys", Behavior::Serve);
    let long = bearer(&"k".repeat(8 * 1_024));
    let refused = [
        String::new(),
        bearer("unknown"),
        bearer(""),
        bearer(&KEY[..5]),
        bearer(&format!("{KEY}x")),
        bearer(&KEY.to_uppercase()),
        format!("authorization: {KEY}\r\n"),
        format!("authorization: bearer {KEY}\r\n"),
        format!("authorization: Bearer  {KEY}\r\n"),
        format!("authorization: Basic {KEY}\r\n"),
        format!("authorization: Bearer {KEY} {OTHER_KEY}\r\n"),
        format!("authorization: Bearer {KEY},{OTHER_KEY}\r\n"),
        "authorization: Bearer k\u{e9}\r\n".to_owned(),
        bearer(KEY) + &bearer(KEY),
        bearer(KEY) + &bearer("unknown"),
        format!("x-workspace: alpha\r\nproxy-authorization: Bearer {KEY}\r\n"),
        format!("cookie: authorization=Bearer {KEY}\r\n"),
        long,
    ];
    for headers in &refused {
        for (method, path) in [("GET", "/read/a"), ("POST", "/write/a")] {
            let response = gateway.send(method, path, headers);
            assert_eq!(status(&response), "401", "{headers}: {response}");
            assert!(response.contains("nickellead-outcome: not-run"), "{response}");
            assert!(response.contains("www-authenticate: Bearer\r\n"), "{response}");
        }
    }
    assert_eq!(target.requests(), Vec::<String>::new());
    assert_eq!(status(&gateway.send("GET", "/nowhere/", &bearer(KEY))), "404");
    assert_eq!(status(&gateway.send("GET", "/read/a", &bearer(KEY))), "200");
}

#[test]
fn a_target_receives_the_workspace_and_never_the_key() {
    let (gateway, _store, target) = protected_gateway("vm-headers", Behavior::Serve);
    let forged = "x-workspace: beta\r\nX-Workspace: gamma\r\n";
    for (path, headers, workspace) in [
        ("/read/a", bearer(KEY) + forged, Some("alpha")),
        ("/write/a", forged.to_owned() + &bearer(OTHER_KEY), Some("beta")),
        ("/read/a", format!("connection: x-workspace\r\n{}", bearer(KEY)), Some("alpha")),
        ("/open/a", forged.to_owned(), None),
        ("/open/a", bearer("unknown") + forged, None),
        ("/open/a", bearer(KEY) + &bearer(OTHER_KEY) + forged, None),
        ("/open/a", bearer(KEY) + forged, Some("alpha")),
    ] {
        let response = gateway.send("GET", path, &headers);
        assert_eq!(status(&response), "200", "{headers}: {response}");
        let received = target.requests().pop().unwrap();
        let names = received.lines().filter(|line| line.to_lowercase().starts_with("x-workspace:"));
        assert_eq!(names.count(), usize::from(workspace.is_some()), "{received}");
        assert_eq!(header(&received, "x-workspace").as_deref(), workspace, "{headers}");
        assert!(!received.to_lowercase().contains("authorization"), "{received}");
        assert!(!received.contains(KEY) && !received.contains(OTHER_KEY), "{received}");
    }
}

/// A second attempt sends the same headers as the first.
#[test]
fn a_retry_sends_the_workspace_and_no_key_either() {
    let (gateway, store, target) = protected_gateway("vm-retry", Behavior::Shed);
    let second = TestTarget::start("t2", Behavior::Shed);
    store.list(entry(&second.id, "plain", second.address));
    wait_until("both targets get a request", || {
        gateway.send("GET", "/read/a", &bearer(KEY));
        !second.requests().is_empty() && !target.requests().is_empty()
    });
    for received in target.requests().iter().chain(&second.requests()) {
        assert_eq!(header(received, "x-workspace").as_deref(), Some("alpha"));
        assert!(!received.contains(KEY), "{received}");
    }
}

#[test]
fn without_workspaces_a_key_passes_and_a_workspace_of_the_caller_does_not() {
    let store = MemoryStore::default();
    let target = TestTarget::start("t1", Behavior::Serve);
    store.list(entry(&target.id, "plain", target.address));
    store.declare(declarations(1));
    let gateway = start("vm-none", &store, Some(1.0));
    let response = gateway.send("GET", "/read/a", &(bearer(KEY) + "x-workspace: beta\r\n"));
    assert_eq!(status(&response), "200", "{response}");
    let received = target.requests().pop().unwrap();
    assert!(received.contains(KEY) && header(&received, "x-workspace").is_none(), "{received}");
}

#[test]
fn a_vm_without_declarations_does_not_call_a_key_unknown() {
    let store = MemoryStore::default();
    let gateway = TestGateway::start("vm-empty", &store);
    assert_eq!(status(&gateway.send("GET", "/read/a", &bearer(KEY))), "503");
    assert_eq!(status(&gateway.send("GET", "/read/a", "")), "503");
}

#[test]
fn added_and_removed_keys_take_effect_with_their_declarations() {
    let (gateway, store, _target) = protected_gateway("vm-changes", Behavior::Serve);
    let second = "key-of-alpha-2";
    let is =
        |key: &str, wanted: &str| status(&gateway.send("GET", "/read/a", &bearer(key))) == wanted;
    assert!(is(KEY, "200") && is(second, "401"));
    let both = workspaces(&[("alpha", &[KEY, second])]);
    store.declare(Declarations { workspaces: Some(both), ..protected(2) });
    wait_until("the new key is known", || is(second, "200"));
    assert!(is(KEY, "200") && is(OTHER_KEY, "401"), "beta is no longer declared");
    store.declare(Declarations {
        workspaces: Some(workspaces(&[("alpha", &[second])])),
        ..protected(3)
    });
    wait_until("the old key is unknown", || is(KEY, "401"));
    store.declare(Declarations { workspaces: None, ..protected(4) });
    wait_until("no key is needed", || is("any", "200"));
    store.declare(Declarations { workspaces: Some(WorkspaceRules::new()), ..protected(5) });
    wait_until("no key is valid", || is(second, "401"));
}

/// A request that waits, here for the first list of targets, is checked again before it is sent.
#[test]
fn a_request_that_waits_while_its_key_is_taken_away_is_not_sent() {
    let store = MemoryStore::default();
    let mut declared = protected(1);
    for route in &mut declared.routes {
        route.timeout = Duration::from_secs(20);
        route.latency_target = Duration::from_secs(20);
    }
    store.declare(declared.clone());
    let gateway = TestGateway::start("vm-waits", &store);
    wait_until("version 1 is active", || gateway.is_version_active(1));
    let callers = gateway.callers;
    let send = move |key: &'static str| {
        std::thread::spawn(move || {
            let request = format!(
                "POST /write/a HTTP/1.1\r\nhost: board.example\r\nx-request-id: r1\r\n\
                 x-deadline-ms: 20000\r\nconnection: close\r\n{}\r\n",
                bearer(key)
            );
            exchange(callers, &request)
        })
    };
    let (of_alpha, of_beta) = (send(KEY), send(OTHER_KEY));
    std::thread::sleep(Duration::from_millis(300));
    assert!(!of_alpha.is_finished() && !of_beta.is_finished());
    let without_alpha = without_alpha_key(2).workspaces;
    store.declare(Declarations { version: 2, workspaces: without_alpha, ..declared });
    wait_until("version 2 is active", || gateway.is_version_active(2));
    let target = TestTarget::start("t1", Behavior::Serve);
    store.list(entry(&target.id, "plain", target.address));
    assert_eq!(status(&of_alpha.join().unwrap()), "401");
    assert_eq!(status(&of_beta.join().unwrap()), "200");
    let sent = target.requests();
    assert_eq!(sent.len(), 1, "{sent:?}");
    assert_eq!(header(&sent[0], "x-workspace").as_deref(), Some("beta"));
}

#[test]
fn a_vm_that_cannot_confirm_its_keys_refuses_them_and_serves_public_routes() {
    let (gateway, store, target) = revoking_gateway("vm-cut", Behavior::Serve, Some(1.0));
    let send = |path: &str, key: &str| gateway.send("GET", path, &bearer(key));
    assert_eq!(status(&send("/read/a", KEY)), "200");
    store.set_unavailable(true);
    let cut_at = Instant::now();
    wait_until("keys are refused", || send("/read/a", KEY).contains("keys-outdated"));
    assert!(cut_at.elapsed() < Duration::from_millis(1_100), "{:?}", cut_at.elapsed());
    target.clear_requests();
    let refused = send("/read/a", KEY);
    assert_eq!(status(&refused), "503", "{refused}");
    assert!(refused.contains("not-run") && refused.contains("retry-after"), "{refused}");
    assert_eq!(status(&send("/read/a", "unknown")), "503", "the key may have been added since");
    assert_eq!(status(&gateway.send("GET", "/read/a", "")), "401");
    assert_eq!(target.requests(), Vec::<String>::new());
    assert_eq!(status(&send("/open/a", KEY)), "200");
    let received = target.requests().pop().unwrap();
    assert_eq!(header(&received, "x-workspace"), None, "the key may have been taken away");
    let readiness = || exchange(gateway.readiness, "GET /ready HTTP/1.1\r\nhost: a\r\n\r\n");
    assert_eq!(status(&readiness()), "503", "callers should use other VMs");
    store.set_unavailable(false);
    wait_until("keys are served again", || status(&send("/read/a", KEY)) == "200");
    gateway.wait_ready();
}

/// Without a limit, keys are served while the store is away.
#[test]
fn without_a_revocation_time_keys_are_served_during_an_outage() {
    let (gateway, store, _target) = protected_gateway("vm-lenient", Behavior::Serve);
    store.set_unavailable(true);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(status(&gateway.send("GET", "/read/a", &bearer(KEY))), "200");
}

/// A watch without events proves nothing while the store drops its history.
#[test]
fn a_key_is_refused_in_time_although_the_watch_reports_nothing() {
    let (gateway, store, _target) = revoking_gateway("vm-silent", Behavior::Serve, Some(1.0));
    store.set_stalled_watches(true);
    for _ in 0..10 {
        assert_eq!(status(&gateway.send("GET", "/read/a", &bearer(KEY))), "200");
        std::thread::sleep(Duration::from_millis(100));
    }
    store.declare(without_alpha_key(2));
    let revoked_at = Instant::now();
    wait_until("the key is refused", || {
        status(&gateway.send("GET", "/read/a", &bearer(KEY))) != "200"
    });
    assert!(revoked_at.elapsed() < Duration::from_secs(1), "{:?}", revoked_at.elapsed());
}

/// Keys are confirmed by way of other VMs, and refused when the VM at the root loses the store.
#[test]
fn vms_without_the_store_check_keys_by_way_of_others() {
    let store = MemoryStore::default();
    let target = TestTarget::start("t1", Behavior::Serve);
    store.list(entry(&target.id, "plain", target.address));
    store.declare(protected(1));
    let gateways: Vec<TestGateway> =
        (0..6).map(|vm| start(&format!("vm-chain-{vm}"), &store, Some(4.0))).collect();
    let all = |wanted: &str| {
        gateways.iter().all(|one| status(&one.send("GET", "/read/a", &bearer(KEY))) == wanted)
    };
    wait_until("one VM holds the mandate", || store.mandate_holder().is_some());
    let holder = store.mandate_holder().unwrap();
    for vm in (0..6).map(|vm| format!("vm-chain-{vm}")).filter(|vm| *vm != holder) {
        store.disconnect(&vm);
    }
    let end = Instant::now() + Duration::from_secs(6);
    while Instant::now() < end {
        assert!(all("200"));
        std::thread::sleep(Duration::from_millis(50));
    }
    store.declare(without_alpha_key(2));
    wait_until("the key is refused everywhere", || all("401"));
    store.set_unavailable(true);
    let cut_at = Instant::now();
    let served =
        |one: &TestGateway| status(&one.send("GET", "/read/a", &bearer(OTHER_KEY))) == "200";
    wait_until("keys are refused everywhere", || !gateways.iter().any(served));
    assert!(cut_at.elapsed() < Duration::from_millis(4_100), "{:?}", cut_at.elapsed());
}

#[test]
fn a_request_is_served_only_in_its_regions() {
    let store = MemoryStore::default();
    let [near, far] = ["near", "far"].map(|id| TestTarget::start(id, Behavior::Serve));
    store.list(entry(&near.id, "plain", near.address));
    let mut far_entry = entry(&far.id, "plain", far.address);
    far_entry.zone = "zone-b".to_owned();
    store.list(far_entry);
    let mut declared = protected(1);
    declared.routes[0].regions = Some(vec!["here".to_owned()]);
    declared.routes[1].regions = Some(vec!["there".to_owned()]);
    let rules = declared.workspaces.as_mut().unwrap();
    let mut beta = WorkspaceRule::clone(&rules["beta"]);
    beta.regions = Some(vec!["there".to_owned()]);
    rules.insert("beta".to_owned(), Arc::new(beta));
    store.declare(declared);
    let gateway = TestGateway::start_as("vm-regions", &store, |settings| {
        settings.region = Some("here".to_owned());
        let zones = [("zone-a", "here"), ("zone-b", "there")];
        settings.zone_regions =
            zones.map(|(zone, region)| (zone.to_owned(), region.to_owned())).into();
    });
    gateway.wait_ready();
    for _ in 0..20 {
        let response = gateway.send("GET", "/read/a", &bearer(KEY));
        assert!(response.ends_with("near"), "{response}");
        assert_eq!(status(&gateway.send("GET", "/read/a", &bearer(OTHER_KEY))), "421");
        assert_eq!(status(&gateway.send("POST", "/write/a", &bearer(KEY))), "421");
    }
    assert_eq!(far.requests(), Vec::<String>::new());
}

/// Lines that the processes of this test log.
fn logged() -> &'static Mutex<Vec<String>> {
    static LINES: OnceLock<Mutex<Vec<String>>> = OnceLock::new();
    LINES.get_or_init(Mutex::default)
}

struct CapturingLogger;

impl log::Log for CapturingLogger {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        logged().lock().unwrap().push(record.args().to_string());
    }

    fn flush(&self) {}
}

#[test]
fn no_key_appears_in_the_log_or_in_metrics() {
    log::set_logger(&CapturingLogger).unwrap();
    log::set_max_level(log::LevelFilter::Trace);
    let (gateway, _store, target) = protected_gateway("vm-logs", Behavior::Shed);
    let keys = ["secret-unknown-1", KEY];
    for key in keys {
        for path in ["/read/a", "/open/a", "/nowhere/"] {
            gateway.send("GET", path, &bearer(key));
            gateway.send("GET", path, &(bearer(key) + &bearer(key)));
        }
    }
    assert!(!target.requests().is_empty());
    let metrics = gateway.metrics_text();
    assert!(metrics.contains("error=\"unauthenticated\""), "{metrics}");
    let lines = logged().lock().unwrap().join("\n");
    assert!(lines.contains("error=unauthenticated"), "{lines}");
    for key in keys {
        assert!(!lines.contains(key) && !metrics.contains(key));
    }
}
