//! Random declarations with any number of routes.

use std::time::Duration;

use nickellead_gateway::{Declarations, RepeatClass, RouteRule, SharedRoute, WeightedService};

/// A safe route to the service `plain`.
pub fn route(name: String, host: &str, prefix: &str, weight: f64) -> RouteRule {
    RouteRule {
        name,
        host: host.to_owned(),
        path_prefix: format!("/{prefix}/"),
        repeat: RepeatClass::Safe,
        timeout: Duration::from_secs(10),
        latency_target: Duration::from_millis(250),
        priority: 1,
        attempts: 2,
        split: vec![WeightedService { service: "plain".to_owned(), weight }],
        public: false,
        regions: None,
        large_responses: false,
    }
}

fn random_letters(random: &mut fastrand::Rng) -> String {
    let count = random.usize(6..=8);
    (0..count).map(|_| random.lowercase()).collect()
}

/// Declarations with `count` random routes. The seed is fixed: a smaller count gives a prefix of
/// the routes.
pub fn random_declarations(version: u64, count: usize) -> Declarations {
    let mut random = fastrand::Rng::with_seed(7);
    let routes = (0..count).map(|number| {
        let (host, prefix) = (random_letters(&mut random), random_letters(&mut random));
        let mut route = route(format!("route-{number}"), &host, &prefix, 1.0);
        route.timeout = Duration::from_secs(random.u64(1..=30));
        route.latency_target = Duration::from_millis(50 * random.u64(1..=20));
        route.priority = random.u8(0..=3);
        route.attempts = random.u32(1..=3);
        route.split[0].service = format!("service-{}", random.u8(1..=40));
        if random.bool() {
            route.repeat = RepeatClass::Unsafe;
        }
        route
    });
    Declarations {
        version,
        routes: routes.map(SharedRoute::from).collect(),
        ..Declarations::default()
    }
}
