//! JSON deserialization with errors that name the field.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Validation error of one field.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("field {field}: {reason}")]
pub struct FieldError {
    /// Path of the field, such as `operations[0].deadline_ms`.
    pub field: String,
    /// What is invalid and how to correct it.
    pub reason: String,
}

impl FieldError {
    /// Creates an error for the field with this path.
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { field: field.into(), reason: reason.into() }
    }
}

/// Deserializes a whole JSON text.
///
/// # Errors
/// The first field that does not match the type, or `.` for trailing text.
pub fn read_json<T: DeserializeOwned>(text: &[u8]) -> Result<T, FieldError> {
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let value = serde_path_to_error::deserialize(&mut deserializer).map_err(to_field_error)?;
    deserializer.end().map_err(|error| FieldError::new(".", error.to_string()))?;
    Ok(value)
}

fn to_field_error(error: serde_path_to_error::Error<serde_json::Error>) -> FieldError {
    FieldError::new(error.path().to_string(), error.inner().to_string())
}
