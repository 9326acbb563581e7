//! Responses with errors of the router itself.

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use nickellead_core::ErrorKind;

use crate::headers::{ERROR_HEADER, OUTCOME_HEADER};

/// Builds the response for an error kind from the table of errors.
#[must_use]
pub fn error_response(kind: ErrorKind) -> Response<BoxBody> {
    let error = kind.response();
    let status = StatusCode::from_u16(error.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::build(status);
    builder
        .insert_header((ERROR_HEADER, error.code))
        .insert_header((OUTCOME_HEADER, error.outcome.as_str()))
        .insert_header(("content-type", "text/plain; charset=utf-8"));
    if let Some(millis) = error.retry_after_ms {
        // `retry-after` has a resolution of one second, so the exact time has its own header.
        builder
            .insert_header(("retry-after", millis.div_ceil(1_000).to_string()))
            .insert_header(("nickellead-retry-after-ms", millis.to_string()));
    }
    builder.body(format!("{}: {}\n", error.code, error.help)).map_into_boxed_body()
}
