//! Changes of declarations either apply with exactly the intended result or are refused.
#![allow(clippy::unwrap_used)]

#[path = "common/many_routes.rs"]
mod many_routes;

use std::sync::Arc;
use std::time::Instant;

use bincode::{Decode, Encode};
use many_routes::{random_declarations, route};
use nickellead_gateway::{
    CallerLimits, ChangeError, Declarations, DeclarationsChange, DeclarationsHistory, DeclaredStep,
    DeclaredUpdate, KeyDigest, MAX_HISTORY_BYTES, MAX_HISTORY_STEPS, MAX_UNPACKED_BYTES, Packed,
    PackedError, RouteRule, ServiceRule, SharedRoute, UpdateError, WorkspaceRule, WorkspaceRules,
    WorkspacesChange,
};
use nickellead_peer::{decode, encode};
use quickcheck::{Arbitrary, Gen, quickcheck};

/// Small declarations with random routes from a common set of names, in random order.
#[derive(Clone, Debug)]
struct ArbitraryDeclarations(Declarations);

impl Arbitrary for ArbitraryDeclarations {
    fn arbitrary(generator: &mut Gen) -> Self {
        let mut names: Vec<u32> = (0..16).filter(|_| bool::arbitrary(generator)).collect();
        names.sort_by_cached_key(|_| u32::arbitrary(generator));
        let weights = [0.0, -0.0, 0.5, 1.0];
        let routes = names.iter().map(|name| {
            let host = *generator.choose(&["a.example", "b.example"]).unwrap();
            let weight = *generator.choose(&weights).unwrap();
            route(format!("route-{name}"), host, "path", weight)
        });
        let routes = routes.map(SharedRoute::from).collect();
        let rule =
            ServiceRule { connections: u32::arbitrary(generator) % 2, sharded: false, cold: None };
        let services = [("plain".to_owned(), rule)].into();
        let header_bytes = usize::from(bool::arbitrary(generator));
        let limits = CallerLimits { header_bytes, ..CallerLimits::default() };
        let version = u64::arbitrary(generator) % 2;
        let workspaces = bool::arbitrary(generator).then(|| random_workspaces(generator));
        Self(Declarations { version, routes, services, limits, workspaces })
    }
}

/// Some of four workspaces, each with some of three keys.
fn random_workspaces(generator: &mut Gen) -> WorkspaceRules {
    let names: Vec<u8> = (0..4).filter(|_| bool::arbitrary(generator)).collect();
    let rules = names.into_iter().map(|name| {
        let keys: Vec<u8> = (0..3).filter(|_| bool::arbitrary(generator)).collect();
        let rule = WorkspaceRule {
            keys: keys.into_iter().map(|key| KeyDigest::of(&[name, key])).collect(),
            priority: Option::<bool>::arbitrary(generator).map(u8::from),
            quota: None,
            regions: None,
        };
        (format!("workspace-{name}"), Arc::new(rule))
    });
    rules.collect()
}

/// The same declarations with routes sorted by name.
fn ordered(declarations: &Declarations) -> Declarations {
    let mut ordered = declarations.clone();
    ordered.routes.sort_by(|one, other| one.name.cmp(&other.name));
    ordered
}

/// Expected order of route names after a change: retained names in the old order, then new names.
fn names_after(old: &Declarations, new: &Declarations) -> Vec<String> {
    let names = |of: &Declarations| -> Vec<String> {
        of.routes.iter().map(|route| route.name.clone()).collect()
    };
    let (known, wanted) = (names(old), names(new));
    let retained = known.iter().filter(|name| wanted.contains(name));
    retained.chain(wanted.iter().filter(|name| !known.contains(name))).cloned().collect()
}

