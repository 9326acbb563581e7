//! Types and validation of resource objects.
//!
//! An object is `{kind, name, version, spec, status}`. Operators and their automation write specs,
//! and the system writes statuses. Validation errors name the invalid field and how to correct it.

mod config;
mod json;
mod object;
mod service;
mod target;

pub use config::{DeclaredConfig, DeclaredService, DeclaredTarget};
pub use json::{FieldError, read_json};
pub use object::{ObjectKind, ResourceObject};
pub use service::{
    FencingMode, IsolationPolicy, KeySource, OperationSpec, PolicyWeights, RepeatRule, ServiceSpec,
    UrgencyClass, zone_range,
};
pub use target::{TargetSpec, TargetState};
