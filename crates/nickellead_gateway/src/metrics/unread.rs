//! Metrics and events of requests that this VM reads late.

use std::time::Duration;

use nickellead_event::{EventName, log_event};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::log_sample::is_logged;

/// Upper bounds of the buckets, in seconds.
const UNREAD_BUCKETS: [f64; 8] = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0];
/// A request of the logged sample that lay unread for longer is logged.
const MAX_UNLOGGED: Duration = Duration::from_millis(100);
/// Each request that lay unread for longer is logged.
const MAX_SAMPLED: Duration = Duration::from_millis(500);

/// Who sent a request to this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestSender {
    Caller,
    Vm,
}

impl RequestSender {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Vm => "vm",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SenderLabel {
    from: &'static str,
}

/// Metrics of requests and messages by how long they were unread.
#[derive(Clone, Debug)]
pub(crate) struct UnreadMetrics {
    times: Family<SenderLabel, Histogram, fn() -> Histogram>,
}

impl UnreadMetrics {
    /// Creates and registers all metrics.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let new = || Histogram::new(UNREAD_BUCKETS);
        let times = Family::new_with_constructor(new as fn() -> Histogram);
        let help = "Time for which requests of callers lay unread in this VM's sockets, and for which messages \
             of other VMs were under way longer than usual";
        registry.register("unread_seconds", help, times.clone());
        Self { times }
    }

    /// Records how long a request or a message was unread.
    pub(crate) fn record(&self, sender: RequestSender, unread: Duration) {
        let label = SenderLabel { from: sender.as_str() };
        self.times.get_or_create(&label).observe(unread.as_secs_f64());
    }

    /// Records how long a request was unread, and logs it if it was for long.
    pub(crate) fn record_request(&self, sender: RequestSender, id: &[u8], unread: Duration) {
        self.record(sender, unread);
        if unread > MAX_SAMPLED || unread > MAX_UNLOGGED && is_logged(id) {
            let pairs: [(&str, &dyn std::fmt::Display); 3] = [
                ("request", &String::from_utf8_lossy(id)),
                ("from", &sender.as_str()),
                ("unread_ms", &unread.as_millis()),
            ];
            log_event(EventName::RequestReadLate, &pairs);
        }
    }
}