quickcheck! {
    fn a_change_applied_to_its_base_gives_its_result(
        old: ArbitraryDeclarations,
        new: ArbitraryDeclarations
    ) -> bool {
        let (old, new) = (old.0, new.0);
        let change = DeclarationsChange::between(&old, &new).unwrap();
        let received: DeclarationsChange = decode(&encode(&change).unwrap()).unwrap();
        let result = received.apply(&old).unwrap();
        let names: Vec<_> = result.routes.iter().map(|route| route.name.clone()).collect();
        let again = DeclarationsChange::between(&result, &new).unwrap();
        ordered(&result) == ordered(&new)
            && result.state() == new.state()
            && names == names_after(&old, &new)
            && again.removed.is_empty() && again.set.is_empty()
            && again.services.is_none() && again.limits.is_none()
            && again.workspaces == WorkspacesChange::Same
    }

    fn a_state_depends_on_content_and_not_on_order(
        one: ArbitraryDeclarations,
        other: ArbitraryDeclarations
    ) -> bool {
        let mut reversed = one.0.clone();
        reversed.routes.reverse();
        let change = DeclarationsChange::between(&one.0, &other.0).unwrap();
        let same = one.0.version == other.0.version && change.removed.is_empty()
            && change.set.is_empty() && change.services.is_none() && change.limits.is_none()
            && change.workspaces == WorkspacesChange::Same;
        one.0.state() == reversed.state() && (one.0.state() == other.0.state()) == same
    }

    fn every_retained_version_leads_to_the_newest(contents: Vec<ArbitraryDeclarations>) -> bool {
        let mut history = DeclarationsHistory::default();
        for pair in contents.windows(2) {
            history.push(step(&pair[0].0, &pair[1].0));
        }
        let Some(newest) = contents.last() else { return true };
        let retained = contents.iter().rev().take(MAX_HISTORY_STEPS + 1).skip(1);
        retained.map(|known| &known.0).all(|known| {
            let update = DeclaredUpdate::Steps(history.since(known.state()).unwrap());
            let update: DeclaredUpdate = decode(&encode(&update).unwrap()).unwrap();
            let applied = update.apply(Some(known)).unwrap();
            let mut subscriber_history = DeclarationsHistory::default();
            subscriber_history.apply_update(&applied);
            applied.state == newest.0.state()
                && ordered(&applied.declarations) == ordered(&newest.0)
                && DeclaredUpdate::Steps(subscriber_history.since(known.state()).unwrap()) == update
        })
    }
}

fn step(old: &Declarations, new: &Declarations) -> DeclaredStep {
    DeclaredStep::pack(&DeclarationsChange::between(old, new).unwrap()).unwrap()
}

/// A packed message with these raw bytes, as a faulty VM could send it.
fn packed_of<T>(bytes: &[u8]) -> Packed<T> {
    decode(&encode(&bytes.to_vec()).unwrap()).unwrap()
}

#[test]
fn a_change_is_refused_on_another_base_or_for_a_wrong_result() {
    let (old, new) = (random_declarations(1, 3), random_declarations(2, 5));
    let change = DeclarationsChange::between(&old, &new).unwrap();
    assert!(matches!(change.apply(&new), Err(ChangeError::WrongBase { .. })));
    let later = Declarations { version: 9, ..old.clone() };
    assert!(matches!(change.apply(&later), Err(ChangeError::WrongBase { .. })));
    let mut wrong = change.clone();
    wrong.set[1].attempts += 1;
    assert!(matches!(wrong.apply(&old), Err(ChangeError::WrongResult { .. })));
    let update = DeclaredUpdate::Steps(vec![step(&old, &new).packed]);
    assert!(matches!(update.apply(None), Err(UpdateError::NoBase)));
    assert!(matches!(update.apply(Some(&new)), Err(UpdateError::Change(_))));
}

#[test]
fn names_that_are_not_unique_have_no_change() {
    let (old, mut twice) = (random_declarations(1, 3), random_declarations(2, 3));
    twice.routes[1].name = twice.routes[0].name.clone();
    assert_eq!(DeclarationsChange::between(&old, &twice), None);
    assert_eq!(DeclarationsChange::between(&twice, &old), None);
}

#[test]
fn corrupt_bytes_are_refused() {
    let packed = step(&random_declarations(1, 3), &random_declarations(2, 30)).packed;
    let bytes: Vec<u8> = decode(&encode(&packed).unwrap()).unwrap();
    assert_eq!(packed_of(&bytes), packed);
    for index in 0..bytes.len() {
        let mut wrong = bytes.clone();
        wrong[index] ^= 0x55;
        let wrong: Packed<DeclarationsChange> = packed_of(&wrong);
        assert!(wrong.unpack().is_err(), "byte {index} changed");
        let short: Packed<DeclarationsChange> = packed_of(&bytes[..index]);
        assert!(short.unpack().is_err(), "only {index} bytes");
    }
}

#[test]
fn bytes_that_unpack_to_too_much_are_refused() {
    let zeros = vec![0; MAX_UNPACKED_BYTES + 1];
    let bytes = miniz_oxide::deflate::compress_to_vec_zlib(&zeros, 1);
    let packed: Packed<Declarations> = packed_of(&bytes);
    assert!(matches!(packed.unpack(), Err(PackedError::TooLarge)));
}

