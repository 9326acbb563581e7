//! A machine is lost, and the users of both come to the other one; each keeps its connection, idle.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{Broken, HOST, Route, Site, manifest};
use crate::caller::{Connection, Request, Seen, next_id};
use crate::gateway::GROWN;
use crate::target::Target;

/// `ContactS` of the site.
const CONTACT_S: f64 = 3.0;
/// Requesters that have to try meanwhile.
const TRIES: usize = 7;
/// New users a second at each machine.
const USERS_PER_S: f64 = 25.0;
/// When a machine is lost, and the end, in seconds of traffic.
const LOSS_S: f64 = 10.0;
const END_S: f64 = 72.0;

/// One try of a new user: when, at which machine, and whether the machine took the connection.
type Try = (f64, usize, bool);

pub fn run(site: Site, trouble: bool) -> Broken {
    let text = |error: std::io::Error| error.to_string();
    let store = site.store.serve("127.0.0.1:0".parse().unwrap()).map_err(text)?;
    for (index, zone) in ["zone-a", "zone-b", "zone-a", "zone-b"].iter().enumerate() {
        let (id, ip) = (format!("i-contratos-{index}"), site.ip(100 + index as u8));
        let work = Duration::from_millis(20);
        Target::start(&id, "contratos", zone, &ip, work, &site.store, &site.record)
            .map_err(text)?;
    }
    let route = Route {
        prefix: "/alta/",
        kind: "unsafe",
        timeout_s: 3.0,
        target_s: 1.2,
        service: "contratos",
    };
    site.store.put("config", "main", manifest(1, &[route], &["contratos"]));
    let mut gateways = site.start_gateways(2, store, GROWN)?;
    let record = &site.record;
    let started = record.now();
    let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front()).collect();
    // The platform gives new connections to machines that were ready at one of the last two questions.
    let given: Vec<_> = fronts.iter().map(|_| Arc::new(AtomicBool::new(true))).collect();
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let kept: Arc<Mutex<Vec<Connection>>> = Arc::default();
    let mut unready = Vec::new();
    let mut misses = vec![0; gateways.len()];
    let (mut users, mut asked, mut is_lost) = (0_u32, 0.0, false);
    while record.now() < started + END_S {
        let now = record.now() - started;
        if trouble && !is_lost && now >= LOSS_S {
            is_lost = true;
            gateways[0].kill();
            record.say(&format!("{} is lost for good", gateways[0].name));
        }
        if now >= asked {
            asked = now + 1.0;
            for (index, gateway) in gateways.iter().enumerate() {
                let is_ready = gateway.is_ready();
                misses[index] = if is_ready { 0 } else { misses[index] + 1 };
                given[index].store(misses[index] < 2, Ordering::Relaxed);
                if !is_ready {
                    unready.push((now, index));
                }
                record.line(&format!("{} asked: ready {is_ready}", gateway.name));
            }
        }
        while f64::from(users) < now * USERS_PER_S * fronts.len() as f64 {
            let own = users as usize % fronts.len();
            let other = (own + 1) % fronts.len();
            let index = if given[own].load(Ordering::Relaxed) { own } else { other };
            users += 1;
            let front = fronts[index];
            let (tries, kept, record) = (Arc::clone(&tries), Arc::clone(&kept), Arc::clone(record));
            let user = move || {
                let at = record.now() - started;
                let id = next_id("u");
                let deadline = Duration::from_secs(1);
                let request = Request {
                    method: "POST",
                    path: "/alta/1",
                    host: HOST,
                    id: &id,
                    deadline,
                    body: 200,
                };
                let mut connection = Connection::open(front);
                let seen = connection.as_mut().map_or(Seen::NoConnection, |one| one.send(&request));
                let is_taken = matches!(seen, Seen::Answer(_));
                record.line(&format!(
                    "{id} to {front}: {}, ran {} times",
                    seen.text(),
                    record.runs(&id).len()
                ));
                tries.lock().unwrap().push((at, index, is_taken));
                // Its user may come back, so the connection stays open until the machine closes it.
                kept.lock().unwrap().extend(connection.filter(|_| is_taken));
            };
            std::thread::Builder::new().stack_size(256 * 1024).spawn(user).map_err(text)?;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    std::thread::sleep(Duration::from_millis(1_200));
    let mut tries = tries.lock().unwrap().clone();
    tries.sort_by(|one, other| one.0.total_cmp(&other.0));
    if tries.iter().filter(|(_, _, is_taken)| *is_taken).count() < 500 {
        return Err("the machines took too few connections".to_owned());
    }
    // RECOVER: a machine in touch that says that it is ready takes no new connection for ContactS, while seven
    // requesters or more try.
    let mut broken = false;
    for (index, gateway) in gateways.iter().enumerate().skip(usize::from(trouble)) {
        let own: Vec<_> = tries.iter().filter(|(_, machine, _)| *machine == index).collect();
        let (mut longest, mut since, mut count) = ((0.0, 0, 0.0), None, 0);
        for (at, _, is_taken) in &own {
            if *is_taken {
                (since, count) = (None, 0);
                continue;
            }
            let from = *since.get_or_insert(*at);
            count += 1;
            if at - from > longest.0 {
                longest = (at - from, count, from);
            }
        }
        let (length, count, from) = longest;
        let was_ready = !unready
            .iter()
            .any(|(at, one)| *one == index && *at >= from - 1.0 && *at <= from + length + 1.0);
        record.say(&format!(
            "{}: {} tries, {} not taken; longest time without a new connection {length:.1} s from {from:.1} s of traffic, {count} tried, said ready all the time: {was_ready}",
            gateway.name, own.len(), own.iter().filter(|(_, _, is_taken)| !is_taken).count()
        ));
        broken |= length >= CONTACT_S && count >= TRIES && was_ready;
    }
    Ok(broken)
}
