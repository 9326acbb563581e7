//! Reading JSON with errors that name the field.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A field that is wrong, and why.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("field {field}: {reason}")]
pub struct FieldError {
    /// Path of the field, such as `operations[0].deadline_ms`.
    pub field: String,
    /// What is wrong and how to mend it.
    pub reason: String,
}

impl FieldError {
    /// Makes an error of its two parts.
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { field: field.into(), reason: reason.into() }
    }
}

/// Reads a JSON text into a type.
///
/// # Errors
/// Returns the first field that does not fit the type.
pub fn read_json<T: DeserializeOwned>(text: &[u8]) -> Result<T, FieldError> {
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let value = serde_path_to_error::deserialize(&mut deserializer).map_err(to_field_error)?;
    deserializer.end().map_err(|error| FieldError::new(".", error.to_string()))?;
    Ok(value)
}

fn to_field_error(error: serde_path_to_error::Error<serde_json::Error>) -> FieldError {
    FieldError::new(error.path().to_string(), error.inner().to_string())
}
