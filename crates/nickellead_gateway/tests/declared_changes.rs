//! Changes of declarations lead to the very content that they name, or to none.
#![allow(clippy::unwrap_used)]

#[path = "common/many_routes.rs"]
mod many_routes;

use std::time::Instant;

use bincode::{Decode, Encode};
use many_routes::{random_declarations, route};
use nickellead_gateway::{
    CallerLimits, ChangeError, Declarations, DeclarationsChange, DeclarationsHistory, DeclaredStep,
    DeclaredUpdate, MAX_HISTORY_BYTES, MAX_HISTORY_STEPS, MAX_UNPACKED_BYTES, Packed, PackedError,
    ServiceRule, SharedRoute, UpdateError,
};
use nickellead_peer::{decode, encode};
use quickcheck::{Arbitrary, Gen, quickcheck};

/// Small declarations with names of routes in common, in any order.
#[derive(Clone, Debug)]
struct Declared(Declarations);

impl Arbitrary for Declared {
    fn arbitrary(random: &mut Gen) -> Self {
        let mut names: Vec<u32> = (0..16).filter(|_| bool::arbitrary(random)).collect();
        names.sort_by_cached_key(|_| u32::arbitrary(random));
        let weights = [0.0, -0.0, 0.5, 1.0];
        let routes = names.iter().map(|name| {
            let host = *random.choose(&["a.example", "b.example"]).unwrap();
            let weight = *random.choose(&weights).unwrap();
            route(format!("route-{name}"), host, "path", weight)
        });
        let routes = routes.map(SharedRoute::from).collect();
        let rule =
            ServiceRule { connections: u32::arbitrary(random) % 2, sharded: false, cold: None };
        let services = [("plain".to_owned(), rule)].into();
        let header_bytes = usize::from(bool::arbitrary(random));
        let limits = CallerLimits { header_bytes, ..CallerLimits::default() };
        Self(Declarations { version: u64::arbitrary(random) % 2, routes, services, limits })
    }
}

/// The same content with its routes by name.
fn ordered(declarations: &Declarations) -> Declarations {
    let mut ordered = declarations.clone();
    ordered.routes.sort_by(|one, other| one.name.cmp(&other.name));
    ordered
}

/// Names as they must stand after a change: the old ones that stay, then the new ones.
fn names_after(old: &Declarations, new: &Declarations) -> Vec<String> {
    let names = |of: &Declarations| -> Vec<String> {
        of.routes.iter().map(|route| route.name.clone()).collect()
    };
    let (known, wanted) = (names(old), names(new));
    let kept = known.iter().filter(|name| wanted.contains(name));
    kept.chain(wanted.iter().filter(|name| !known.contains(name))).cloned().collect()
}

quickcheck! {
    fn a_change_leads_to_the_content_that_it_names(old: Declared, new: Declared) -> bool {
        let (old, new) = (old.0, new.0);
        let change = DeclarationsChange::between(&old, &new).unwrap();
        let told: DeclarationsChange = decode(&encode(&change).unwrap()).unwrap();
        let result = told.apply(&old).unwrap();
        let names: Vec<_> = result.routes.iter().map(|route| route.name.clone()).collect();
        let again = DeclarationsChange::between(&result, &new).unwrap();
        ordered(&result) == ordered(&new)
            && result.state() == new.state()
            && names == names_after(&old, &new)
            && again.removed.is_empty() && again.set.is_empty()
            && again.services.is_none() && again.limits.is_none()
    }

    fn a_state_depends_on_content_and_not_on_order(one: Declared, other: Declared) -> bool {
        let mut turned = one.0.clone();
        turned.routes.reverse();
        let change = DeclarationsChange::between(&one.0, &other.0).unwrap();
        let same = one.0.version == other.0.version && change.removed.is_empty()
            && change.set.is_empty() && change.services.is_none() && change.limits.is_none();
        one.0.state() == turned.state() && (one.0.state() == other.0.state()) == same
    }

    fn every_content_kept_leads_to_the_newest(contents: Vec<Declared>) -> bool {
        let mut history = DeclarationsHistory::default();
        for pair in contents.windows(2) {
            history.push(step(&pair[0].0, &pair[1].0));
        }
        let Some(newest) = contents.last() else { return true };
        let kept = contents.iter().rev().take(MAX_HISTORY_STEPS + 1).skip(1);
        kept.map(|known| &known.0).all(|known| {
            let news = DeclaredUpdate::Steps(history.since(known.state()).unwrap());
            let news: DeclaredUpdate = decode(&encode(&news).unwrap()).unwrap();
            let applied = news.apply(Some(known)).unwrap();
            let mut follower = DeclarationsHistory::default();
            follower.apply_update(&applied);
            applied.state == newest.0.state()
                && ordered(&applied.declarations) == ordered(&newest.0)
                && DeclaredUpdate::Steps(follower.since(known.state()).unwrap()) == news
        })
    }
}

