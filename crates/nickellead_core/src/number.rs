//! Counters that only grow: epochs, terms, versions and their kin.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize, Encode, Decode,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The first value, before anything was counted.
            pub const ZERO: Self = Self(0);

            /// The value after this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

counter! {
    /// Fencing number of one shard's ownership.
    Epoch
}
counter! {
    /// Number of a zone's mandate; each new coordinator takes the next one.
    Term
}
counter! {
    /// Version of a platform object or of a published table.
    Version
}
counter! {
    /// Value a target issues with each answer, returned to it by the next heartbeat.
    Nonce
}
counter! {
    /// Number of one life of a process; drawn at random when it starts.
    Incarnation
}
counter! {
    /// Number of one order to a target, within a term and an incarnation.
    Sequence
}
