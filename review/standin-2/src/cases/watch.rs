//! The store cuts watches that are waiting, while backends leave without saying that they drain.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{Broken, HOST, Route, Site, manifest};
use crate::caller::{Connection, Request, Seen, next_id};
use crate::gateway::SMALL;
use crate::target::Target;

/// `DrainS` of the site.
const DRAIN_S: f64 = 2.0;
/// Allowed for the clocks of this program.
const TOLERANCE_S: f64 = 0.05;
/// How long a watch waits before it is cut.
const LONGEST_WAIT: Duration = Duration::from_millis(1_000);
/// Backends, and how many of them leave.
const BACKENDS: usize = 26;
const LEAVING: usize = 20;
/// Time between two that leave.
const GAP: Duration = Duration::from_millis(2_700);
/// Requesters at each machine.
const REQUESTERS: usize = 3;

pub fn run(site: Site, trouble: bool) -> Broken {
    let text = |error: std::io::Error| error.to_string();
    let store = site.store.serve("127.0.0.1:0".parse().unwrap()).map_err(text)?;
    if trouble {
        site.store.cut_watches_after(LONGEST_WAIT);
    }
    let mut targets = Vec::new();
    for index in 0..BACKENDS {
        let zone = if index % 2 == 0 { "zone-a" } else { "zone-b" };
        let (id, ip) = (format!("i-booker-{index}"), site.ip(100 + index as u8));
        let work = Duration::from_millis(20);
        targets.push(
            Target::start(&id, "booker", zone, &ip, work, &site.store, &site.record)
                .map_err(text)?,
        );
    }
    let route = [Route {
        prefix: "/book/",
        kind: "unsafe",
        timeout_s: 1.0,
        target_s: 0.4,
        service: "booker",
    }];
    site.store.put("config", "main", manifest(1, &route, &["booker"]));
    let gateways = site.start_gateways(3, store, SMALL)?;
    let record = &site.record;
    let ends = Arc::new(AtomicBool::new(false));
    // Backends whose entry went, and when the store had acknowledged that.
    let gone: Mutex<Vec<(String, f64)>> = Mutex::default();
    std::thread::scope(|scope| {
        for gateway in &gateways {
            for _ in 0..REQUESTERS {
                let ends = Arc::clone(&ends);
                scope.spawn(move || {
                    let mut kept: Option<Connection> = None;
                    while !ends.load(Ordering::Relaxed) {
                        let Some(mut connection) =
                            kept.take().or_else(|| Connection::open(gateway.front()))
                        else {
                            continue;
                        };
                        let id = next_id("b");
                        let deadline = Duration::from_secs(1);
                        let request = Request {
                            method: "POST",
                            path: "/book/1",
                            host: HOST,
                            id: &id,
                            deadline,
                            body: 100,
                        };
                        let seen = connection.send(&request);
                        record.line(&format!("{id} to {}: {}", gateway.name, seen.text()));
                        kept = matches!(seen, Seen::Answer(_)).then_some(connection);
                    }
                });
            }
        }
        std::thread::sleep(Duration::from_secs(5));
        for leaving in &targets[..LEAVING] {
            site.store.delete("servers", &leaving.id);
            gone.lock().unwrap().push((leaving.id.clone(), record.now()));
            record.line(&format!("the entry of {} is gone; it serves on", leaving.id));
            std::thread::sleep(GAP);
        }
        ends.store(true, Ordering::Relaxed);
    });
    let runs = record.all_runs();
    if runs.len() < 1_000 {
        return Err("the requests were not served".to_owned());
    }
    let mut late = 0;
    for (id, acked) in gone.into_inner().unwrap() {
        let after: Vec<f64> =
            runs.iter().filter(|run| run.target == id).map(|run| run.at - acked).collect();
        let own = after.iter().filter(|after| **after > DRAIN_S + TOLERANCE_S).count();
        let last = after.iter().copied().fold(f64::MIN, f64::max);
        record.say(&format!("{id}: the last request came {last:.3} s after the ack that it is gone; {own} later than DrainS"));
        late += own;
    }
    record.say(&format!(
        "{late} of {} requests came to a backend later than DrainS after it was gone",
        runs.len()
    ));
    Ok(late > 0)
}
