//! The safety rules by name, so that a test build can take one out.
//!
//! `tools/mutations` builds the tests with `--cfg mutation="NAME"` and expects
//! a test to fail. A release build with a mutation does not compile.

#[cfg(all(not(debug_assertions), mutation))]
compile_error!("a safety rule is taken out: build without --cfg mutation");

/// `true` unless this build takes the named safety rule out.
macro_rules! enforced {
    ($name:literal) => {
        !cfg!(mutation = $name)
    };
}

pub(crate) use enforced;
