//! Backends send some of their answers a second time, late, refusals among them. A request that may
//! run once must not run twice.

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{manifest, HEARTBEAT, HOST};
use crate::caller::Caller;
use crate::gateway::{Gateway, Vm};
use crate::record::Record;
use crate::store::Store;
use crate::target::{Plan, Run, Target};
use crate::Verdict;

const ZONES: [&str; 2] = ["hal-a", "hal-b"];
/// Requesters on kept connections, at each VM.
const CALLERS: usize = 2;
/// VMs.
const VMS: usize = 5;
/// How long the requesters send.
const LOAD: Duration = Duration::from_secs(45);
const DEADLINE: Duration = Duration::from_millis(1_000);
/// One in this many answers of a disturbed backend is sent a second time.
const EXTRA_ONE_IN: u64 = 17;

pub fn play(program: &Path, folder: &Path, record: &Record, trouble: bool) -> Verdict {
    let store = Store::default();
    let store_address = store.start();
    store.put(
        "config",
        "main",
        &manifest(7, &[("landing", "unsafe", 1.0, 0.4, "aanvoer", 2)], &[("aanvoer", false)]),
    );
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let targets: Vec<Target> = (0..4)
        .map(|number| {
            let plan = Plan {
                id: format!("i-{number}{number}"),
                service: "aanvoer".to_owned(),
                zone: ZONES[number % 2].to_owned(),
                sharded: false,
                slots: 2,
                queue: 1,
                work: Duration::from_millis(60),
            };
            let target = Target::start(plan, record, &runs);
            target.list(&store, HEARTBEAT);
            target
        })
        .collect();
    let mut gateways = Vec::new();
    for number in 0..VMS {
        let vm = Vm::new(&format!("front-{number}"), ZONES[number % 2], store_address);
        match Gateway::start(program, folder, &vm, &ZONES) {
            Ok(gateway) => gateways.push(gateway),
            Err(_) => return Verdict::NotRun,
        }
    }
    if !gateways.iter().all(|gateway| gateway.wait_ready(Duration::from_secs(20))) {
        record.note("a VM was not ready after 20 s");
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(1));
    if trouble {
        record.note("three of the four backends begin to send extra answers");
        targets.iter().skip(1).for_each(|target| target.send_extras(EXTRA_ONE_IN));
    }
    let ended = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let mut callers = Vec::new();
    for gateway in &gateways {
        for _ in 0..CALLERS {
            let mut caller = Caller::new(gateway.vm.callers, &gateway.vm.zone, record);
            let (ended, answers) = (Arc::clone(&ended), Arc::clone(&answers));
            callers.push(std::thread::spawn(move || {
                while !ended.load(Ordering::SeqCst) {
                    let sent = caller.send("POST", "/landing/2f", HOST, None, DEADLINE);
                    let status = sent.answer.map_or(0, |answer| answer.status());
                    answers.lock().unwrap().insert(sent.id, status);
                    let pause = if status == 503 { 20 } else { 15 };
                    std::thread::sleep(Duration::from_millis(pause));
                }
            }));
        }
    }
    std::thread::sleep(LOAD);
    ended.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let (runs, answers) = (runs.lock().unwrap().clone(), answers.lock().unwrap().clone());
    judge(record, &runs, &answers)
}

fn judge(record: &Record, runs: &[Run], answers: &HashMap<String, u16>) -> Verdict {
    let mut by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs {
        by_id.entry(&run.id).or_default().push(run);
    }
    let mut twice = 0;
    for (id, runs) in &by_id {
        if runs.len() > 1 {
            twice += 1;
            let places: Vec<String> =
                runs.iter().map(|run| format!("{} at {:.4}", run.target, run.at)).collect();
            record.note(format!("TWICE: {id} ran at {}", places.join(" and ")));
        }
    }
    let mut refused = 0;
    let mut statuses: HashMap<u16, usize> = HashMap::new();
    for (id, status) in answers {
        *statuses.entry(*status).or_default() += 1;
        let promise = matches!(status, 408 | 421 | 429 | 503);
        if promise && by_id.contains_key(id.as_str()) {
            refused += 1;
            record.note(format!("REFUSED: {id} got {status} though it ran"));
        }
    }
    let summary = format!(
        "{} requests, answers by status {statuses:?}; ran more than once: {twice}; refused as not run though run: {refused}",
        answers.len()
    );
    record.note(&summary);
    println!("{summary}");
    match () {
        () if !statuses.contains_key(&200) => Verdict::NotRun,
        () if twice > 0 => Verdict::Broken,
        () => Verdict::Held,
    }
}
