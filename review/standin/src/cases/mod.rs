//! The cases.

pub mod extra_refusal;
pub mod large_bodies;
pub mod late_grant;

use std::time::Duration;

/// Host of all routes.
pub const HOST: &str = "hulo84.example";
/// Interval at which backends write their entries.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// A declared route: name, kind, seconds until its timeout, latency target, service, attempts.
pub type Route<'a> = (&'a str, &'a str, f64, f64, &'a str, u32);

/// The manifest of these routes and services; each service is sharded or not.
pub fn manifest(version: u64, routes: &[Route<'_>], services: &[(&str, bool)]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, kind, timeout, aim, service, attempts)| {
            format!(r#"["{name}","{HOST}","/{name}/","{kind}",{timeout},{aim},1,"{service}",{attempts}]"#)
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|(name, sharded)| {
            let warmup = if *sharded { "3.0" } else { "null" };
            let grants = if *sharded { r#""call""# } else { "null" };
            format!(r#"["{name}","/health",110,"h1",false,{sharded},{warmup},{grants}]"#)
        })
        .collect();
    format!(
        r#"{{"Version":"r{version}","Routes":{{"Columns":["Name","Host","PathPrefix","Kind","TimeoutS","TargetLatencyS","Priority","Service","MaxAttempts"],"Rows":[{}]}},"Services":{{"Columns":["Name","HealthPath","MaxConns","Protocol","Tls","Sharded","WarmupS","Grants"],"Rows":[{}]}},"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}}}"#,
        routes.join(","),
        services.join(",")
    )
}
