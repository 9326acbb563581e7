//! Exchange of reports about requests that make targets fall.
//!
//! Each VM tells its upstream what it knows and hears what the upstream knows, by a call that waits until
//! there is something new on either side. It does not depend on the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nickellead_peer::PeerClient;

use super::messages::{CrashExchange, RELAY_PATH, RelayRequest, RelayResponse};
use super::{UpdateRelay, UpdateUpstream};
use crate::waiting::wait_for;

/// How long an exchange waits until there is something new.
const EXCHANGE_WAIT: Duration = Duration::from_secs(10);
/// How long the response may take beyond that.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);
/// Delay after a failed exchange. Polls for updates detect a lost upstream.
const RETRY_DELAY: Duration = Duration::from_millis(250);

type ExchangeClient = PeerClient<RelayRequest, RelayResponse>;

/// What two VMs know of each other's reports.
#[derive(Clone, Copy, Debug, Default)]
struct ExchangeProgress {
    /// Incarnation of the upstream's process, and the number of its last change that this VM has heard.
    heard: (u64, u64),
    /// Number of this VM's last change that the upstream has been told.
    told: u64,
}

impl UpdateRelay {
    /// Exchanges reports with the upstream, for as long as the runtime runs.
    pub(crate) async fn exchange_crash_reports(self: Rc<Self>) {
        loop {
            let address = wait_for(&self.changed, || self.report_source()).await;
            tokio::select! {
                () = self.exchange_with(address) => {}
                () = self.wait_until(|| self.report_source() != Some(address)) => {}
            }
        }
    }

    /// The VM to exchange reports with. While the store is away, VMs have no upstream, and the last one
    /// stays.
    fn report_source(&self) -> Option<SocketAddr> {
        match self.upstream.get() {
            UpdateUpstream::Vm(address) => Some(address),
            _ if self.holds_mandate.get() => None,
            UpdateUpstream::Store | UpdateUpstream::Seeking => self.last_upstream.get(),
        }
    }

    /// Exchanges reports with one VM; never returns.
    async fn exchange_with(&self, address: SocketAddr) {
        let mut client = ExchangeClient::new(address, RELAY_PATH);
        let mut progress = ExchangeProgress::default();
        let mut changed = self.quarantine.subscribe();
        loop {
            changed.mark_unchanged();
            let (reports, last) = self.quarantine.reports_since(progress.told);
            let has_news = !reports.is_empty();
            let exchange = CrashExchange {
                incarnation: progress.heard.0,
                known: progress.heard.1,
                waits: !has_news,
                reports,
            };
            let request = RelayRequest::Crashes(exchange);
            let responded = tokio::select! {
                responded = client.call(&request, EXCHANGE_WAIT + RESPONSE_MARGIN) => responded,
                _ = changed.changed(), if !has_news => continue,
            };
            let Ok(RelayResponse::Crashes(heard)) = responded else {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            progress.heard = (heard.incarnation, heard.known);
            progress.told = self.quarantine.merge(heard.reports).known_after(last);
        }
    }

    /// Responds to a VM that tells what it knows, once there is something that it does not know.
    pub(super) async fn respond_crashes(&self, exchange: CrashExchange) -> RelayResponse {
        let incarnation = self.cluster.incarnation();
        let known = if exchange.incarnation == incarnation { exchange.known } else { 0 };
        let mut changed = self.quarantine.subscribe();
        let known = self.quarantine.merge(exchange.reports).known_after(known);
        let newer = async {
            loop {
                let (reports, last) = self.quarantine.reports_since(known);
                if !reports.is_empty() || !exchange.waits || changed.changed().await.is_err() {
                    return (reports, last);
                }
            }
        };
        let waited = tokio::time::timeout(EXCHANGE_WAIT, newer).await;
        let (reports, last) = waited.unwrap_or_else(|_| (Vec::new(), known));
        RelayResponse::Crashes(CrashExchange { incarnation, known: last, waits: false, reports })
    }
}