#[test]
fn a_history_drops_what_exceeds_its_limits() {
    let contents: Vec<_> =
        (0..MAX_HISTORY_STEPS as u64 + 2).map(|version| random_declarations(version, 4)).collect();
    let mut history = DeclarationsHistory::default();
    history.reset(contents[0].state());
    assert_eq!(history.since(contents[0].state()), Some(Vec::new()));
    for pair in contents.windows(2) {
        history.push(step(&pair[0], &pair[1]));
    }
    assert_eq!(history.since(contents[0].state()), None);
    assert_eq!(history.since(contents[1].state()).unwrap().len(), MAX_HISTORY_STEPS);

    let large: Vec<_> =
        (0..8).map(|number| random_declarations(100 + number, 1_400 * number as usize)).collect();
    for pair in large.windows(2) {
        history.push(step(&pair[0], &pair[1]));
    }
    assert_eq!(history.since(contents[1].state()), None, "the chain was broken");
    assert_eq!(history.since(large[0].state()), None, "too many bytes");
    let retained = large.iter().find_map(|known| history.since(known.state())).unwrap();
    assert!(!retained.is_empty());
    assert!(retained.iter().map(Packed::len).sum::<usize>() <= MAX_HISTORY_BYTES);
}

#[test]
fn a_whole_copy_starts_a_history() {
    let (old, new) = (random_declarations(1, 3), random_declarations(2, 30));
    let mut history = DeclarationsHistory::default();
    history.push(step(&old, &new));
    let applied = DeclaredUpdate::Full(Packed::pack(&old).unwrap()).apply(Some(&new)).unwrap();
    assert_eq!(applied.declarations, old);
    history.apply_update(&applied);
    assert_eq!(history.since(new.state()), None);
    assert_eq!(history.since(old.state()), Some(Vec::new()));
}

#[test]
fn a_packed_change_is_small() {
    let (old, new) = (random_declarations(1, 100), random_declarations(2, 1_500));
    let change = DeclarationsChange::between(&old, &new).unwrap();
    let (plain, packed) = (encode(&change).unwrap().len(), Packed::pack(&change).unwrap().len());
    assert!(packed * 100 < plain * 45, "{packed} of {plain} bytes");
    let mut reweighted = Declarations { version: 3, ..new.clone() };
    reweighted.routes[700].split[0].weight = 0.25;
    assert!(step(&new, &reweighted).packed.len() < 400);
}

/// The result and time in microseconds of the fastest of several runs.
fn fastest_of<T>(run: impl Fn() -> T) -> (T, u128) {
    let times = (0..20).map(|_| {
        let start = Instant::now();
        let result = run();
        (result, start.elapsed().as_micros())
    });
    times.min_by_key(|(_, time)| *time).unwrap()
}

fn print_packed_size<T: Encode + Decode<()>>(what: &str, message: &T) -> Packed<T> {
    let plain = encode(message).unwrap().len();
    let (packed, pack) = fastest_of(|| Packed::pack(message).unwrap());
    let (_, unpack) = fastest_of(|| packed.unpack().unwrap());
    let bytes = packed.len();
    eprintln!("{what}: plain {plain} B, packed {bytes} B, pack {pack} us, unpack {unpack} us");
    packed
}

#[test]
fn print_sizes_and_times_of_many_routes() {
    for count in [1_400, 4_200] {
        let (old, new) = (random_declarations(1, 100), random_declarations(2, 100 + count));
        eprintln!("{count} routes more than 100:");
        print_packed_size("  whole copy", &new);
        let (change, between) = fastest_of(|| DeclarationsChange::between(&old, &new).unwrap());
        print_packed_size("  change", &change);
        let (_, apply) = fastest_of(|| change.apply(&old).unwrap());
        let (_, state) = fastest_of(|| new.state());
        eprintln!("  between {between} us, apply {apply} us, state {state} us");
        let mut reweighted = Declarations { version: 3, ..new.clone() };
        reweighted.routes[700].split[0].weight = 0.25;
        let change = DeclarationsChange::between(&new, &reweighted).unwrap();
        print_packed_size("  one weight", &change);
        let (_, apply) = fastest_of(|| change.apply(&new).unwrap());
        eprintln!("  apply {apply} us");
    }
}

#[test]
fn the_size_of_responses_is_encoded_with_a_route_and_changes_its_digest() {
    let small = route("read".to_owned(), "a.example", "read", 1.0);
    let large = RouteRule { large_responses: true, ..small.clone() };
    let [small, large] = [small, large].map(SharedRoute::from);
    assert_ne!(small.digest(), large.digest());
    let decoded: SharedRoute = decode(&encode(&large).unwrap()).unwrap();
    assert!(decoded.large_responses && decoded == large);
}
