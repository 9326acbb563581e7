//! A target in need names on its answers how many requests a second it takes from all VMs together.
//!
//! Seen: two owners of keys named limits of 14.8 and 6.8 a second, a third of what they got. From three seconds
//! later on eleven VMs, all of which had passed such answers on, still sent them 176 and 77 requests in four
//! seconds, and went on so for the rest of the day.
//!
//! How it came about: a VM read nothing of it, and the targets answered as fast as before, so nothing else
//! sent them less. What a target says it can take bounds a sum, and nothing was responsible for the sum: each VM
//! knew what it sent itself, and the holder that moves keys weighed owners by their speed alone.
//!
//! Shown by: the event target-limited, which came on every VM; and these tests, of which six failed.
#![allow(clippy::unwrap_used)]

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::store::MemoryStore;
use common::target::{Behavior, TestTarget};
use common::{TestGateway, declarations, entry, wait_until};
use nickellead_gateway::{PolicySwitch, TargetEntry};

/// Sums are taken over every span of this length.
const SPAN: Duration = Duration::from_secs(4);
/// From then on after the limit was first named it must be kept.
const KEPT_AFTER: Duration = Duration::from_secs(1);
/// What a VM can't serve it refuses within this time.
const AT_ONCE: Duration = Duration::from_millis(150);
/// Between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(20);
const CALLERS_A_VM: usize = 2;
/// Until the holder of the mandate has told the VMs of each other.
const FLEET_KNOWN: Duration = Duration::from_millis(2_500);

/// Requests that a target which names this limit takes in one span.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * SPAN.as_secs_f64() + 5.0) as usize
}

/// VMs that know each other, in front of these targets of a service.
fn start_fleet(
    name: &str,
    vms: usize,
    service: &str,
    targets: &[&TestTarget],
    load_moves: PolicySwitch,
) -> (Vec<TestGateway>, MemoryStore) {
    let store = MemoryStore::default();
    targets.iter().for_each(|target| store.list(entry(&target.id, service, target.address)));
    store.declare(declarations(1));
    let start = |number| {
        TestGateway::start_as(&format!("{name}-{number}"), &store, |settings| {
            settings.policy.load_moves = load_moves;
        })
    };
    let gateways: Vec<TestGateway> = (0..vms).map(start).collect();
    gateways.iter().for_each(TestGateway::wait_ready);
    wait_until("every VM serves", || {
        let paths = ["/key/", "/read/"];
        gateways.iter().all(|one| paths.iter().any(|path| send(one, path, 7).contains(" 200 ")))
    });
    std::thread::sleep(FLEET_KNOWN);
    (gateways, store)
}

fn send(gateway: &TestGateway, path: &str, key: u16) -> String {
    gateway.send("GET", path, &format!("x-key: {key}\r\n"))
}

/// One answer that a caller got.
struct CallerAnswer {
    asked: Instant,
    took: Duration,
    text: String,
}

/// Asks every VM for keys all over the key space for so long; gives the answers.
fn ask_all(gateways: &[TestGateway], path: &str, length: Duration) -> Vec<CallerAnswer> {
    let ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let callers = gateways.iter().flat_map(|gateway| [gateway; CALLERS_A_VM]);
        let callers: Vec<_> = callers
            .enumerate()
            .map(|(index, gateway)| {
                let ended = &ended;
                scope.spawn(move || {
                    let mut random = fastrand::Rng::with_seed(index as u64);
                    let mut responses = Vec::new();
                    while !ended.load(Ordering::Relaxed) {
                        let asked = Instant::now();
                        let text = send(gateway, path, random.u16(..));
                        responses.push(CallerAnswer { asked, took: asked.elapsed(), text });
                        std::thread::sleep(PAUSE);
                    }
                    responses
                })
            })
            .collect();
        std::thread::sleep(length);
        ended.store(true, Ordering::Relaxed);
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    })
}

/// Most requests that reached a target in one span that begins at `from` or later.
fn worst_span(target: &TestTarget, from: Instant) -> usize {
    let times: Vec<Instant> =
        target.arrivals().iter().map(|one| one.at).filter(|at| *at >= from).collect();
    let ends = times.iter().map(|first| times.partition_point(|at| *at < *first + SPAN));
    ends.enumerate().map(|(first, end)| end - first).max().unwrap_or_default()
}

fn name_limit(target: &TestTarget, limit: f64) -> Instant {
    target.set_signals(&format!("x-limit: {limit}\r\n"));
    Instant::now()
}

fn served_part<'a>(responses: impl Iterator<Item = &'a CallerAnswer>) -> f64 {
    let served: Vec<bool> = responses.map(|response| response.text.contains(" 200 ")).collect();
    served.iter().filter(|served| **served).count() as f64 / served.len() as f64
}

