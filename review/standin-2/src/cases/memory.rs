//! Users who send long bodies come at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use super::{Broken, HOST, Route, Site, manifest};
use crate::caller::{Connection, Request, Seen, next_id};
use crate::gateway::{MEMORY_MB, memory_of};
use crate::target::Target;

/// Bytes of a long body; `MaxBodyBytes` is 67,108,864.
const BODY_BYTES: usize = 66_000_000;
/// Bytes a second of one user.
const USER_RATE: usize = 10_000_000;
/// Users with long bodies at each machine as usual, and during the burst: 1.67 times as many.
const USUAL_USERS: usize = 3;
const BURST_USERS: usize = 5;
/// Length of the burst.
const BURST: Duration = Duration::from_secs(5);
/// Users with short requests on kept connections at each machine.
const SHORT_USERS: usize = 12;

pub fn run(site: Site, trouble: bool) -> Broken {
    let text = |error: std::io::Error| error.to_string();
    let store = site.store.serve("127.0.0.1:0".parse().unwrap()).map_err(text)?;
    let routes = [
        Route {
            prefix: "/long/",
            kind: "unsafe",
            timeout_s: 15.0,
            target_s: 8.0,
            service: "archive",
        },
        Route {
            prefix: "/short/",
            kind: "unsafe",
            timeout_s: 2.0,
            target_s: 0.8,
            service: "booker",
        },
    ];
    for (index, service) in ["archive", "booker", "archive", "booker"].iter().enumerate() {
        let zone = if index < 2 { "zone-a" } else { "zone-b" };
        let id = format!("i-{service}-{index}");
        let ip = site.ip(100 + index as u8);
        Target::start(
            &id,
            service,
            zone,
            &ip,
            Duration::from_millis(250),
            &site.store,
            &site.record,
        )
        .map_err(text)?;
    }
    site.store.put("config", "main", manifest(1, &routes, &["archive", "booker"]));
    let mut gateways = site.start_gateways(2, store)?;
    let ends = Arc::new(AtomicBool::new(false));
    let record = &site.record;
    let (mut lost, mut kills, mut peak) = ([0; 2], [0; 2], [0; 2]);
    let mut answered = 0;
    std::thread::scope(|scope| {
        let short = |front| {
            let (record, ends) = (Arc::clone(record), Arc::clone(&ends));
            move || {
                let (mut answered, mut lost) = (0, 0);
                let mut kept: Option<Connection> = None;
                while !ends.load(Ordering::Relaxed) {
                    let Some(mut connection) = kept.take().or_else(|| Connection::open(front))
                    else {
                        std::thread::sleep(Duration::from_millis(100));
                        continue;
                    };
                    let id = next_id("s");
                    let deadline = Duration::from_millis(2_000);
                    let request = Request {
                        method: "POST",
                        path: "/short/1",
                        host: HOST,
                        id: &id,
                        deadline,
                        body: 2_000,
                        rate: 0,
                    };
                    let seen = connection.send(&request);
                    let ran = record.runs(&id).len();
                    record.line(&format!("short {id}: {}, ran {ran} times", seen.text()));
                    match seen {
                        Seen::Answer(answer) => {
                            answered += 1;
                            kept = (!answer.closes()).then_some(connection);
                        }
                        Seen::Closed(_) if ran > 0 => lost += 1,
                        _ => {}
                    }
                }
                (answered, lost)
            }
        };
        let long = |front, until: Duration| {
            let (record, ends) = (Arc::clone(record), Arc::clone(&ends));
            move || {
                let started = Instant::now();
                while started.elapsed() < until && !ends.load(Ordering::Relaxed) {
                    let id = next_id("l");
                    let deadline = Duration::from_secs(15);
                    let request = Request {
                        method: "PUT",
                        path: "/long/1",
                        host: HOST,
                        id: &id,
                        deadline,
                        body: BODY_BYTES,
                        rate: USER_RATE,
                    };
                    let Some(mut connection) = Connection::open(front) else {
                        std::thread::sleep(Duration::from_millis(100));
                        continue;
                    };
                    let seen = connection.send(&request);
                    record.line(&format!(
                        "long {id}: {}, ran {} times",
                        seen.text(),
                        record.runs(&id).len()
                    ));
                }
            }
        };
        let fronts = [gateways[0].front(), gateways[1].front()];
        let shorts: Vec<Vec<_>> = fronts
            .map(|front| (0..SHORT_USERS).map(|_| scope.spawn(short(front))).collect())
            .into();
        for front in fronts {
            (0..USUAL_USERS).for_each(|_| drop(scope.spawn(long(front, Duration::from_secs(30)))));
        }
        let started = Instant::now();
        let mut burst = trouble;
        while started.elapsed() < Duration::from_secs(30) {
            if burst && started.elapsed() > Duration::from_secs(12) {
                burst = false;
                record.say("burst begins");
                for front in fronts {
                    (USUAL_USERS..BURST_USERS).for_each(|_| drop(scope.spawn(long(front, BURST))));
                }
            }
            // The platform kills a process once it exceeds its memory, and starts it again.
            for (index, gateway) in gateways.iter_mut().enumerate() {
                let memory = memory_of(gateway.pid());
                peak[index] = peak[index].max(memory);
                if memory > MEMORY_MB * 1_000_000 {
                    record.say(&format!(
                        "{} takes {} MB and is killed",
                        gateway.name,
                        memory / 1_000_000
                    ));
                    kills[index] += 1;
                    gateway.kill();
                    std::thread::sleep(Duration::from_millis(200));
                    if let Err(error) = gateway.start() {
                        record.say(&error.to_string());
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        ends.store(true, Ordering::Relaxed);
        for (index, users) in shorts.into_iter().enumerate() {
            let mut own = 0;
            for user in users {
                let (own_answered, own_lost) = user.join().unwrap_or((0, 0));
                own += own_answered;
                lost[index] += own_lost;
            }
            answered += own;
            record.say(&format!(
                "{}: {own} short requests answered, {} run and lost with a kept connection; {} kills, at most {} MB",
                gateways[index].name, lost[index], kills[index], peak[index] / 1_000_000
            ));
        }
    });
    if answered < 200 {
        return Err("the short requests were not served".to_owned());
    }
    // LOST: more than three times, a machine in touch takes a request from a kept connection, passes it on to a
    // sound backend, and closes the connection with no answer.
    Ok(lost.iter().any(|lost| *lost > 3))
}
