//! The table from kind to answer, and the page that shows it.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;

use nickellead_core::{ErrorKind, OutcomeClass};

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/ERRORS.md");

fn page() -> String {
    let mut page = String::from(
        "# Errors\n\nEvery answer of the router itself carries `nickellead-error` with the code and\n\
         `nickellead-outcome` with what the caller may conclude: `not-run` is proved, so that\n\
         repeating is safe; `unknown` may have run. This page is written from the table in\n\
         `crates/nickellead_core/src/error.rs` by\n\
         `UPDATE_DOCS=1 cargo test -p nickellead_core --test errors`.\n\n\
         | code | status | outcome | come back after | meaning |\n|---|---|---|---|---|\n",
    );
    for kind in ErrorKind::ALL {
        let answer = kind.response();
        let retry = answer.retry_after_ms.map_or("-".to_owned(), |millis| format!("{millis} ms"));
        page.push_str(&format!(
            "| `{}` | {} | {} | {retry} | {} |\n",
            answer.code,
            answer.status,
            answer.outcome.as_str(),
            answer.help
        ));
    }
    page
}

#[test]
fn the_page_shows_the_table() {
    if std::env::var_os("UPDATE_DOCS").is_some() {
        std::fs::write(PAGE, page()).unwrap();
    }
    assert_eq!(std::fs::read_to_string(PAGE).unwrap(), page());
}

#[test]
fn codes_differ_and_unknown_outcomes_never_invite_a_repeat() {
    let codes: BTreeSet<&str> = ErrorKind::ALL.iter().map(|kind| kind.response().code).collect();
    assert_eq!(codes.len(), ErrorKind::ALL.len());
    for kind in ErrorKind::ALL {
        let answer = kind.response();
        assert!((400..600).contains(&answer.status), "{kind:?}");
        if answer.outcome == OutcomeClass::Unknown {
            assert_eq!(answer.retry_after_ms, None, "{kind:?}");
        }
    }
}
