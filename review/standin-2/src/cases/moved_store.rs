//! The settings files change: the store has another address.

use std::time::Duration;

use super::{Broken, HOST, Route, Site, manifest};
use crate::caller::{Connection, Request, Seen, next_id};
use crate::target::Target;

/// `ContactS` and `ConfigApplyS`.
const CONTACT_S: f64 = 3.0;
const APPLY_S: f64 = 2.0;

pub fn run(site: Site, trouble: bool) -> Broken {
    let text = |error: std::io::Error| error.to_string();
    let any = "127.0.0.1:0".parse().unwrap();
    let store = site.store.serve(any).map_err(text)?;
    for (index, service) in ["old", "new", "old", "new"].iter().enumerate() {
        let zone = if index < 2 { "zone-a" } else { "zone-b" };
        let (id, ip) = (format!("i-{service}-{index}"), site.ip(100 + index as u8));
        Target::start(
            &id,
            service,
            zone,
            &ip,
            Duration::from_millis(20),
            &site.store,
            &site.record,
        )
        .map_err(text)?;
    }
    let routes = |service| {
        [Route { prefix: "/book/", kind: "unsafe", timeout_s: 1.0, target_s: 0.4, service }]
    };
    site.store.put("config", "main", manifest(1, &routes("old"), &["old", "new"]));
    let gateways = site.start_gateways(2, store)?;
    let record = &site.record;
    std::thread::sleep(Duration::from_secs(5));
    // The store moves: it answers at the new address, and at the old one no more.
    let moved = match trouble {
        true => site.store.serve(any).map_err(text)?,
        false => store,
    };
    record.say(&format!("the store is at {moved}, before at {store}"));
    if trouble {
        site.store.close(store);
    }
    for gateway in &gateways {
        gateway.write_settings(moved).map_err(text)?;
        gateway.signal("HUP");
    }
    record.say("settings files changed, SIGHUP sent");
    std::thread::sleep(Duration::from_secs_f64(CONTACT_S + 1.0));
    site.store.put("config", "main", manifest(2, &routes("new"), &["old", "new"]));
    let acked = record.now();
    record.say("r2 acknowledged: /book/ goes to 'new'");
    let (mut stale, mut right, mut other) = (0, 0, 0);
    while record.now() < acked + 12.0 {
        for gateway in &gateways {
            let id = next_id("b");
            let sent = record.now();
            let request = Request {
                method: "POST",
                path: "/book/1",
                host: HOST,
                id: &id,
                deadline: Duration::from_secs(1),
                body: 100,
                rate: 0,
            };
            let seen = Connection::open(gateway.front())
                .map_or(Seen::NoConnection, |mut one| one.send(&request));
            let runs = record.runs(&id);
            let service = runs.first().map_or("-", |run| run.service.as_str());
            record.line(&format!(
                "{id} to {} sent {sent:.3}: {}, run by {service}",
                gateway.name,
                seen.text()
            ));
            if sent > acked + APPLY_S {
                match service {
                    "old" => stale += 1,
                    "new" => right += 1,
                    _ => other += 1,
                }
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    record.say(&format!("sent later than ConfigApplyS after the ack: {stale} run by 'old', {right} by 'new', {other} by none"));
    let ready = gateways.iter().filter(|gateway| gateway.is_ready()).count();
    record.say(&format!("{ready} of {} machines are ready", gateways.len()));
    if stale + right == 0 {
        return Err("the requests were not served".to_owned());
    }
    Ok(stale > 0)
}
