//! A backend leaves one renewal unanswered and takes it eight seconds later; meanwhile its zone is
//! cut off. No two backends may hold the same keys and both begin requests on them.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{manifest, HEARTBEAT, HOST};
use crate::caller::Caller;
use crate::gateway::{Gateway, Vm};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;
use crate::target::{Hold, Plan, Run, Target};
use crate::Verdict;

const ZONES: [&str; 2] = ["hal-a", "hal-b"];
const DEADLINE: Duration = Duration::from_millis(800);
/// How much later the unanswered grants are carried out; the pages name 2 to 12 s.
const LATE: Duration = Duration::from_secs(8);
/// For how long grants to the backend are left unanswered. It is renewed once a second.
const LATE_WINDOW: Duration = Duration::from_millis(1_200);
/// Longest time for which the zone is cut off.
const CUT: Duration = Duration::from_secs(12);

pub fn play(program: &Path, folder: &Path, record: &Record, trouble: bool) -> Verdict {
    let store = Store::default();
    let store_address = store.start();
    store.put(
        "config",
        "main",
        &manifest(7, &[("lot", "safe", 0.8, 0.3, "kavelinfo", 2)], &[("kavelinfo", true)]),
    );
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let targets: Vec<Target> = (0..4)
        .map(|number| {
            let plan = Plan {
                id: format!("i-{number}{number}"),
                service: "kavelinfo".to_owned(),
                zone: ZONES[number % 2].to_owned(),
                sharded: true,
                slots: 6,
                queue: 24,
                work: Duration::from_millis(40),
            };
            let target = Target::start(plan, record, &runs);
            target.list(&store, HEARTBEAT);
            target
        })
        .collect();
    // Each VM reaches the store and the other VM over proxies, whose paths can be cut.
    let mut gateways = Vec::new();
    let mut proxies: Vec<Vec<Proxy>> = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let to_store = Proxy::start(store_address);
        let mut vm = Vm::new(&format!("front-{number}"), zone, to_store.address);
        let (peers, dispatch) = (Proxy::start(vm.peers), Proxy::start(vm.dispatch));
        vm.announced = (peers.address, dispatch.address);
        match Gateway::start(program, folder, &vm, &ZONES) {
            Ok(gateway) => gateways.push(gateway),
            Err(_) => return Verdict::NotRun,
        }
        proxies.push(vec![to_store, peers, dispatch]);
    }
    if !gateways.iter().all(|gateway| gateway.wait_ready(Duration::from_secs(20))) {
        record.note("a VM was not ready after 20 s");
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(3));
    let Some(holder) = mandate_holder(&store, &gateways) else { return Verdict::NotRun };
    let other = 1 - holder;
    let (near, far) = (ZONES[holder], ZONES[other]);
    record.note(format!("front-{holder} in {near} gives the grants; zone {far} will be cut off"));

    // The backend of the other zone whose grants are disturbed, and its keys.
    let Some(disturbed) = targets.iter().find(|target| target.zone() == far) else {
        return Verdict::NotRun;
    };
    let Some(hold) = current(disturbed, record) else { return Verdict::NotRun };
    let keys: Vec<u16> =
        (0..8).map(|step| hold.first + (hold.last - hold.first) / 8 * step).collect();
    record.note(format!("{} holds {}..{}", disturbed.id(), hold.first, hold.last));

    // One requester at each VM asks for keys of that backend all the time.
    let ended = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for gateway in &gateways {
        let mut caller = Caller::new(gateway.vm.callers, &gateway.vm.zone, record);
        let (ended, keys) = (Arc::clone(&ended), keys.clone());
        callers.push(std::thread::spawn(move || {
            let mut number = 0;
            while !ended.load(Ordering::SeqCst) {
                caller.send("GET", "/lot/2f", HOST, Some(keys[number % keys.len()]), DEADLINE);
                number += 1;
                std::thread::sleep(Duration::from_millis(50));
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(3));
    if trouble {
        // The first renewals from now on get no answer.
        disturbed.take_grants_late(LATE);
        let until = Instant::now() + LATE_WINDOW;
        while disturbed.swallowed() == 0 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        std::thread::sleep(Duration::from_millis(600));
        disturbed.take_grants_late(Duration::ZERO);
        record.note(format!("zone {far} is cut off"));
        proxies[other][0].cut();
        proxies.iter().for_each(|one| one[1..].iter().for_each(Proxy::cut));
        targets.iter().filter(|target| target.zone() == far).for_each(Target::cut);
        std::thread::sleep(CUT);
        record.note("the cut ends");
        proxies.iter().flatten().for_each(Proxy::heal);
        targets.iter().for_each(Target::heal);
        std::thread::sleep(Duration::from_secs(4));
    } else {
        std::thread::sleep(Duration::from_secs(16));
    }
    ended.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let runs = runs.lock().unwrap().clone();
    judge(record, &targets, &runs)
}

/// Index of the VM that holds the mandate, found by its name in the system's own objects.
fn mandate_holder(store: &Store, gateways: &[Gateway]) -> Option<usize> {
    let kinds = store.kinds().into_iter().filter(|kind| kind != "servers" && kind != "config");
    let specs: Vec<String> =
        kinds.flat_map(|kind| store.all(&kind)).map(|(_, spec)| spec).collect();
    let names = |gateway: &Gateway| {
        let name = format!("\"{}\"", gateway.vm.name);
        specs.iter().any(|spec| spec.len() < 1_000 && spec.contains(&name))
    };
    gateways.iter().position(names)
}

/// The largest range that a backend holds now.
fn current(target: &Target, record: &Record) -> Option<Hold> {
    let now = record.now();
    let holds = target.holds().into_iter().filter(|hold| hold.to > now);
    holds.max_by_key(|hold| hold.last - hold.first)
}

/// Looks for keys that two backends held at the same time, and for requests that both of them began
/// on these keys in that time.
fn judge(record: &Record, targets: &[Target], runs: &[Run]) -> Verdict {
    let mut broken = false;
    let held: Vec<(&Target, Hold)> = targets
        .iter()
        .flat_map(|target| target.holds().into_iter().map(move |hold| (target, hold)))
        .collect();
    for (index, (one, left)) in held.iter().enumerate() {
        for (two, right) in &held[index + 1..] {
            let (first, last) = (left.first.max(right.first), left.last.min(right.last));
            let (from, to) = (left.from.max(right.from), left.to.min(right.to));
            if one.id() == two.id() || first > last || from >= to {
                continue;
            }
            let began = |target: &Target| {
                runs.iter()
                    .filter(|run| run.target == target.id() && from <= run.at && run.at < to)
                    .filter(|run| run.key.is_some_and(|key| first <= key && key <= last))
                    .count()
            };
            let (by_one, by_two) = (began(one), began(two));
            let text = format!(
                "{} and {} both hold {first}..{last} from {from:.4} to {to:.4} ({:.3} s), under fences {} and {}; they began {by_one} and {by_two} requests on these keys meanwhile",
                one.id(), two.id(), to - from, left.fence, right.fence
            );
            record.note(&text);
            println!("{text}");
            broken |= by_one > 0 && by_two > 0;
        }
    }
    let summary = format!("{} requests were run", runs.len());
    record.note(&summary);
    println!("{summary}");
    match () {
        () if runs.is_empty() => Verdict::NotRun,
        () if broken => Verdict::Broken,
        () => Verdict::Held,
    }
}
