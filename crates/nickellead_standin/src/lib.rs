//! Stand-ins for platform, targets and callers, for tests, trials and benchmarks.
//!
//! They use the protocols of the real ones over real sockets, and can
//! inject faults.

mod effect;
mod load;
mod platform;
mod serve;
mod store;
mod target;
mod verdict;

pub use effect::{EffectRecord, read_effects};
pub use load::{CallerSettings, LoadReport, LoadSettings, run_load};
pub use platform::{PlatformFaults, PlatformSettings, StandinPlatform};
pub use store::{ObjectStore, StoreError};
pub use target::{SharedState, StandinTarget, TargetSettings};
pub use verdict::{Verdict, evaluate_run};
