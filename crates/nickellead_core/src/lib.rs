//! Identifiers, epochs, keys, time and the closed list of error kinds.
//!
//! Every other crate builds on these small `Copy` types. Nothing here does
//! input or output, reads a clock or starts a thread.

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

/// The types that nearly every module needs.
pub mod prelude {
    pub use crate::{
        Epoch, ErrorKind, Incarnation, Name, Nonce, Sequence, ServiceKey, ShardIndex, TargetKey,
        Term, Timestamp, Version, VmKey, ZoneKey,
    };
}
