//! Manifests come in quick succession while a machine freezes and wakes again.

use std::time::Duration;

use super::{Broken, HOST, Route, Site, manifest};
use crate::caller::{Connection, Request, Seen, next_id};
use crate::gateway::SMALL;
use crate::json::Json;
use crate::target::Target;

const APPLY_S: f64 = 2.0;
const CONTACT_S: f64 = 3.0;
const GAP_S: f64 = 0.08;
const STORM_S: f64 = 4.0;
const FREEZE_S: f64 = 1.5;
/// Routes of the manifest beside the first one.
const ROUTES: usize = 8_000;

pub fn run(site: Site, trouble: bool) -> Broken {
    let text = |error: std::io::Error| error.to_string();
    let store = site.store.serve("127.0.0.1:0".parse().unwrap()).map_err(text)?;
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
    let prefixes: Vec<String> =
        (0..ROUTES).map(|index| format!("/shelf-{index}/of-the-archive/")).collect();
    let spec = |version: u32, service: &str| {
        let mut routes = vec![Route {
            prefix: "/book/",
            kind: "unsafe",
            timeout_s: 1.0,
            target_s: 0.4,
            service,
        }];
        routes.extend(prefixes.iter().map(|prefix| Route {
            prefix,
            kind: "safe",
            timeout_s: 1.0,
            target_s: 0.4,
            service: "old",
        }));
        manifest(version, &routes, &["old", "new"])
    };
    let record = &site.record;
    let mut size = String::new();
    spec(1, "old").write(&mut size);
    record.say(&format!("a manifest has {} bytes", size.len()));
    site.store.put("config", "main", spec(1, "old"));
    let gateways = site.start_gateways(3, store, SMALL)?;
    std::thread::sleep(Duration::from_secs(6));
    let holder = site.store.spec("nickellead-mandate", "holder");
    let holder = holder
        .as_ref()
        .and_then(|spec| spec.get("vm"))
        .and_then(Json::text)
        .unwrap_or("")
        .to_owned();
    record.say(&format!("{holder} wrote to the store under a condition"));
    let count = (STORM_S / GAP_S) as u32;
    let specs: Vec<_> = (0..count)
        .map(|index| spec(2 + index, if index + 1 == count { "new" } else { "old" }))
        .collect();
    let mut frozen = None;
    let from = record.now();
    for (index, spec) in specs.into_iter().enumerate() {
        site.store.put("config", "main", spec);
        if trouble && index == 3 {
            frozen = gateways.iter().position(|gateway| gateway.name == holder);
            if let Some(frozen) = frozen {
                gateways[frozen].signal("STOP");
                record.say("it freezes");
            }
        }
        let thaw = 3 + (FREEZE_S / GAP_S) as usize;
        if let Some(frozen) = frozen.filter(|_| index == thaw) {
            gateways[frozen].signal("CONT");
            record.say("it wakes again");
        }
        let due = (index + 1) as f64 * GAP_S;
        std::thread::sleep(Duration::from_secs_f64((from + due - record.now()).max(0.0)));
    }
    if trouble && frozen.is_none() {
        return Err("no machine holds the mandate".to_owned());
    }
    let acked = record.now();
    record.say("the last version is acknowledged: /book/ goes to 'new'");
    let mut stale = vec![0; gateways.len()];
    let mut last = 0.0_f64;
    let mut served = 0;
    while record.now() < acked + 25.0 {
        for (index, gateway) in gateways.iter().enumerate() {
            let id = next_id("b");
            let sent = record.now();
            let request = Request {
                method: "POST",
                path: "/book/1",
                host: HOST,
                id: &id,
                deadline: Duration::from_secs(1),
                body: 100,
            };
            let seen = Connection::open(gateway.front())
                .map_or(Seen::NoConnection, |mut one| one.send(&request));
            let run = record.runs(&id).into_iter().next();
            record.line(&format!(
                "{id} to {} sent {sent:.3}: {}, {run:?}",
                gateway.name,
                seen.text()
            ));
            // The machine that froze is in touch again by then, too.
            let limit = if Some(index) == frozen { CONTACT_S } else { APPLY_S };
            served += usize::from(run.is_some());
            if run.is_some_and(|run| run.service == "old") && sent > acked + limit {
                stale[index] += 1;
                last = last.max(sent - acked);
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    record.say(&format!(
        "run by 'old' too late, by machine: {stale:?}; the last was sent {last:.1} s after the ack"
    ));
    if served < 100 {
        return Err("the requests were not served".to_owned());
    }
    Ok(stale.iter().any(|count| *count > 0))
}
