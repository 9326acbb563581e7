//! Accounting of the memory that requests and responses take on one VM.
//!
//! Callers and targets may read slowly, and what they have not read yet stays in the memory of the
//! VM. A [`ByteBudget`] bounds the sum. A new request is admitted only up to a part of the bound,
//! because the response to an earlier one may be larger than expected and must not be lost.
//! Connections have a part of their own.

use std::cell::Cell;
use std::rc::Rc;

use thiserror::Error;

use crate::memory_bounds::MemoryBounds;

/// New requests are admitted up to the bound less the bound divided by this; the rest is for
/// responses that are larger than expected.
const COMPLETION_DIVISOR: usize = 4;
/// Room for one response is reserved up to the bound divided by this. A route whose responses are
/// larger would be refused for good otherwise.
const RESERVATION_DIVISOR: usize = 4;
/// Memory is short while more is held than the bound divided by this. Then whoever takes its bytes
/// slowly gives way, so that some room for other requests is always left.
const SHORTAGE_DIVISOR: usize = 2;
/// A body is large if it has more bytes than the bound divided by this.
const LARGE_DIVISOR: usize = 16;
/// Large bodies together may take the bound divided by this. Small ones find room beside them.
const LARGE_SHARE_DIVISOR: usize = 2;
/// Expected size of a response of a route without responses so far, in bytes.
const INITIAL_RESPONSE_BYTES: usize = 64 * 1024;
/// Fraction, as a divisor, of the difference by which an expected size decays towards a smaller
/// one. Room for a large response is kept although most responses are small.
const SIZE_DECAY_DIVISOR: usize = 16;

/// The bytes do not fit into the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no room for more bytes")]
pub struct NoRoom;

/// What bytes are held for, which decides how much of the bound they may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BytePurpose {
    /// A request that can still be refused.
    Admission,
    /// A response to a request that has run.
    Completion,
}

/// Bytes held on one thread, and their bounds.
#[derive(Clone, Debug)]
pub struct ByteBudget(Rc<BudgetState>);

#[derive(Debug)]
struct BudgetState {
    bounds: MemoryBounds,
    /// Requests and responses without the single body.
    shared: Cell<usize>,
    /// Large bodies among them.
    large: Cell<usize>,
    /// The single body; 0 if there is none.
    single: Cell<usize>,
    connections: Cell<usize>,
}

impl ByteBudget {
    /// A budget of `bound` bytes for requests and responses, which connections don't reduce; `None` for no
    /// bound.
    #[must_use]
    pub fn new(bound: Option<usize>) -> Self {
        Self::with_bounds(bound.map_or(MemoryBounds::NONE, MemoryBounds::shared_only))
    }

    /// A budget with these bounds.
    #[must_use]
    pub fn with_bounds(bounds: MemoryBounds) -> Self {
        let [shared, large, single, connections] = [0; 4].map(Cell::new);
        Self(Rc::new(BudgetState { bounds, shared, large, single, connections }))
    }

    /// Whether there is a bound.
    #[must_use]
    pub fn is_bounded(&self) -> bool {
        self.0.is_bounded()
    }

    /// The bound on requests and responses in bytes; `None` if there is none.
    #[must_use]
    pub fn bound(&self) -> Option<usize> {
        self.is_bounded().then_some(self.0.bounds.shared)
    }

    /// Bytes of requests and responses that are held now.
    #[must_use]
    pub fn held(&self) -> usize {
        self.0.shared.get() + self.0.single.get()
    }

    /// Bytes of connections that are held now.
    #[must_use]
    pub fn held_by_connections(&self) -> usize {
        self.0.connections.get()
    }

    /// Bytes to reserve for a response of this expected size.
    #[must_use]
    pub fn reservation(&self, expected: &SizeEstimate) -> usize {
        expected.bytes().min(self.0.bounds.shared / RESERVATION_DIVISOR)
    }

    /// Whether a request that needs this many bytes would be admitted.
    #[must_use]
    pub fn has_room(&self, bytes: usize) -> bool {
        self.0.fits(bytes, BytePurpose::Admission)
    }

