//! Named safety rules that a mutation test can disable.
//!
//! With the feature `mutations`, the environment variable `NICKELLEAD_MUTATION` names one rule that
//! is not enforced, and `tools/mutations` checks that some test fails for each rule. Without the
//! feature the check is a constant. The feature does not compile in release builds.

#[cfg(all(feature = "mutations", not(debug_assertions)))]
compile_error!("feature mutations disables safety rules: it is for test builds only");

/// Whether this run disables the named rule.
#[cfg(feature = "mutations")]
#[must_use]
pub fn is_rule_disabled(name: &str) -> bool {
    use std::sync::LazyLock;
    static DISABLED_RULE: LazyLock<String> =
        LazyLock::new(|| std::env::var("NICKELLEAD_MUTATION").unwrap_or_default());
    *DISABLED_RULE == name
}

/// Whether this run disables the named rule; always `false` without the feature `mutations`.
#[cfg(not(feature = "mutations"))]
#[must_use]
pub const fn is_rule_disabled(_name: &str) -> bool {
    false
}

/// Evaluates to `true` unless this test run disables the named safety rule.
#[macro_export]
macro_rules! enforced {
    ($name:literal) => {
        !$crate::is_rule_disabled($name)
    };
}
