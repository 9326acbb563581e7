//! The edges of the process: the store of objects, orders to targets, names of headers.
//!
//! What implements them only translates; every decision stays in this crate
//! and in `nickellead_range`.

use std::time::Duration;

use nickellead_range::{
    MandateRecord, OrderOutcome, RangeMap, RangeOrder, Revision, StoreEra, Stored,
};
use thiserror::Error;

use crate::{Declarations, EvacuatedZones, TargetChange, TargetListing};

/// Why a call of the store gave nothing.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// No answer in time: a write may have taken effect, or may yet.
    #[error("the store did not answer: {0}")]
    NoResponse(String),
    /// The store refused the call; nothing was done.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The object has another revision than the call expected.
    #[error("the object has changed since it was read")]
    Conflict,
    /// The changes since the asked revision are not kept any more.
    #[error("the changes since then are forgotten: list anew")]
    Compacted,
    /// The answer can't be read.
    #[error("the store's answer can't be read: {0}")]
    Malformed(String),
}

/// What was read, with the store's revision to watch from.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot<T> {
    /// The store's revision when it was read.
    pub as_of: Revision,
    /// What was read.
    pub value: T,
}

/// The store of the platform.
#[allow(async_fn_in_trait, reason = "all parts of a process run on one thread each")]
pub trait StorePort: 'static {
    /// The newest era of the store that an answer told.
    ///
    /// Whatever names a revision of another era than the answer to it tells gets [`StoreError::Forgotten`], or
    /// [`StoreError::Conflict`] if it writes, though the write may have been done by chance.
    fn era(&self) -> StoreEra;
    /// Answers whose word of the era was odd.
    fn invalid_eras(&self) -> u64;
    /// Reads the declarations; `None` while there are none.
    async fn declarations(&self) -> Result<Snapshot<Option<Declarations>>, StoreError>;
    /// Waits for newer declarations.
    async fn watch_declarations(
        &self,
        from: Revision,
        wait: Duration,
    ) -> Result<Snapshot<Option<Declarations>>, StoreError>;
    /// Lists all targets.
    async fn targets(&self) -> Result<Snapshot<TargetListing>, StoreError>;
    /// Waits for changes of targets.
    async fn watch_targets(
        &self,
        from: Revision,
        wait: Duration,
    ) -> Result<Snapshot<Vec<TargetChange>>, StoreError>;
    /// Lists the availability zones that are evacuated.
    async fn evacuations(&self) -> Result<Snapshot<EvacuatedZones>, StoreError>;
    /// Waits for an evacuation to begin or end; tells whether one did.
    async fn watch_evacuations(
        &self,
        from: Revision,
        wait: Duration,
    ) -> Result<Snapshot<bool>, StoreError>;
    /// Reads the map of ranges; `None` while there is none.
    async fn ranges(&self) -> Result<Snapshot<Option<Stored<RangeMap>>>, StoreError>;
    /// Waits for a newer map.
    async fn watch_ranges(
        &self,
        from: Revision,
        wait: Duration,
    ) -> Result<Snapshot<Option<Stored<RangeMap>>>, StoreError>;
    /// Writes the map if it has the expected revision; `None` means that it must not exist.
    async fn write_ranges(
        &self,
        expected: Option<Revision>,
        map: &RangeMap,
    ) -> Result<Revision, StoreError>;
    /// Reads the mandate from a copy that may be seconds old.
    async fn mandate_cached(&self) -> Result<Option<Stored<MandateRecord>>, StoreError>;
    /// Reads the mandate as it is.
    async fn mandate(&self) -> Result<Option<Stored<MandateRecord>>, StoreError>;
    /// Writes the mandate if it has the expected revision; `None` means that it must not exist.
    async fn write_mandate(
        &self,
        expected: Option<Revision>,
        mandate: &MandateRecord,
    ) -> Result<Revision, StoreError>;
}

/// What a target made of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderReply {
    /// What became of the order.
    pub outcome: OrderOutcome,
    /// Whether the answer says that the target leaves.
    pub leaving: bool,
}

impl From<OrderOutcome> for OrderReply {
    /// The reply of a target that says nothing of itself.
    fn from(outcome: OrderOutcome) -> Self {
        Self { outcome, leaving: false }
    }
}

/// Orders about ranges to targets.
#[allow(async_fn_in_trait, reason = "all parts of a process run on one thread each")]
pub trait OrderPort: 'static {
    /// Sends one order and waits for its answer, `wait` at most.
    async fn send(&self, order: &RangeOrder, hold: Duration, wait: Duration) -> OrderReply;
}

/// Names of the headers that the request path reads and writes, in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identity of the request; callers choose it, targets return it.
    pub request_id: &'static str,
    /// Milliseconds that the caller, or this VM, goes on waiting.
    pub deadline_ms: &'static str,
    /// Key of a request to a service that is divided by key.
    pub shard_key: &'static str,
    /// Identity of the only target that may run the request.
    pub expected_target: &'static str,
    /// Identity of the target that refuses a request meant for another one.
    pub answering_target: &'static str,
    /// Marks an answer as made by a target.
    pub target_proof: &'static str,
    /// Marks a refusal by a target that did not run the request.
    pub not_run: &'static str,
    /// Marks each answer of a target that leaves.
    pub leaving: &'static str,
    /// Requests a second that a target takes from all VMs together, on each of its answers meanwhile.
    pub limit: &'static str,
}
