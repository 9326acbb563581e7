//! HTTP request path from callers to the targets that own the keys, and back.
//!
//! Each [`ProxyWorker`] runs on one thread with its own routing table, which is updated through a
//! bounded ring. Workers share only counters.

mod arrival;
mod blank_line;
mod caller_body;
mod caller_listener;
mod caller_stream;
mod connection_activity;
mod connection_end;
mod deadline;
mod error_response;
mod exchange;
mod headers;
mod held_response;
mod http2;
mod incoming;
mod metrics;
mod request_body;
mod response_body;
mod serve;
mod transport;
mod worker;

pub use arrival::arrival_of;
pub use error_response::error_response;
pub use exchange::REFUSAL_HEADER;
pub use headers::{
    DEADLINE_HEADER, EPOCH_HEADER, ERROR_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER, SHARD_HEADER,
    is_connection_header,
};
pub use held_response::hold_until_sent;
pub use metrics::ProxyMetrics;
pub use request_body::{RequestBody, read_body};
pub use serve::{ListenError, ServeBounds, ServeState, bind_listener, serve_http};
pub use worker::{ProxyLimits, ProxyWorker, WorkerUpdate};
