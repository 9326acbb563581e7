//! What each result of each kind of call tells about the store.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use super::*;

const READS_AND_WRITES: [StoreCall; 8] = [
    StoreCall::ReadDeclarations,
    StoreCall::ReadTargets,
    StoreCall::ReadRanges,
    StoreCall::WriteRanges,
    StoreCall::ReadEvacuations,
    StoreCall::ReadMandate,
    StoreCall::ProbeMandate,
    StoreCall::WriteMandate,
];
const WATCHES: [StoreCall; 4] = [
    StoreCall::WatchDeclarations,
    StoreCall::WatchTargets,
    StoreCall::WatchRanges,
    StoreCall::WatchEvacuations,
];

fn signs(error: &StoreError, calls: &[StoreCall]) -> Vec<StoreSign> {
    let mut signs: Vec<StoreSign> =
        calls.iter().map(|call| StoreSign::of(*call, &Err::<(), _>(error.clone()))).collect();
    signs.dedup();
    signs
}

/// Guards against results that count as an outage of the store, or as its end, though they are none.
#[test]
fn each_result_tells_what_it_proves_about_the_store() {
    use StoreSign::{Inconclusive, Responding, Unavailable};
    let text = String::new;
    let table = [
        (StoreError::NoResponse(text()), Unavailable, Unavailable),
        (StoreError::Disconnected(text()), Unavailable, Inconclusive),
        (StoreError::Refused(503), Unavailable, Unavailable),
        (StoreError::Conflict, Responding, Responding),
        (StoreError::Compacted, Responding, Responding),
        (StoreError::Malformed(text()), Inconclusive, Inconclusive),
    ];
    for (error, of_others, of_watches) in table {
        assert_eq!(signs(&error, &READS_AND_WRITES), [of_others], "{error}");
        assert_eq!(signs(&error, &WATCHES), [of_watches], "{error}");
    }
}

/// Guards against calls beyond the rate that count as an outage: only cached reads are outside the rate.
#[test]
fn a_refusal_beyond_the_rate_tells_nothing_but_of_cached_reads() {
    let limited: Result<(), _> = Err(StoreError::RateLimited);
    for call in READS_AND_WRITES.into_iter().chain(WATCHES) {
        let is_cached = call == StoreCall::ProbeMandate;
        let expected = if is_cached { StoreSign::Unavailable } else { StoreSign::Inconclusive };
        assert_eq!(StoreSign::of(call, &limited), expected, "{call:?}");
    }
}

/// Guards against a cut watch that starts an outage, or ends one that has begun.
#[test]
fn a_cut_watch_neither_begins_nor_ends_an_outage() {
    let health = StoreHealth::default();
    let cut: Result<(), _> = Err(StoreError::Disconnected(String::new()));
    health.record(StoreCall::WatchTargets, &cut);
    assert!(!health.is_unavailable() && health.last_response().is_none());
    let silent: Result<(), _> = Err(StoreError::NoResponse(String::new()));
    health.record(StoreCall::ReadMandate, &silent);
    health.record(StoreCall::WatchTargets, &cut);
    assert!(health.is_unavailable() && health.recovered_at().is_none());
    health.record(StoreCall::ProbeMandate, &Ok(()));
    assert!(!health.is_unavailable());
    assert!(health.recovered_at().unwrap().elapsed() < Duration::from_secs(1));
}