    /// Holds this many bytes for a request that can still be refused.
    ///
    /// # Errors
    /// [`NoRoom`] if the request should be refused.
    pub fn admit(&self, bytes: usize) -> Result<HeldBytes, NoRoom> {
        self.hold(bytes, ByteClass::Shared)
    }

    /// Holds this many bytes for the body of a request that can still be refused.
    ///
    /// Large bodies are admitted to a part of what small ones may fill. One that does not fit there may be
    /// the single body, if there is none and the rest of the memory has room.
    ///
    /// # Errors
    /// [`NoRoom`] if the request should be refused.
    pub fn admit_body(&self, bytes: usize) -> Result<HeldBytes, NoRoom> {
        self.hold(bytes, ByteClass::Body)
    }

    fn hold(&self, bytes: usize, class: ByteClass) -> Result<HeldBytes, NoRoom> {
        let mut held = HeldBytes { budget: Rc::clone(&self.0), bytes: 0, class };
        held.resize(bytes, BytePurpose::Admission)?;
        Ok(held)
    }

    /// Holds this many bytes for a connection.
    ///
    /// # Errors
    /// [`NoRoom`] if the connection should be closed.
    pub fn hold_connection(&self, bytes: usize) -> Result<HeldConnection, NoRoom> {
        let mut held = HeldConnection { budget: Rc::clone(&self.0), bytes: 0 };
        held.resize(bytes)?;
        Ok(held)
    }
}

impl BudgetState {
    fn is_bounded(&self) -> bool {
        self.bounds.shared < usize::MAX
    }

    /// Whether more bytes fit into the whole, less `reserve`.
    fn fits_total(&self, added: usize, reserve: usize) -> bool {
        let parts = [self.shared.get(), self.single.get(), self.connections.get()];
        let sum = parts.iter().try_fold(added, |sum, part| sum.checked_add(*part));
        sum.is_some_and(|sum| sum <= self.bounds.total.saturating_sub(reserve))
    }

    /// Whether more bytes of requests and responses fit.
    fn fits(&self, added: usize, purpose: BytePurpose) -> bool {
        let bound = self.bounds.shared;
        let most = match purpose {
            BytePurpose::Admission => bound - bound / COMPLETION_DIVISOR,
            BytePurpose::Completion => bound,
        };
        self.shared.get().checked_add(added).is_some_and(|sum| sum <= most)
            && self.fits_total(added, 0)
    }

    fn is_large(&self, bytes: usize) -> bool {
        bytes > self.bounds.shared / LARGE_DIVISOR
    }

    /// The class of a body that grows from `held` to `bytes`; `None` if it does not fit.
    fn place_body(&self, held: usize, bytes: usize) -> Option<ByteClass> {
        let added = bytes - held;
        let counted = if self.is_large(held) { held } else { 0 };
        let fits_large = !self.is_large(bytes)
            || self.large.get() - counted + bytes <= self.bounds.shared / LARGE_SHARE_DIVISOR;
        if fits_large && self.fits(added, BytePurpose::Admission) {
            return Some(ByteClass::Body);
        }
        let reserve = self.bounds.shared / LARGE_DIVISOR;
        let may_be_single = self.single.get() == 0 && bytes <= self.bounds.single;
        (may_be_single && self.fits_total(added, reserve)).then_some(ByteClass::Single)
    }

    /// Counts bytes of a class.
    fn add(&self, bytes: usize, class: ByteClass) {
        let part = if class == ByteClass::Single { &self.single } else { &self.shared };
        part.set(part.get() + bytes);
        if class == ByteClass::Body && self.is_large(bytes) {
            self.large.set(self.large.get() + bytes);
        }
    }

    /// Reverts [`BudgetState::add`].
    fn remove(&self, bytes: usize, class: ByteClass) {
        let part = if class == ByteClass::Single { &self.single } else { &self.shared };
        part.set(part.get() - bytes);
        if class == ByteClass::Body && self.is_large(bytes) {
            self.large.set(self.large.get() - bytes);
        }
    }
}

/// What held bytes count as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ByteClass {
    /// Requests and responses.
    Shared,
    /// A request's body beside others.
    Body,
    /// The only body that may use what other parts leave.
    Single,
}

/// Bytes that count as held until this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: Rc<BudgetState>,
    bytes: usize,
    class: ByteClass,
}

