//! Interfaces to the platform: its object store, orders to targets and header names.
//!
//! Implementations only translate between formats; all decisions are made in this crate and in
//! `nickellead_range`.

use std::time::Duration;

use nickellead_range::{
    MandateRecord, OrderOutcome, RangeMap, RangeOrder, Revision, StoreEra, Stored,
};
use thiserror::Error;

use crate::{Declarations, EvacuatedZones, ReportedLoad, TargetChange, TargetListing};

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// No response in time: a write may have taken effect, or may still do so.
    #[error("the store did not respond: {0}")]
    NoResponse(String),
    /// The connection ended before the response began: a write may have taken effect, or may still do
    /// so. The store may end a watch that waits in this way at any time.
    #[error("the store ended the connection without a response: {0}")]
    Disconnected(String),
    /// The store refused the call, which had no effect.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The store refused the call, which had no effect, because VMs make too many calls.
    #[error("the store accepts no more calls at present")]
    RateLimited,
    /// The object's revision differs from the expected one.
    #[error("the object has changed since it was read")]
    Conflict,
    /// The changes since the requested revision are no longer available.
    #[error("the requested revision was compacted: list again")]
    Compacted,
    /// The response can't be parsed.
    #[error("the store sent a malformed response: {0}")]
    Malformed(String),
}

/// A value read from the store, with the store's revision to watch from.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot<T> {
    /// The store's revision at the time of the read.
    pub as_of: Revision,
    /// The value as of that revision.
    pub value: T,
}

/// A client of the platform's object store.
#[allow(async_fn_in_trait, reason = "every caller runs on a single thread")]
pub trait StorePort: 'static {
    /// The newest era of the store that a response reported; an era ends when the store is restored
    /// from an older copy.
    ///
    /// A call that names a revision of another era than its response reports fails with
    /// [`StoreError::Compacted`], or with [`StoreError::Conflict`] if it is a write. Such a write
    /// may nevertheless have taken effect.
    fn era(&self) -> StoreEra;
    /// Number of responses with an invalid era.
    fn invalid_eras(&self) -> u64;
    /// Reads the declarations; `None` while there are none.
    async fn declarations(&self) -> Result<Snapshot<Option<Declarations>>, StoreError>;
    /// Waits for newer declarations.
    async fn watch_declarations(
        &self,
        from: Revision,
        timeout: Duration,
    ) -> Result<Snapshot<Option<Declarations>>, StoreError>;
    /// Lists all targets.
    async fn targets(&self) -> Result<Snapshot<TargetListing>, StoreError>;
    /// Waits for changes of targets.
    async fn watch_targets(
        &self,
        from: Revision,
        timeout: Duration,
    ) -> Result<Snapshot<Vec<TargetChange>>, StoreError>;
    /// Lists the availability zones that are evacuated.
    async fn evacuations(&self) -> Result<Snapshot<EvacuatedZones>, StoreError>;
    /// Waits for an evacuation to begin or end; returns whether one did.
    async fn watch_evacuations(
        &self,
        from: Revision,
        timeout: Duration,
    ) -> Result<Snapshot<bool>, StoreError>;
    /// Reads the range map; `None` while there is none.
    async fn ranges(&self) -> Result<Snapshot<Option<Stored<RangeMap>>>, StoreError>;
    /// Waits for a newer range map.
    async fn watch_ranges(
        &self,
        from: Revision,
        timeout: Duration,
    ) -> Result<Snapshot<Option<Stored<RangeMap>>>, StoreError>;
    /// Writes the range map if it has the expected revision; `None` means that it must not exist.
    async fn write_ranges(
        &self,
        expected: Option<Revision>,
        map: &RangeMap,
    ) -> Result<Revision, StoreError>;
    /// Reads the mandate (leader lease) from a cached copy, which may be seconds old.
    async fn mandate_cached(&self) -> Result<Option<Stored<MandateRecord>>, StoreError>;
    /// Reads the current mandate.
    async fn mandate(&self) -> Result<Option<Stored<MandateRecord>>, StoreError>;
    /// Writes the mandate if it has the expected revision; `None` means that it must not exist.
    async fn write_mandate(
        &self,
        expected: Option<Revision>,
        mandate: &MandateRecord,
    ) -> Result<Revision, StoreError>;
}

/// A target's reply to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderReply {
    /// Whether and how the order took effect.
    pub outcome: OrderOutcome,
    /// Whether the target signalled that it is leaving.
    pub leaving: bool,
}

impl From<OrderOutcome> for OrderReply {
    /// A reply without a leaving signal.
    fn from(outcome: OrderOutcome) -> Self {
        Self { outcome, leaving: false }
    }
}

/// A client that sends range orders to targets.
#[allow(async_fn_in_trait, reason = "every caller runs on a single thread")]
pub trait OrderPort: 'static {
    /// Sends one order and waits up to `timeout` for the reply; a grant is valid for `lease`.
    async fn send(&self, order: &RangeOrder, lease: Duration, timeout: Duration) -> OrderReply;
}

/// The header in which targets report their load.
#[derive(Clone, Copy, Debug)]
pub struct LoadHeader {
    /// Its name, in lower case.
    pub name: &'static str,
    /// Decodes its value; `None` for a value that can't be read.
    pub decode: fn(&[u8]) -> Option<ReportedLoad>,
}

/// Names of the headers that the request path uses, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Identity of the request, which callers choose and targets return.
    pub request_id: &'static str,
    /// Milliseconds until the sender stops waiting.
    pub deadline_ms: &'static str,
    /// Key of a request to a sharded service.
    pub shard_key: &'static str,
    /// Name of the workspace of a request; callers can't set it.
    pub workspace: &'static str,
    /// Identity of the only target that may run the request.
    pub expected_target: &'static str,
    /// Identity of a target that refuses a request for another target.
    pub answering_target: &'static str,
    /// Marks a response as made by a target.
    pub target_proof: &'static str,
    /// Marks a refusal of a request that did not run.
    pub not_run: &'static str,
    /// Marks each response of a target that is leaving.
    pub leaving: &'static str,
    /// Requests a second that a target accepts from all VMs together; sent on each response while
    /// limited.
    pub limit: &'static str,
    /// Load that a target reports about itself.
    pub load: LoadHeader,
}
