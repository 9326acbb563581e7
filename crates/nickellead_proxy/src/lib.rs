//! The request path over sockets: from a caller's request to the owning target and back.
//!
//! One [`ProxyWorker`] runs on one thread. It reads its own routing table,
//! which updates reach over a bounded ring, and shares nothing with the other
//! workers but counters.

mod answer;
mod answer_body;
mod caller_stream;
mod deadline;
mod exchange;
mod headers;
mod incoming;
mod metrics;
mod serve;
mod transport;
mod worker;

pub use answer::error_response;
pub use exchange::REFUSAL_HEADER;
pub use headers::{
    DEADLINE_HEADER, EPOCH_HEADER, ERROR_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER, SHARD_HEADER,
    is_connection_header,
};
pub use metrics::ProxyMetrics;
pub use serve::{ListenError, ServeState, bind_listener, serve_http};
pub use worker::{ProxyLimits, ProxyWorker, WorkerUpdate};
