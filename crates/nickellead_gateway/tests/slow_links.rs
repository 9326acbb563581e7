//! Declarations reach every VM in time although the links between VMs are slow.
//!
//! Seen: on 90 VMs, most with a link of 10 Mbit/s, declarations with 1,400 routes more, followed by
//! new weights half a second later, were in force on the last VM 2.3 s to 3.0 s after the store had
//! them; 2.5 s are allowed. How: most VMs lost their source within four seconds and asked another.
//! Suspected cause: each change was told as a whole copy, fifteen of them over the link of one VM,
//! and a copy that was not there 850 ms after the question was dropped and asked for anew elsewhere,
//! one source after another. Proof: the links below carry that many bytes a second and no more, and
//! over them such changes make most VMs turn to the store and can be too late; two tests show each
//! cause alone.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod common;

mod slow_links_incident {
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

    /// Bytes a second of a link of 10 Mbit/s.
    const LINK_RATE: f64 = 1_250_000.0;
    /// Bytes a second of a link that takes some two and a half seconds for a packed copy of
    /// `MOST_ROUTES`.
    const SLOW_RATE: f64 = 30_000.0;
    /// When declarations must be in force after the store has them.
    const IN_FORCE: Duration = Duration::from_millis(2_500);
    /// New weights follow new routes after this time.
    const WEIGHTS_AFTER: Duration = Duration::from_millis(500);
    /// Longest time that is waited for a change, to tell how late it was.
    const WATCH: Duration = Duration::from_secs(6);
    /// Longest time without changes that VMs have to find a source again.
    const REST: Duration = Duration::from_secs(4);
    /// How long nobody but the holder must have followed the store.
    const QUIET: Duration = Duration::from_millis(700);
    /// Between two looks at what is in force.
    const LOOK: Duration = Duration::from_millis(20);
    /// Between two looks at what is in force on one VM of ninety: a look takes processor time that the
    /// VMs need, and makes a version seem later than it is.
    const VM_LOOK: Duration = Duration::from_millis(100);
    /// VMs beside the holder of the mandate: enough that those that follow it, three in each zone,
    /// have five readers each.
    const READERS: usize = 89;
    const ZONES: usize = 5;
    const FIRST_ROUTES: usize = 110;
    const MORE_ROUTES: usize = 1_400;
    const MOST_ROUTES: usize = FIRST_ROUTES + 3 * MORE_ROUTES;

    /// Tests that measure links run one after another.
    fn alone() -> MutexGuard<'static, ()> {
        static ALONE: Mutex<()> = Mutex::new(());
        ALONE.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A VM and the link over which others reach it.
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

