//! Which headers are a key of a workspace.

use actix_http::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use nickellead_gateway::{Credential, KeyDigest, MAX_KEY_BYTES};

const SCHEME: &[u8] = b"Bearer ";

fn read(values: &[&[u8]]) -> Credential {
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_bytes(value);
        headers.append(AUTHORIZATION, value.unwrap_or(HeaderValue::from_static("")));
    }
    Credential::read(&headers)
}

#[test]
fn only_a_single_well_formed_bearer_key_is_a_key() {
    let long = [SCHEME, &[b'k'; MAX_KEY_BYTES]].concat();
    let too_long = [SCHEME, &[b'k'; 8 * 1_024]].concat();
    assert_eq!(read(&[]), Credential::Absent);
    assert_eq!(read(&[b"Bearer k-1"]), Credential::Key(KeyDigest::of(b"k-1")));
    assert!(matches!(read(&[&long]), Credential::Key(_)));
    let malformed: [&[&[u8]]; 14] = [
        &[b""],
        &[b"k-1"],
        &[b"Bearer"],
        &[b"Bearer "],
        &[b"bearer k-1"],
        &[b"BEARER k-1"],
        &[b"Bearer  k-1"],
        &[b"Bearer k-1 "],
        &[b"Bearer k 1"],
        &[b"Bearer\tk-1"],
        &[b"Basic k-1"],
        &[b"Bearer k\xe9"],
        &[&too_long],
        &[b"Bearer k-1", b"Bearer k-1"],
    ];
    for values in malformed {
        assert_eq!(read(values), Credential::Malformed, "{values:?}");
    }
}

#[test]
fn a_credential_shows_no_key() {
    let credential = read(&[b"Bearer secret-1"]);
    assert_eq!(format!("{credential:?}"), "Key(KeyDigest)");
}
