//! The safety rules by name, so that a test build can take one out.
//!
//! With the feature `mutations`, the environment variable
//! `NICKELLEAD_MUTATION` names one rule that is not enforced; `tools/mutations`
//! expects a test to fail for each. A release build with the feature does not
//! compile, and without it the check is a constant.

#[cfg(all(feature = "mutations", not(debug_assertions)))]
compile_error!("feature mutations takes safety rules out: it is for test builds only");

/// Whether the rule of this name is taken out in this run.
#[cfg(feature = "mutations")]
#[must_use]
pub fn is_rule_disabled(name: &str) -> bool {
    use std::sync::LazyLock;
    static TAKEN_OUT: LazyLock<String> =
        LazyLock::new(|| std::env::var("NICKELLEAD_MUTATION").unwrap_or_default());
    *TAKEN_OUT == name
}

/// Whether the rule of this name is taken out in this run: never.
#[cfg(not(feature = "mutations"))]
#[must_use]
pub const fn is_rule_disabled(_name: &str) -> bool {
    false
}

/// `true` unless this test run takes the named safety rule out.
#[macro_export]
macro_rules! enforced {
    ($name:literal) => {
        !$crate::is_rule_disabled($name)
    };
}