impl HeldBytes {
    /// Number of held bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether there is a bound.
    #[must_use]
    pub fn is_bounded(&self) -> bool {
        self.budget.is_bounded()
    }

    /// Whether so much is held that slow callers should give way.
    #[must_use]
    pub fn is_memory_short(&self) -> bool {
        self.budget.shared.get() > self.budget.bounds.shared / SHORTAGE_DIVISOR
    }

    /// Changes the number of held bytes; fewer always fit.
    ///
    /// # Errors
    /// [`NoRoom`] if the number is larger and does not fit; it stays as it was.
    pub fn resize(&mut self, bytes: usize, purpose: BytePurpose) -> Result<(), NoRoom> {
        let class = match bytes > self.bytes {
            true => self.grown_class(bytes, purpose).ok_or(NoRoom)?,
            false => self.class,
        };
        self.budget.remove(self.bytes, self.class);
        (self.bytes, self.class) = (bytes, class);
        self.budget.add(self.bytes, self.class);
        Ok(())
    }

    /// What more bytes count as; `None` if they do not fit.
    fn grown_class(&self, bytes: usize, purpose: BytePurpose) -> Option<ByteClass> {
        let (budget, added) = (&self.budget, bytes - self.bytes);
        let reserve = budget.bounds.shared / LARGE_DIVISOR;
        match self.class {
            ByteClass::Shared => budget.fits(added, purpose).then_some(self.class),
            ByteClass::Body => budget.place_body(self.bytes, bytes),
            ByteClass::Single => (bytes <= budget.bounds.single
                && budget.fits_total(added, reserve))
            .then_some(self.class),
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.remove(self.bytes, self.class);
    }
}

/// Bytes that a connection takes until this is dropped.
#[derive(Debug)]
pub struct HeldConnection {
    budget: Rc<BudgetState>,
    bytes: usize,
}

impl HeldConnection {
    /// Changes the number of bytes; fewer always fit.
    ///
    /// # Errors
    /// [`NoRoom`] if the number is larger and does not fit; it stays as it was.
    pub fn resize(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let budget = &self.budget;
        let others = budget.connections.get() - self.bytes;
        if let Some(added) = bytes.checked_sub(self.bytes) {
            let is_within = bytes <= budget.bounds.connections.saturating_sub(others);
            if !is_within || !budget.fits_total(added, 0) {
                return Err(NoRoom);
            }
        }
        budget.connections.set(others + bytes);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for HeldConnection {
    fn drop(&mut self) {
        let connections = &self.budget.connections;
        connections.set(connections.get() - self.bytes);
    }
}

/// Bytes of the requests in flight to one target, within a bound.
#[derive(Debug)]
pub struct InFlightBytes {
    bound: usize,
    bytes: Cell<usize>,
}

impl InFlightBytes {
    /// No requests in flight, with a bound in bytes.
    #[must_use]
    pub const fn new(bound: usize) -> Self {
        Self { bound, bytes: Cell::new(0) }
    }

    /// Whether one more request of this size may be sent. One that is larger than the bound is
    /// sent alone.
    #[must_use]
    pub fn has_room(&self, bytes: usize) -> bool {
        let in_flight = self.bytes.get();
        in_flight == 0 || in_flight.saturating_add(bytes) <= self.bound
    }

    /// Records that a request of this size is sent.
    pub fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get().saturating_add(bytes));
    }

    /// Records that a request of this size has ended.
    pub fn remove(&self, bytes: usize) {
        self.bytes.set(self.bytes.get().saturating_sub(bytes));
    }
}

/// Expected size of a route's responses, learned from earlier ones.
#[derive(Debug)]
pub struct SizeEstimate {
    bytes: Cell<usize>,
}

impl Default for SizeEstimate {
    fn default() -> Self {
        Self { bytes: Cell::new(INITIAL_RESPONSE_BYTES) }
    }
}

impl SizeEstimate {
    /// Expected size of the next response in bytes, rather too large than too small.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Records the size of a response.
    pub fn record(&self, bytes: usize) {
        let known = self.bytes.get();
        let decay = known.saturating_sub(bytes).div_ceil(SIZE_DECAY_DIVISOR);
        self.bytes.set(bytes.max(known - decay));
    }
}