#[test]
fn an_owner_gets_what_it_named_from_all_vms_together_and_the_rest_is_refused_at_once() {
    let owner = TestTarget::start("t1", Behavior::Serve);
    let (gateways, _store) =
        start_fleet("vm-limit-owner", 3, "keyed", &[&owner], PolicySwitch::Off);
    let limit = 12.8;
    let named = name_limit(&owner, limit);
    let responses = ask_all(&gateways, "/key/", KEPT_AFTER + SPAN + Duration::from_secs(1));
    let worst = worst_span(&owner, named + KEPT_AFTER);
    assert!(worst <= allowed(limit), "{worst} requests in a span, allowed {}", allowed(limit));
    // Nobody else can serve the keys, so what it named is used.
    let least = (0.75 * limit * SPAN.as_secs_f64()) as usize;
    assert!(worst >= least, "{worst} requests in a span, fewer than {least}");
    let refused = responses.iter().filter(|response| response.text.contains(" 503 "));
    for response in refused.filter(|response| response.asked >= named + KEPT_AFTER) {
        assert!(response.text.contains("target-limited"), "{}", response.text);
        assert!(response.text.contains("retry-after"), "{}", response.text);
        assert!(response.took < AT_ONCE, "{:?}", response.took);
    }
}

#[test]
fn keys_of_an_owner_that_names_a_limit_move_to_others_as_far_as_it_can_not_serve_them() {
    let targets = ["t1", "t2", "t3"].map(|id| TestTarget::start(id, Behavior::Serve));
    let [limited, ..] = &targets;
    let all: Vec<&TestTarget> = targets.iter().collect();
    let (gateways, _store) = start_fleet("vm-limit-keys", 3, "keyed", &all, PolicySwitch::On);
    ask_all(&gateways, "/key/", Duration::from_secs(2));
    let limit = 12.0;
    let named = name_limit(limited, limit);
    let responses = ask_all(&gateways, "/key/", Duration::from_secs(9));
    let worst = worst_span(limited, named + KEPT_AFTER);
    assert!(worst <= allowed(limit), "{worst} requests in a span, allowed {}", allowed(limit));
    let moved = named + Duration::from_secs(5);
    let part = served_part(responses.iter().filter(|response| response.asked >= moved));
    assert!(part >= 0.95, "{part:.3} of the requests served");
}

/// Part of all keys that change their owner while `work` goes on, each as often as it does.
fn moved_part(store: &MemoryStore, ended: &AtomicBool) -> f64 {
    let owners = || -> Vec<Option<String>> {
        let map = store.range_map().unwrap();
        let owner = |key| Some(map.find("keyed", key)?.owner.as_ref()?.id.clone());
        (0..=u16::MAX).step_by(64).map(owner).collect()
    };
    let (mut known, mut moved) = (owners(), 0);
    let whole = known.len() as f64;
    while !ended.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(50));
        let now = owners();
        moved += now.iter().zip(&known).filter(|(now, known)| now != known).count();
        known = now;
    }
    moved as f64 / whole
}

/// Pattern: a target is in need while it gets more than it bears, and no longer once it is relieved.
///
/// Seen: 22 and 28 in 100 requests of a divided service were not served, and all keys moved three and five times
/// over in two minutes. Its keys came back as soon as it named no limit, and brought the need back.
#[test]
fn keys_of_an_owner_that_is_in_need_only_while_it_has_them_do_not_go_to_and_fro() {
    let targets = ["t1", "t2", "t3"].map(|id| TestTarget::start(id, Behavior::Serve));
    let all: Vec<&TestTarget> = targets.iter().collect();
    let (gateways, store) = start_fleet("vm-limit-again", 3, "keyed", &all, PolicySwitch::On);
    ask_all(&gateways, "/key/", Duration::from_secs(2));
    let (ended, limit) = (AtomicBool::new(false), 12);
    let (responses, moved) = std::thread::scope(|scope| {
        let counting = scope.spawn(|| moved_part(&store, &ended));
        scope.spawn(|| {
            while !ended.load(Ordering::Relaxed) {
                let before = targets[0].requests().len();
                std::thread::sleep(Duration::from_secs(1));
                let in_need = targets[0].requests().len() - before > limit;
                targets[0].set_signals(&if in_need {
                    format!("x-limit: {limit}\r\n")
                } else {
                    String::new()
                });
            }
        });
        let responses = ask_all(&gateways, "/key/", Duration::from_secs(20));
        ended.store(true, Ordering::Relaxed);
        (responses, counting.join().unwrap())
    });
    assert!(moved <= 1.0, "all keys moved {moved:.2} times over");
    let part = served_part(responses.iter());
    assert!(part >= 0.95, "{part:.3} of the requests served");
}

