//! Many users come at once with bodies that the manifest's limits allow. A VM must not outgrow its
//! memory, for then the platform kills it, and what it had passed on is lost.

use std::collections::HashSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{manifest, HEARTBEAT, HOST};
use crate::caller::Caller;
use crate::gateway::{Gateway, Vm};
use crate::record::Record;
use crate::store::Store;
use crate::target::{Plan, Run, Target};
use crate::Verdict;

const ZONES: [&str; 2] = ["hal-a", "hal-b"];
/// `MemoryMb` of the settings.
const MEMORY: u64 = 260 * 1_024 * 1_024;
/// Half of `MaxBodyBytes` of the manifest.
const BODY: usize = 32 * 1_024 * 1_024;
/// Requesters with such bodies at each VM, in usual times and in the burst.
const USUAL: usize = 3;
const BURST: usize = 10;
/// Bytes a second of each such requester: ten of them stay below the machine's link of 1,000 Mbit/s.
const RATE: usize = 10_000_000;
/// Requesters with small bodies at each VM, on kept connections.
const SMALL: usize = 12;
const DEADLINE: Duration = Duration::from_secs(10);
const LENGTH: Duration = Duration::from_secs(20);

struct Lost {
    id: String,
    kept: bool,
}

pub fn play(program: &Path, folder: &Path, record: &Record, trouble: bool) -> Verdict {
    let store = Store::default();
    let store_address = store.start();
    let routes = [
        ("landing", "unsafe", 1.0, 0.4, "aanvoer", 2),
        ("photos", "unsafe", 10.0, 2.0, "aanvoer", 2),
    ];
    store.put("config", "main", &manifest(7, &routes, &[("aanvoer", false)]));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let targets: Vec<Target> = (0..8)
        .map(|number| {
            let plan = Plan {
                id: format!("i-{number}{number}"),
                service: "aanvoer".to_owned(),
                zone: ZONES[number % 2].to_owned(),
                sharded: false,
                slots: 6,
                queue: 24,
                work: Duration::from_millis(120),
            };
            let target = Target::start(plan, record, &runs);
            target.list(&store, HEARTBEAT);
            target
        })
        .collect();
    let mut gateways = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let vm = Vm::new(&format!("front-{number}"), zone, store_address);
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
    let ended = Arc::new(AtomicBool::new(false));
    let unanswered: Arc<Mutex<Vec<Lost>>> = Arc::default();
    let served = Arc::new(Mutex::new(0));
    let mut callers = Vec::new();
    let uploads = if trouble { BURST } else { USUAL };
    record.note(format!("{uploads} requesters with bodies of {BODY} bytes at each VM"));
    for gateway in &gateways {
        for number in 0..SMALL + uploads {
            let mut caller = Caller::new(gateway.vm.callers, &gateway.vm.zone, record);
            caller.rate = (number >= SMALL).then_some(RATE);
            let (ended, unanswered) = (Arc::clone(&ended), Arc::clone(&unanswered));
            let served = Arc::clone(&served);
            callers.push(std::thread::spawn(move || {
                while !ended.load(Ordering::SeqCst) {
                    let (path, deadline, body) = match number < SMALL {
                        true => ("/landing/2f", Duration::from_secs(1), vec![b'x'; 1_200]),
                        false => ("/photos/2f", DEADLINE, vec![b'x'; BODY]),
                    };
                    let began = Instant::now();
                    let sent = caller.send_body("POST", path, HOST, None, deadline, &body);
                    match sent.answer {
                        // A connection that closed before the deadline.
                        None if began.elapsed() < deadline => {
                            unanswered.lock().unwrap().push(Lost { id: sent.id, kept: sent.kept });
                        }
                        Some(answer) if answer.status() == 200 => *served.lock().unwrap() += 1,
                        _ => {}
                    }
                    std::thread::sleep(Duration::from_millis(30));
                }
            }));
        }
    }
    let killed = watch_memory(&mut gateways, record);
    ended.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    drop(targets);
    let ran: HashSet<String> = runs.lock().unwrap().iter().map(|run| run.id.clone()).collect();
    let lost: Vec<String> = unanswered
        .lock()
        .unwrap()
        .iter()
        .filter(|one| one.kept && ran.contains(&one.id))
        .map(|one| one.id.clone())
        .collect();
    lost.iter().for_each(|id| {
        record.note(format!("LOST: {id} ran, and its kept connection closed without an answer"))
    });
    let served = *served.lock().unwrap();
    let summary = format!(
        "{served} requests served; VMs killed for their memory: {killed}; requests that ran and whose kept connection closed without an answer: {}",
        lost.len()
    );
    record.note(&summary);
    println!("{summary}");
    match () {
        () if served == 0 => Verdict::NotRun,
        () if lost.len() > 3 => Verdict::Broken,
        () => Verdict::Held,
    }
}

/// Does what the platform does: kills a process that exceeds its memory. Returns how many were
/// killed; ends soon after the first.
fn watch_memory(gateways: &mut [Gateway], record: &Record) -> usize {
    let until = Instant::now() + LENGTH;
    let mut peaks = vec![0; gateways.len()];
    let mut killed = 0;
    while Instant::now() < until && killed == 0 {
        for (number, gateway) in gateways.iter_mut().enumerate() {
            let memory = gateway.memory().unwrap_or(0);
            peaks[number] = peaks[number].max(memory);
            if memory > MEMORY {
                record.note(format!("the platform kills front-{number}, which has {memory} bytes"));
                gateway.kill();
                killed += 1;
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let text = format!("most memory of each VM, in bytes: {peaks:?} of {MEMORY}");
    record.note(&text);
    println!("{text}");
    if killed > 0 {
        std::thread::sleep(Duration::from_millis(1_000));
    }
    killed
}
