//! Declarations reach every VM in time over slow links between VMs.
//!
//! Guards against whole copies where a change would do, and against dropping a copy that arrives
//! slowly and requesting it again from another upstream.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod common;

mod propagation {
    use std::io::Write;
    use std::net::{SocketAddr, TcpStream};
    use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
    use std::thread::JoinHandle;
    use std::time::{Duration, Instant};

    use fastrand::Rng;
    use nickellead_gateway::{Declarations, Packed, RepeatClass, RouteRule, SharedRoute};

    use super::common::link::PacedLink;
    use super::common::store::{MemoryStore, StoreObject};
    use super::common::{TestGateway, declarations, read_response, route, wait_until};

    /// 10 Mbit/s.
    const LINK_BYTES_PER_SECOND: f64 = 1_250_000.0;
    /// Rate at which a packed copy of `MAX_ROUTES` takes about two and a half seconds.
    const SLOW_LINK_BYTES_PER_SECOND: f64 = 30_000.0;
    /// Maximum delay until declarations of the store are active on all VMs.
    const MAX_ACTIVATION_DELAY: Duration = Duration::from_millis(2_500);
    /// Time between the change of routes and the change of weights.
    const WEIGHT_CHANGE_DELAY: Duration = Duration::from_millis(500);
    /// Maximum time to wait for a change.
    const OBSERVATION_TIME: Duration = Duration::from_secs(6);
    /// Maximum time to wait without changes until VMs have an upstream again.
    const MAX_SETTLE_TIME: Duration = Duration::from_secs(4);
    /// Time for which only the mandate holder must watch the store.
    const STABLE_TIME: Duration = Duration::from_millis(700);
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    /// Polling of all VMs takes processor time that the VMs need, and makes a version seem later
    /// than it is.
    const VERSION_POLL_INTERVAL: Duration = Duration::from_millis(100);
    /// VMs besides the holder of the mandate (leader lease): enough that each of its direct
    /// subscribers, three in each zone, has five subscribers.
    const SUBSCRIBERS: usize = 89;
    const ZONES: usize = 5;
    const INITIAL_ROUTES: usize = 110;
    const ADDED_ROUTES: usize = 1_400;
    const MAX_ROUTES: usize = INITIAL_ROUTES + 3 * ADDED_ROUTES;

    /// Serializes the tests of this file, which measure links.
    fn exclusive_lock() -> MutexGuard<'static, ()> {
        static EXCLUSIVE: Mutex<()> = Mutex::new(());
        EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A VM behind a paced link.
    struct LinkedVm {
        name: String,
        gateway: TestGateway,
        link: PacedLink,
    }

    impl LinkedVm {
        fn start(name: &str, zone: usize, rate: f64, store: &MemoryStore) -> Self {
            let mut link = None;
            let gateway = TestGateway::start_as(name, store, |settings| {
                let opened = PacedLink::open(settings.peers_address, rate);
                settings.zone = format!("zone-{zone}");
                settings.peers_announced = Some(opened.address);
                link = Some(opened);
            });
            Self { name: name.to_owned(), gateway, link: link.unwrap() }
        }

        fn wait_for_version(&self, version: u64) {
            let mut poller = VersionPoller::open(self.gateway.metrics);
            wait_until("a version is active", || poller.poll() >= version);
        }
    }

    /// Starts the mandate holder and then subscribers spread over the zones.
    fn start_fleet(subscribers: usize, rate: f64, store: &MemoryStore) -> Vec<LinkedVm> {
        let mut vms = vec![LinkedVm::start("vm-0", 0, rate, store)];
        wait_until("the first VM holds the mandate", || store.mandate_holder().is_some());
        vms[0].wait_for_version(1);
        let started_subscribers = (1..=subscribers)
            .map(|index| LinkedVm::start(&format!("vm-{index}"), index % ZONES, rate, store));
        vms.extend(started_subscribers);
        vms
    }

