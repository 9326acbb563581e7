//! Answers of the router itself.

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use nickellead_core::ErrorKind;

use crate::headers::{ERROR_HEADER, OUTCOME_HEADER};

/// The answer that the table gives for an error kind, sent at once.
#[must_use]
pub fn error_response(kind: ErrorKind) -> Response<BoxBody> {
    let answer = kind.response();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::build(status);
    builder
        .insert_header((ERROR_HEADER, answer.code))
        .insert_header((OUTCOME_HEADER, answer.outcome.as_str()))
        .insert_header(("content-type", "text/plain; charset=utf-8"));
    if let Some(millis) = answer.retry_after_ms {
        // The header counts whole seconds; the exact time stands beside it.
        builder
            .insert_header(("retry-after", millis.div_ceil(1_000).to_string()))
            .insert_header(("nickellead-retry-after-ms", millis.to_string()));
    }
    builder.body(format!("{}: {}\n", answer.code, answer.help)).map_into_boxed_body()
}
