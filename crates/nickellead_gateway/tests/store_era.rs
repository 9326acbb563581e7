//! What the store's answers say of its era, however odd.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use nickellead_gateway::{EraMonitor, StoreEra};

const LATELY: Duration = Duration::from_secs(60);

/// Takes in an answer to a call that was made just now.
fn note(watch: &EraMonitor, word: &str) -> StoreEra {
    watch.observe(Some(word.as_bytes()), watch.era())
}

#[test]
fn a_store_that_tells_no_eras_has_none() {
    let watch = EraMonitor::default();
    assert_eq!(watch.observe(None, watch.era()), StoreEra(0));
    assert_eq!((watch.era(), watch.invalid_count()), (StoreEra(0), 0));
}

#[test]
fn an_era_that_rises_is_known_from_then_on() {
    let watch = EraMonitor::default();
    assert_eq!(note(&watch, "4"), StoreEra(4));
    assert!(!watch.increased_within(LATELY), "the first word tells of no return");
    assert_eq!(note(&watch, " 5 "), StoreEra(5));
    assert!(watch.increased_within(LATELY));
    assert_eq!(watch.invalid_count(), 0);
}

/// Guards against: an answer of the era before, which crossed the store's return, is taken for one of the new era.
#[test]
fn an_answer_that_crossed_is_of_its_own_era() {
    let watch = EraMonitor::default();
    note(&watch, "4");
    let sent_in = watch.era();
    note(&watch, "5");
    assert_eq!(watch.observe(Some(b"4"), sent_in), StoreEra(4));
    assert_eq!((watch.era(), watch.invalid_count()), (StoreEra(5), 0));
}

/// Guards against: one odd word, and all later answers count as older.
#[test]
fn odd_words_are_counted_and_lose_nothing() {
    let watch = EraMonitor::default();
    note(&watch, "4");
    let odd = ["", "five", "-1", "4.5", "3", "99999999999999999999999", "18446744073709551615"];
    for (index, word) in odd.iter().enumerate() {
        assert_eq!(note(&watch, word), StoreEra(4), "{word:?}");
        assert_eq!(watch.invalid_count(), index as u64 + 1, "{word:?}");
    }
    assert_eq!(watch.observe(None, watch.era()), StoreEra(4));
    assert_eq!(watch.invalid_count(), odd.len() as u64 + 1, "there was one before");
    assert_eq!(note(&watch, "7"), StoreEra(7), "two were missed");
    assert_eq!(watch.invalid_count(), odd.len() as u64 + 2);
}
