//! The key that a caller sends to identify its workspace.

use actix_http::header::{AUTHORIZATION, HeaderMap};

use crate::KeyDigest;

/// Authentication scheme of the `Authorization` header, with the space that follows it.
const SCHEME: &[u8] = b"Bearer ";
/// Longest key.
const MAX_KEY_BYTES: usize = 512;

/// What a caller sent to identify its workspace. The key itself is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Credential {
    /// No key.
    Absent,
    /// Something that can't be a key, such as several headers or another scheme.
    Malformed,
    /// A key, which may be unknown.
    Key(KeyDigest),
}

impl Credential {
    /// Reads the `Authorization` header.
    pub(crate) fn read(headers: &HeaderMap) -> Self {
        let mut values = headers.get_all(AUTHORIZATION);
        let Some(value) = values.next() else { return Self::Absent };
        if values.next().is_some() {
            return Self::Malformed;
        }
        let key = value.as_bytes().strip_prefix(SCHEME);
        key.filter(|key| is_key(key)).map_or(Self::Malformed, |key| Self::Key(KeyDigest::of(key)))
    }
}

/// Whether these bytes may be a key: visible ASCII characters and not too many.
fn is_key(bytes: &[u8]) -> bool {
    (1..=MAX_KEY_BYTES).contains(&bytes.len()) && bytes.iter().all(u8::is_ascii_graphic)
}

#[cfg(test)]
mod tests {
    use actix_http::header::HeaderValue;

    use super::*;

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
}