        fn wait_for(&self, version: u64) {
            let mut watch = VersionWatch::open(self.gateway.metrics);
            wait_until("a version is in force", || watch.look() >= version);
        }
    }

    /// The holder of the mandate, and then readers spread over the zones.
    fn fleet(readers: usize, rate: f64, store: &MemoryStore) -> Vec<LinkedVm> {
        let mut vms = vec![LinkedVm::start("vm-0", 0, rate, store)];
        wait_until("the first VM leads", || store.mandate_holder().is_some());
        vms[0].wait_for(1);
        let more = (1..=readers)
            .map(|index| LinkedVm::start(&format!("vm-{index}"), index % ZONES, rate, store));
        vms.extend(more);
        vms
    }

    /// Waits until every VM but the holder has followed another for a while, `REST` at most: VMs that
    /// follow the store hear of a change without any link.
    fn rest(store: &MemoryStore) {
        let end = Instant::now() + REST;
        let mut quiet_since = Instant::now();
        while quiet_since.elapsed() < QUIET && Instant::now() < end {
            if store.watching_vms() > 1 {
                quiet_since = Instant::now();
            }
            std::thread::sleep(LOOK);
        }
        println!("VMs that follow the store before the change: {}", store.watching_vms());
    }

    /// Asks one VM which declarations are in force.
    struct VersionWatch(TcpStream);

    impl VersionWatch {
        fn open(metrics: SocketAddr) -> Self {
            Self(TcpStream::connect(metrics).unwrap())
        }

        fn look(&mut self) -> u64 {
            self.0.write_all(b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
            let text = read_response(&mut self.0);
            let start = "nickellead_config_version ";
            let version = text.lines().find_map(|line| line.strip_prefix(start));
            version.map_or(0, |version| version.trim().parse().unwrap())
        }
    }

    /// When a version or a newer one came into force on a VM, for each of two versions.
    fn watch_vm(metrics: SocketAddr, versions: [u64; 2]) -> JoinHandle<[Option<Instant>; 2]> {
        std::thread::spawn(move || {
            let mut watch = VersionWatch::open(metrics);
            let end = Instant::now() + WATCH;
            let mut seen = [None; 2];
            while seen[1].is_none() && Instant::now() < end {
                let version = watch.look();
                for (seen, wanted) in seen.iter_mut().zip(versions) {
                    if version >= wanted {
                        seen.get_or_insert_with(Instant::now);
                    }
                }
                std::thread::sleep(VM_LOOK);
            }
            seen
        })
    }

    /// Routes whose texts can't be made much shorter.
    fn random_routes(count: usize) -> Vec<RouteRule> {
        let mut rng = Rng::with_seed(7);
        let mut letters = || -> String {
            let length = rng.usize(6..=8);
            (0..length).map(|_| rng.lowercase()).collect()
        };
        let mut random_route = || RouteRule {
            host: letters(),
            path_prefix: format!("/{}/", letters()),
            ..route(&letters(), "plain", RepeatClass::Safe)
        };
        (0..count).map(|_| random_route()).collect()
    }

    fn declared(version: u64, routes: &[RouteRule]) -> Declarations {
        let routes = routes.iter().cloned().map(SharedRoute::from).collect();
        Declarations { routes, ..declarations(version) }
    }

    /// The same routes with another weight on one of them.
    fn reweighted(version: u64, routes: &mut [RouteRule]) -> Declarations {
        routes[0].split[0].weight += 1.0;
        declared(version, routes)
    }

    fn copy_bytes(declarations: &Declarations) -> u64 {
        bincode::encode_to_vec(declarations, bincode::config::standard()).unwrap().len() as u64
    }

    /// How late a version was on each VM, earliest first.
    fn delays(told: Instant, seen: impl Iterator<Item = Option<Instant>>) -> Vec<Duration> {
        let delay = |seen: Option<Instant>| seen.map_or(WATCH, |seen| seen.duration_since(told));
        let mut delays: Vec<Duration> = seen.map(delay).collect();
        delays.sort();
        delays
    }

    /// What came of one large change and of the new weights after it.
    struct ChangeOutcome {
        /// How late each of the two versions was on the last VM.
        worst: [Duration; 2],
        /// VMs beside the holder that followed the store when it was over.
        turned: usize,
    }

    /// Three large changes in a row, played once for all tests that judge them.
    fn large_changes() -> &'static [ChangeOutcome] {
        static PLAYED: OnceLock<Vec<ChangeOutcome>> = OnceLock::new();
        PLAYED.get_or_init(|| {
            let store = MemoryStore::default();
            let mut routes = random_routes(MOST_ROUTES);
            store.declare(declared(1, &routes[..FIRST_ROUTES]));
            let vms = fleet(READERS, LINK_RATE, &store);
            vms.iter().for_each(|vm| vm.wait_for(1));
            let play = |change| {
                rest(&store);
                let known = &mut routes[..FIRST_ROUTES + change * MORE_ROUTES];
                play_change(&vms, &store, 2 * change as u64, known)
            };
            (1..=3).map(play).collect()
        })
    }

    /// Declares routes as this version, and new weights as the next.
    fn play_change(
        vms: &[LinkedVm],
        store: &MemoryStore,
        version: u64,
        routes: &mut [RouteRule],
    ) -> ChangeOutcome {
        let versions = [version, version + 1];
        let before = vms[0].link.bytes();
        let watches: Vec<_> = vms.iter().map(|vm| watch_vm(vm.gateway.metrics, versions)).collect();
        let new_routes = declared(version, routes);
        let copy = copy_bytes(&new_routes);
        let first = Instant::now();
        store.declare(new_routes);
        std::thread::sleep(WEIGHTS_AFTER);
        let second = Instant::now();
        store.declare(reweighted(version + 1, routes));
        let seen: Vec<_> = watches.into_iter().map(|watch| watch.join().unwrap()).collect();
        let told = vms[0].link.bytes() - before;
        let turned = store.watching_vms().saturating_sub(1);
        println!(
            "{} routes, {copy} bytes whole: told by the holder {told} bytes; {turned} readers \
             follow the store afterwards",
            routes.len()
        );
        let worst = [(first, 0), (second, 1)].map(|(start, index)| {
            let delays = delays(start, seen.iter().map(|seen| seen[index]));
            let (median, worst) = (delays[delays.len() / 2], delays[delays.len() - 1]);
            let version = versions[index];
            println!(
                "  version {version} in force after {median:.2?} (median), {worst:.2?} (last)"
            );
            worst
        });
        ChangeOutcome { worst, turned }
    }

    #[test]
    fn large_declarations_are_in_force_on_every_vm_in_time_over_slow_links() {
        let _alone = alone();
        let worst: Vec<_> = large_changes().iter().flat_map(|change| change.worst).collect();
        assert!(worst.iter().all(|worst| *worst <= IN_FORCE), "in force too late: {worst:?}");
    }

    /// The store in memory answers at once and costs no link, so it hides much of the lateness.
    #[test]
    fn large_declarations_leave_every_vm_its_source() {
        let _alone = alone();
        let turned: Vec<_> = large_changes().iter().map(|change| change.turned).collect();
        assert_eq!(turned, [0; 3], "readers that turned to the store");
    }

    #[test]
    fn a_small_change_costs_bytes_in_proportion() {
        /// Bytes a reader that one route's weights may cost, with all else told meanwhile.
        const MOST_BYTES: u64 = 16 * 1024;
        const FEW_READERS: usize = 5;
        let _alone = alone();
        let store = MemoryStore::default();
        let mut routes = random_routes(1_500);
        store.declare(declared(1, &routes));
        let vms = fleet(FEW_READERS, LINK_RATE, &store);
        vms.iter().for_each(|vm| vm.wait_for(1));
        rest(&store);
        let calls = || -> Vec<u64> {
            vms[1..].iter().map(|vm| store.declaration_calls(&vm.name)).collect()
        };
        let (bytes_before, calls_before) = (vms[0].link.bytes(), calls());
        store.declare(reweighted(2, &mut routes));
        vms.iter().for_each(|vm| vm.wait_for(2));
        let each = (vms[0].link.bytes() - bytes_before) / FEW_READERS as u64;
        println!("bytes a reader: {each}, whole: {}", copy_bytes(&declared(2, &routes)));
        assert_eq!(calls(), calls_before, "readers hear of it from the holder");
        assert!(each < MOST_BYTES, "{each} bytes a reader for one weight");
    }

    #[test]
    fn a_copy_that_arrives_slowly_is_not_given_up() {
        let _alone = alone();
        let store = MemoryStore::default();
        let routes = random_routes(MOST_ROUTES);
        store.declare(declared(1, &routes));
        let copy = Packed::pack(&declared(1, &routes)).unwrap().len() as u64;
        // What does not arrive in time would be read from the store, which tells nothing of the copy.
        store.set_withheld("vm-1", StoreObject::Declarations, true);
        let vms = fleet(1, SLOW_RATE, &store);
        let (holder, reader) = (&vms[0], &vms[1]);
        let started = Instant::now();
        reader.wait_for(1);
        let took = started.elapsed();
        let (bytes, connections) = (holder.link.bytes(), holder.link.connections());
        println!(
            "in force after {took:.2?}; {copy} bytes packed, {bytes} carried over {connections} \
             connections"
        );
        assert_eq!(
            connections, 2,
            "one for news, one for declarations: a source is asked anew over new ones"
        );
        assert!(bytes < copy + copy / 2, "{bytes} bytes for a copy of {copy}");
    }
}
