//! Resource objects: their types, their checks and their errors.
//!
//! An object is `{kind, name, version, spec, status}`. Operators and their
//! automation write specs; the system writes statuses; both are read the same
//! way. Every check of a spec names the field that is wrong and how to mend it.

mod config;
mod object;
mod read;
mod service;
mod target;

pub use config::{DeclaredConfig, DeclaredService, DeclaredTarget};
pub use object::{ObjectKind, ResourceObject};
pub use read::{FieldError, read_json};
pub use service::{
    FencingMode, IsolationPolicy, KeySource, OperationSpec, PolicyWeights, RepeatRule, ServiceSpec,
    UrgencyClass, zone_range,
};
pub use target::{TargetSpec, TargetState};
