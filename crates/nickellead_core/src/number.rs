//! Numbers that identify epochs, terms, versions, incarnations and orders.

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
            /// Value before the first one that is assigned.
            pub const ZERO: Self = Self(0);

            /// Next higher value.
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
    /// Fencing token of the ownership of a shard.
    Epoch
}
counter! {
    /// Term of a zone's mandate (leader lease). Each new coordinator takes the next term.
    Term
}
counter! {
    /// Version of a platform object or of a published table.
    Version
}
counter! {
    /// Value that a target sends with each response and that the next heartbeat returns to it.
    Nonce
}
counter! {
    /// Identifies one run of a process; drawn at random when the process starts.
    Incarnation
}
counter! {
    /// Number of an order to a target, within a term and an incarnation.
    Sequence
}
