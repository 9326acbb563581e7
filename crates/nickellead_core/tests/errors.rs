//! The error table and its documentation page.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;

use nickellead_core::{ErrorKind, OutcomeClass};

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/ERRORS.md");

fn page() -> String {
    let mut page = String::from(
        "# Errors\n\nEvery error response of the router itself carries `nickellead-error` with the code and\n\
         `nickellead-outcome` with the effect of the request: `not-run` means that the operation did\n\
         not run, so a retry is safe; `unknown` means that it may have run. This page is generated from\n\
         the table in `crates/nickellead_core/src/error.rs` by\n\
         `UPDATE_DOCS=1 cargo test -p nickellead_core --test errors`.\n\n\
         | code | status | outcome | retry after | meaning |\n|---|---|---|---|---|\n",
    );
    for kind in ErrorKind::ALL {
        let response = kind.response();
        let retry = response.retry_after_ms.map_or("-".to_owned(), |millis| format!("{millis} ms"));
        page.push_str(&format!(
            "| `{}` | {} | {} | {retry} | {} |\n",
            response.code,
            response.status,
            response.outcome.as_str(),
            response.help
        ));
    }
    page
}

#[test]
fn the_page_matches_the_table() {
    if std::env::var_os("UPDATE_DOCS").is_some() {
        std::fs::write(PAGE, page()).unwrap();
    }
    assert_eq!(std::fs::read_to_string(PAGE).unwrap(), page());
}

#[test]
fn codes_are_unique_and_unknown_outcomes_suggest_no_retry() {
    let codes: BTreeSet<&str> = ErrorKind::ALL.iter().map(|kind| kind.response().code).collect();
    assert_eq!(codes.len(), ErrorKind::ALL.len());
    for kind in ErrorKind::ALL {
        let response = kind.response();
        assert!((400..600).contains(&response.status), "{kind:?}");
        if response.outcome == OutcomeClass::Unknown {
            assert_eq!(response.retry_after_ms, None, "{kind:?}");
        }
    }
}
