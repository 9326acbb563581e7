//! Identifiers, epochs, keys, time and error kinds that all other crates share.
//!
//! The crate performs no input or output, reads no clock and starts no threads.

mod error;
mod ident;
mod key;
mod number;
mod rules;
mod time;

pub use error::{ErrorKind, ErrorLevel, ErrorResponse, OutcomeClass};
pub use ident::{Name, NameError, ServiceKey, TargetKey, VmKey, ZoneKey};
pub use key::{MAX_KEY_BYTES, ShardCount, ShardIndex, shard_of};
pub use number::{Epoch, Incarnation, Nonce, Sequence, Term, Version};
pub use rules::is_rule_disabled;
pub use time::{DriftBound, Timestamp};

/// Types that most modules use.
pub mod prelude {
    pub use crate::{
        Epoch, ErrorKind, Incarnation, Name, Nonce, Sequence, ServiceKey, ShardIndex, TargetKey,
        Term, Timestamp, Version, VmKey, ZoneKey,
    };
}
