//! The cases. Each returns whether the rule was broken.

mod idle;
mod storm;
mod watch;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::{Gateway, Ports, Sheet, wait_ready};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

pub type Broken = Result<bool, String>;

pub fn run(case: &str, path: &str, trouble: bool) -> Broken {
    let site = Site::new(trouble)?;
    let record = Arc::clone(&site.record);
    let broken = match case {
        "idle" => idle::run(site, trouble),
        "watch" => watch::run(site, trouble),
        "storm" => storm::run(site, trouble),
        other => Err(format!("no case {other}")),
    };
    record.say(&format!("broken: {broken:?}"));
    record.save(path).map_err(|error| error.to_string())?;
    broken
}

/// A small deployment without machines.
pub struct Site {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    /// First three numbers of its loopback addresses.
    network: String,
    folder: PathBuf,
}

impl Site {
    fn new(trouble: bool) -> Result<Self, String> {
        let process = std::process::id();
        let network = format!("127.{}.{}", 20 + process % 200, process / 200 % 250);
        let folder = std::env::temp_dir().join(format!("nickellead-review-2-{process}"));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let record = Arc::new(Record::new());
        record.say(if trouble { "with the disruption" } else { "without the disruption" });
        Ok(Self { record, store: Arc::default(), network, folder })
    }

    /// A loopback address of this site.
    pub fn ip(&self, last: u8) -> String {
        format!("{}.{last}", self.network)
    }

    /// Starts machines in two zones, one or more in each.
    pub fn start_gateways(
        &self,
        count: u8,
        store: std::net::SocketAddr,
        sheet: Sheet,
    ) -> Result<Vec<Gateway>, String> {
        let text = |error: std::io::Error| error.to_string();
        let ports = Ports::free().map_err(text)?;
        let mut gateways = Vec::new();
        for index in 0..count {
            let zone = if index % 2 == 0 { "zone-a" } else { "zone-b" };
            let name = format!("front-{zone}-{index}");
            let mut gateway =
                Gateway::new(&name, zone, &self.ip(10 + index), ports, sheet, &self.folder);
            gateway.write_settings(store).map_err(text)?;
            gateway.start().map_err(text)?;
            gateways.push(gateway);
        }
        match wait_ready(&gateways, Duration::from_secs(15)) {
            true => Ok(gateways),
            false => Err("the machines did not become ready".to_owned()),
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// One route of a manifest.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub timeout_s: f64,
    pub target_s: f64,
    pub service: &'a str,
}

/// The host of all routes.
pub const HOST: &str = "hulo84.example";

/// A manifest in the form of the pages.
pub fn manifest(version: u32, routes: &[Route<'_>], services: &[&str]) -> Json {
    let rows: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(index, route)| {
            format!(
                r#"["r-{index}","{HOST}","{}","{}",{},{},1,"{}",2,null]"#,
                route.prefix, route.kind, route.timeout_s, route.target_s, route.service
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|service| format!(r#"["{service}","/health",130,"h1",false]"#))
        .collect();
    let text = format!(
        r#"{{"Version":"r{version}","Routes":{{"Columns":["Name","Host","PathPrefix","Kind","TimeoutS","TargetLatencyS","Priority","Service","MaxAttempts","TrafficSplit"],"Rows":[{}]}},"Services":{{"Columns":["Name","HealthPath","MaxConns","Protocol","Tls"],"Rows":[{}]}},"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}}}"#,
        rows.join(","),
        services.join(",")
    );
    Json::parse(&text).expect("a manifest")
}