fn step(old: &Declarations, new: &Declarations) -> DeclaredStep {
    DeclaredStep::pack(&DeclarationsChange::between(old, new).unwrap()).unwrap()
}

/// A packed message of any bytes, as another VM may send it.
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
    let news = DeclaredUpdate::Steps(vec![step(&old, &new).packed]);
    assert!(matches!(news.apply(None), Err(UpdateError::NoBase)));
    assert!(matches!(news.apply(Some(&new)), Err(UpdateError::Change(_))));
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
fn a_history_forgets_what_exceeds_its_limits() {
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
    let kept = large.iter().find_map(|known| history.since(known.state())).unwrap();
    assert!(!kept.is_empty());
    assert!(kept.iter().map(Packed::len).sum::<usize>() <= MAX_HISTORY_BYTES);
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
fn a_change_is_told_in_few_bytes() {
    let (old, new) = (random_declarations(1, 100), random_declarations(2, 1_500));
    let change = DeclarationsChange::between(&old, &new).unwrap();
    let (plain, packed) = (encode(&change).unwrap().len(), Packed::pack(&change).unwrap().len());
    assert!(packed * 100 < plain * 45, "{packed} of {plain} bytes");
    let mut weighed = Declarations { version: 3, ..new.clone() };
    weighed.routes[700].split[0].weight = 0.25;
    assert!(step(&new, &weighed).packed.len() < 400);
}

/// The result with the shortest of several times, in microseconds.
fn timed<T>(run: impl Fn() -> T) -> (T, u128) {
    let times = (0..20).map(|_| {
        let start = Instant::now();
        let result = run();
        (result, start.elapsed().as_micros())
    });
    times.min_by_key(|(_, time)| *time).unwrap()
}

fn print_packing<T: Encode + Decode<()>>(what: &str, message: &T) -> Packed<T> {
    let plain = encode(message).unwrap().len();
    let (packed, pack) = timed(|| Packed::pack(message).unwrap());
    let (_, unpack) = timed(|| packed.unpack().unwrap());
    let bytes = packed.len();
    eprintln!("{what}: plain {plain} B, packed {bytes} B, pack {pack} us, unpack {unpack} us");
    packed
}

#[test]
fn figures_of_many_routes() {
    for count in [1_400, 4_200] {
        let (old, new) = (random_declarations(1, 100), random_declarations(2, 100 + count));
        eprintln!("{count} routes more than 100:");
        print_packing("  whole copy", &new);
        let (change, between) = timed(|| DeclarationsChange::between(&old, &new).unwrap());
        print_packing("  change", &change);
        let (_, apply) = timed(|| change.apply(&old).unwrap());
        let (_, state) = timed(|| new.state());
        eprintln!("  between {between} us, apply {apply} us, state {state} us");
        let mut weighed = Declarations { version: 3, ..new.clone() };
        weighed.routes[700].split[0].weight = 0.25;
        let change = DeclarationsChange::between(&new, &weighed).unwrap();
        print_packing("  one weight", &change);
        let (_, apply) = timed(|| change.apply(&new).unwrap());
        eprintln!("  apply {apply} us");
    }
}
