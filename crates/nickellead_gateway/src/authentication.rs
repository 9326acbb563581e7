//! The key that a caller sends to identify its workspace.

use actix_http::header::{AUTHORIZATION, HeaderMap};

use crate::KeyDigest;

/// Authentication scheme of the `Authorization` header, with the space that follows it.
const SCHEME: &[u8] = b"Bearer ";
/// Longest key.
pub const MAX_KEY_BYTES: usize = 512;

/// What a caller sent to identify its workspace. The key itself is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// No key.
    Absent,
    /// Something that can't be a key, such as several headers or another scheme.
    Malformed,
    /// A key, which may be unknown.
    Key(KeyDigest),
}

impl Credential {
    /// Reads the `Authorization` header.
    #[must_use]
    pub fn read(headers: &HeaderMap) -> Self {
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