    /// Waits up to `MAX_SETTLE_TIME` until every VM but the mandate holder has had an upstream for
    /// `STABLE_TIME`: VMs that watch the store receive changes without any link.
    fn wait_until_settled(store: &MemoryStore) {
        let end = Instant::now() + MAX_SETTLE_TIME;
        let mut stable_since = Instant::now();
        while stable_since.elapsed() < STABLE_TIME && Instant::now() < end {
            if store.watching_vms() > 1 {
                stable_since = Instant::now();
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        println!("VMs that watch the store before the change: {}", store.watching_vms());
    }

    /// Polls the active version of one VM over a persistent connection.
    struct VersionPoller(TcpStream);

    impl VersionPoller {
        fn open(metrics: SocketAddr) -> Self {
            Self(TcpStream::connect(metrics).unwrap())
        }

        fn poll(&mut self) -> u64 {
            self.0.write_all(b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
            let text = read_response(&mut self.0);
            let start = "nickellead_config_version ";
            let version = text.lines().find_map(|line| line.strip_prefix(start));
            version.map_or(0, |version| version.trim().parse().unwrap())
        }
    }

    /// For each of two versions, the time at which it or a newer one became active on a VM.
    fn observe_versions(
        metrics: SocketAddr,
        versions: [u64; 2],
    ) -> JoinHandle<[Option<Instant>; 2]> {
        std::thread::spawn(move || {
            let mut poller = VersionPoller::open(metrics);
            let end = Instant::now() + OBSERVATION_TIME;
            let mut activated_at = [None; 2];
            while activated_at[1].is_none() && Instant::now() < end {
                let version = poller.poll();
                for (activated_at, wanted) in activated_at.iter_mut().zip(versions) {
                    if version >= wanted {
                        activated_at.get_or_insert_with(Instant::now);
                    }
                }
                std::thread::sleep(VERSION_POLL_INTERVAL);
            }
            activated_at
        })
    }

    /// Routes with random texts that compress badly.
    fn random_routes(count: usize) -> Vec<RouteRule> {
        let mut rng = Rng::with_seed(7);
        let mut random_letters = || -> String {
            let length = rng.usize(6..=8);
            (0..length).map(|_| rng.lowercase()).collect()
        };
        let mut random_route = || RouteRule {
            host: random_letters(),
            path_prefix: format!("/{}/", random_letters()),
            ..route(&random_letters(), "plain", RepeatClass::Safe)
        };
        (0..count).map(|_| random_route()).collect()
    }

    fn declared(version: u64, routes: &[RouteRule]) -> Declarations {
        let routes = routes.iter().cloned().map(SharedRoute::from).collect();
        Declarations { routes, ..declarations(version) }
    }

    /// Declarations with another weight on the first route.
    fn reweighted(version: u64, routes: &mut [RouteRule]) -> Declarations {
        routes[0].split[0].weight += 1.0;
        declared(version, routes)
    }

    fn encoded_bytes(declarations: &Declarations) -> u64 {
        bincode::encode_to_vec(declarations, bincode::config::standard()).unwrap().len() as u64
    }

    /// Delay until a version was active on each VM, ascending.
    fn activation_delays(
        declared_at: Instant,
        activated_at: impl Iterator<Item = Option<Instant>>,
    ) -> Vec<Duration> {
        let delay = |activated_at: Option<Instant>| {
            activated_at
                .map_or(OBSERVATION_TIME, |activated_at| activated_at.duration_since(declared_at))
        };
        let mut activation_delays: Vec<Duration> = activated_at.map(delay).collect();
        activation_delays.sort();
        activation_delays
    }

    /// Outcome of one large change and the change of weights after it.
    struct ChangeOutcome {
        /// Delay of each of the two versions on the last VM.
        worst: [Duration; 2],
        /// VMs other than the mandate holder that watched the store afterwards.
        watching_subscribers: usize,
    }

    /// Runs three large changes in a row, once for all tests that check them.
    fn large_changes() -> &'static [ChangeOutcome] {
        static OUTCOMES: OnceLock<Vec<ChangeOutcome>> = OnceLock::new();
        OUTCOMES.get_or_init(|| {
            let store = MemoryStore::default();
            let mut routes = random_routes(MAX_ROUTES);
            store.declare(declared(1, &routes[..INITIAL_ROUTES]));
            let vms = start_fleet(SUBSCRIBERS, LINK_BYTES_PER_SECOND, &store);
            vms.iter().for_each(|vm| vm.wait_for_version(1));
            let run = |change| {
                wait_until_settled(&store);
                let declared_routes = &mut routes[..INITIAL_ROUTES + change * ADDED_ROUTES];
                run_change(&vms, &store, 2 * change as u64, declared_routes)
            };
            (1..=3).map(run).collect()
        })
    }

    /// Declares routes as `version`, and new weights as the next version.
    fn run_change(
        vms: &[LinkedVm],
        store: &MemoryStore,
        version: u64,
        routes: &mut [RouteRule],
    ) -> ChangeOutcome {
        let versions = [version, version + 1];
        let bytes_before = vms[0].link.bytes();
        let observers: Vec<_> =
            vms.iter().map(|vm| observe_versions(vm.gateway.metrics, versions)).collect();
        let new_routes = declared(version, routes);
        let copy_size = encoded_bytes(&new_routes);
        let routes_declared_at = Instant::now();
        store.declare(new_routes);
        std::thread::sleep(WEIGHT_CHANGE_DELAY);
        let weights_declared_at = Instant::now();
        store.declare(reweighted(version + 1, routes));
        let activation_times: Vec<_> =
            observers.into_iter().map(|observer| observer.join().unwrap()).collect();
        let holder_bytes = vms[0].link.bytes() - bytes_before;
        let watching_subscribers = store.watching_vms().saturating_sub(1);
        println!(
            "{} routes, {copy_size} bytes whole: the mandate holder sent {holder_bytes} bytes; \
             {watching_subscribers} subscribers watch the store afterwards",
            routes.len()
        );
        let worst = [(routes_declared_at, 0), (weights_declared_at, 1)].map(|(start, index)| {
            let activation_delays =
                activation_delays(start, activation_times.iter().map(|times| times[index]));
            let (median, worst) = (
                activation_delays[activation_delays.len() / 2],
                activation_delays[activation_delays.len() - 1],
            );
            let version = versions[index];
            println!("  version {version} active after {median:.2?} (median), {worst:.2?} (last)");
            worst
        });
        ChangeOutcome { worst, watching_subscribers }
    }

    #[test]
    fn large_declarations_are_in_force_on_every_vm_in_time_over_slow_links() {
        let _exclusive = exclusive_lock();
        let worst: Vec<_> = large_changes().iter().flat_map(|change| change.worst).collect();
        assert!(
            worst.iter().all(|worst| *worst <= MAX_ACTIVATION_DELAY),
            "active too late: {worst:?}"
        );
    }

    /// The in-memory store responds at once and without a link, which hides much of the delay.
    #[test]
    fn subscribers_keep_their_upstream_during_large_declarations() {
        let _exclusive = exclusive_lock();
        let watching_subscribers: Vec<_> =
            large_changes().iter().map(|change| change.watching_subscribers).collect();
        assert_eq!(watching_subscribers, [0; 3], "subscribers that watch the store");
    }

    #[test]
    fn a_small_change_costs_bytes_in_proportion() {
        /// Maximum cost of a change of one route's weights, including other updates meanwhile.
        const MAX_BYTES_PER_SUBSCRIBER: u64 = 16 * 1024;
        const FEW_SUBSCRIBERS: usize = 5;
        let _exclusive = exclusive_lock();
        let store = MemoryStore::default();
        let mut routes = random_routes(1_500);
        store.declare(declared(1, &routes));
        let vms = start_fleet(FEW_SUBSCRIBERS, LINK_BYTES_PER_SECOND, &store);
        vms.iter().for_each(|vm| vm.wait_for_version(1));
        wait_until_settled(&store);
        let calls = || -> Vec<u64> {
            vms[1..].iter().map(|vm| store.declaration_calls(&vm.name)).collect()
        };
        let (bytes_before, calls_before) = (vms[0].link.bytes(), calls());
        store.declare(reweighted(2, &mut routes));
        vms.iter().for_each(|vm| vm.wait_for_version(2));
        let bytes_per_subscriber = (vms[0].link.bytes() - bytes_before) / FEW_SUBSCRIBERS as u64;
        println!(
            "bytes per subscriber: {bytes_per_subscriber}, whole: {}",
            encoded_bytes(&declared(2, &routes))
        );
        assert_eq!(calls(), calls_before, "subscribers read the change from the store");
        assert!(
            bytes_per_subscriber < MAX_BYTES_PER_SUBSCRIBER,
            "{bytes_per_subscriber} bytes per subscriber for one weight"
        );
    }

    #[test]
    fn a_copy_that_arrives_slowly_is_not_requested_again() {
        let _exclusive = exclusive_lock();
        let store = MemoryStore::default();
        let routes = random_routes(MAX_ROUTES);
        store.declare(declared(1, &routes));
        let copy_size = Packed::pack(&declared(1, &routes)).unwrap().len() as u64;
        // Withhold declarations of the store, so that the subscriber depends on the copy of its
        // upstream.
        store.set_withheld("vm-1", StoreObject::Declarations, true);
        let vms = start_fleet(1, SLOW_LINK_BYTES_PER_SECOND, &store);
        let (holder, subscriber) = (&vms[0], &vms[1]);
        let started = Instant::now();
        subscriber.wait_for_version(1);
        let delay = started.elapsed();
        let (bytes, connections) = (holder.link.bytes(), holder.link.connections());
        println!(
            "active after {delay:.2?}; {copy_size} bytes packed, {bytes} sent over {connections} \
             connections"
        );
        assert_eq!(
            connections, 3,
            "one for updates, one for declarations, one for reports of requests that make targets \
             fall; a repeated request opens new ones"
        );
        assert!(bytes < copy_size + copy_size / 2, "{bytes} bytes for a copy of {copy_size}");
    }
}