#[test]
fn a_target_that_names_a_limit_is_left_for_others_but_not_wholly() {
    let targets = ["t1", "t2"].map(|id| TestTarget::start(id, Behavior::Serve));
    let (gateways, _store) =
        start_fleet("vm-limit-plain", 3, "plain", &[&targets[0], &targets[1]], PolicySwitch::On);
    let limit = 10.0;
    let named = name_limit(&targets[0], limit);
    let responses = ask_all(&gateways, "/read/", KEPT_AFTER + SPAN + Duration::from_secs(1));
    let worst = worst_span(&targets[0], named + KEPT_AFTER);
    assert!(worst <= allowed(limit), "{worst} requests in a span, allowed {}", allowed(limit));
    assert!(worst >= 10, "{worst} requests in a span: nobody would hear that the need is over");
    let kept = responses.iter().filter(|response| response.asked >= named + KEPT_AFTER);
    let part = served_part(kept);
    assert!(part >= 0.99, "{part:.3} of the requests served");
}

#[test]
fn a_target_that_takes_nothing_gets_next_to_nothing_and_is_used_when_that_is_over() {
    let owner = TestTarget::start("t1", Behavior::Serve);
    let (gateways, _store) = start_fleet("vm-limit-zero", 3, "keyed", &[&owner], PolicySwitch::Off);
    let named = name_limit(&owner, 0.0);
    ask_all(&gateways, "/key/", KEPT_AFTER + SPAN + Duration::from_secs(1));
    let worst = worst_span(&owner, named + KEPT_AFTER);
    assert!(worst <= allowed(0.0), "{worst} requests in a span, allowed {}", allowed(0.0));
    owner.set_signals("");
    let over = Instant::now();
    ask_all(&gateways, "/key/", Duration::from_secs(20));
    let responses = ask_all(&gateways, "/key/", Duration::from_secs(1));
    let part = served_part(responses.iter());
    assert!(part >= 0.95, "{part:.3} of the requests served {:?} after the need", over.elapsed());
}

#[test]
fn a_limit_ends_with_the_answers_that_name_it_and_with_the_life_of_the_target() {
    let owner = TestTarget::start("t1", Behavior::Serve);
    let (gateways, store) = start_fleet("vm-limit-end", 3, "keyed", &[&owner], PolicySwitch::Off);
    name_limit(&owner, 5.0);
    let responses = ask_all(&gateways, "/key/", Duration::from_secs(3));
    assert!(served_part(responses.iter()) < 0.5);
    owner.set_signals("");
    ask_all(&gateways, "/key/", Duration::from_secs(5));
    let responses = ask_all(&gateways, "/key/", Duration::from_secs(1));
    let part = served_part(responses.iter());
    assert!(part >= 0.95, "{part:.3} of the requests served after the need");
    name_limit(&owner, 5.0);
    ask_all(&gateways, "/key/", Duration::from_secs(1));
    owner.set_signals("");
    store.list(TargetEntry { born: Some(2), ..entry("t1", "keyed", owner.address) });
    wait_until("its next life owns the keys", || send(&gateways[0], "/key/", 7).contains(" 200 "));
    let responses = ask_all(&gateways, "/key/", Duration::from_secs(1));
    let part = served_part(responses.iter());
    assert!(part >= 0.95, "{part:.3} of the requests served by the next life");
}

/// Callers come to one VM, and then to the others, which the target has told nothing.
#[test]
fn vms_that_were_not_told_keep_the_limit_that_another_one_heard() {
    let owner = TestTarget::start("t1", Behavior::Serve);
    let (gateways, _store) =
        start_fleet("vm-limit-untold", 3, "keyed", &[&owner], PolicySwitch::Off);
    name_limit(&owner, 0.0);
    assert!(send(&gateways[0], "/key/", 7).contains(" 200 "));
    std::thread::sleep(Duration::from_millis(1_500));
    owner.clear_requests();
    ask_all(&gateways[1..], "/key/", Duration::from_millis(300));
    let came = owner.requests().len();
    assert!(came <= 1, "{came} requests, the first of each VM among them");
}

#[test]
fn a_limit_that_can_not_be_read_is_none() {
    for limit in ["few", "-3", "NaN", "inf", ""] {
        let target = TestTarget::start("t1", Behavior::Serve);
        let (gateways, _store) =
            start_fleet("vm-limit-unread", 1, "plain", &[&target], PolicySwitch::On);
        target.set_signals(&format!("x-limit: {limit}\r\n"));
        let responses = ask_all(&gateways, "/read/", Duration::from_millis(500));
        assert!(served_part(responses.iter()) >= 1.0, "{limit}");
    }
}
