//! Names of declared objects and the `Copy` keys derived from them.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

const MAX_NAME_BYTES: usize = 63;

/// A validated name: lower-case letters, digits, `-` and `.`, at most 63 bytes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Encode, Decode)]
#[serde(transparent)]
pub struct Name(String);

/// Reason for which a text is not a valid [`Name`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NameError {
    /// The text is empty.
    #[error("is empty: give it 1 to 63 characters")]
    Empty,
    /// The text is longer than 63 bytes.
    #[error("has {0} bytes: shorten it to at most 63")]
    TooLong(usize),
    /// The text contains a character that is not allowed in names.
    #[error("holds {0:?}: use lower-case letters, digits, '-' and '.' only")]
    BadCharacter(char),
}

impl Name {
    /// Validates a text as a name.
    ///
    /// # Errors
    /// Returns a [`NameError`] for the first rule that the text violates.
    pub fn new(text: &str) -> Result<Self, NameError> {
        if text.is_empty() {
            return Err(NameError::Empty);
        }
        if text.len() > MAX_NAME_BYTES {
            return Err(NameError::TooLong(text.len()));
        }
        match text.chars().find(|character| !is_name_character(*character)) {
            Some(character) => Err(NameError::BadCharacter(character)),
            None => Ok(Self(text.to_owned())),
        }
    }

    /// Text of the name.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// XXH3-64 hash of the name, which is the value of its `Copy` key. It is the same on every VM.
    #[must_use]
    pub fn hash64(&self) -> u64 {
        xxh3_64(self.0.as_bytes())
    }
}

const fn is_name_character(character: char) -> bool {
    character.is_ascii_lowercase()
        || character.is_ascii_digit()
        || character == '-'
        || character == '.'
}

impl std::fmt::Display for Name {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::new(&text).map_err(|error| serde::de::Error::custom(format!("name {error}")))
    }
}

macro_rules! name_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl From<&Name> for $name {
            fn from(name: &Name) -> Self {
                Self(name.hash64())
            }
        }
    };
}

name_key! {
    /// Key of a service: the hash of its name, which is the same on every VM.
    ServiceKey
}
name_key! {
    /// Key of a target: the hash of its name.
    TargetKey
}
name_key! {
    /// Key of a VM: the hash of its name.
    VmKey
}
name_key! {
    /// Key of an availability zone: the hash of its name.
    ZoneKey
}
