//! Names of declared things, and the small `Copy` keys made from them.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Longest name of an object, in bytes.
const NAME_LENGTH_MAX: usize = 63;

/// A checked name: lower-case letters, digits, `-` and `.`, at most 63 bytes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Encode, Decode)]
#[serde(transparent)]
pub struct Name(String);

/// Why a text is no [`Name`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NameError {
    /// The text has no character.
    #[error("is empty: give it 1 to 63 characters")]
    Empty,
    /// The text is longer than 63 bytes.
    #[error("has {0} bytes: shorten it to at most 63")]
    TooLong(usize),
    /// The text holds a character that names may not hold.
    #[error("holds {0:?}: use lower-case letters, digits, '-' and '.' only")]
    BadCharacter(char),
}

impl Name {
    /// Checks a text and makes a name of it.
    ///
    /// # Errors
    /// Returns a [`NameError`] that says which rule the text breaks.
    pub fn new(text: &str) -> Result<Self, NameError> {
        if text.is_empty() {
            return Err(NameError::Empty);
        }
        if text.len() > NAME_LENGTH_MAX {
            return Err(NameError::TooLong(text.len()));
        }
        match text.chars().find(|character| !is_name_character(*character)) {
            Some(character) => Err(NameError::BadCharacter(character)),
            None => Ok(Self(text.to_owned())),
        }
    }

    /// The name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The stable 64-bit hash that the `Copy` keys are made of.
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
    /// A service, by the hash of its name: the same on every VM, so it may go on the wire.
    ServiceKey
}
name_key! {
    /// A target, by the hash of its name.
    TargetKey
}
name_key! {
    /// A VM, by the hash of its name.
    VmKey
}
name_key! {
    /// An availability zone, by the hash of its name.
    ZoneKey
}
