//! Accounting of the memory that requests and responses take on one VM.
//!
//! Callers and targets may read slowly, and what they have not read yet stays in the memory of the
//! VM. A [`ByteBudget`] bounds the sum. A new request is admitted only up to a part of the bound,
//! because the response to an earlier one may be larger than expected and must not be lost.

use std::cell::Cell;
use std::rc::Rc;

use thiserror::Error;

/// New requests are admitted up to the bound less the bound divided by this; the rest is for
/// responses that are larger than expected.
const COMPLETION_DIVISOR: usize = 4;
/// Room for one response is reserved up to the bound divided by this. A route whose responses are
/// larger would be refused for good otherwise.
const RESERVATION_DIVISOR: usize = 4;
/// Memory is short while more is held than the bound divided by this. Then whoever takes its bytes
/// slowly gives way, so that some room for other requests is always left.
const SHORTAGE_DIVISOR: usize = 2;
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

/// Bytes held on one thread, and their bound.
#[derive(Clone, Debug)]
pub struct ByteBudget(Rc<BudgetState>);

#[derive(Debug)]
struct BudgetState {
    /// `usize::MAX` if there is no bound.
    bound: usize,
    held: Cell<usize>,
}

impl ByteBudget {
    /// A budget of `bound` bytes; `None` for no bound.
    #[must_use]
    pub fn new(bound: Option<usize>) -> Self {
        let bound = bound.unwrap_or(usize::MAX);
        Self(Rc::new(BudgetState { bound, held: Cell::new(0) }))
    }

    /// Whether there is a bound.
    #[must_use]
    pub fn is_bounded(&self) -> bool {
        self.0.is_bounded()
    }

    /// The bound in bytes; `None` if there is none.
    #[must_use]
    pub fn bound(&self) -> Option<usize> {
        self.is_bounded().then_some(self.0.bound)
    }

    /// Bytes that are held now.
    #[must_use]
    pub fn held(&self) -> usize {
        self.0.held.get()
    }

    /// Bytes to reserve for a response of this expected size.
    #[must_use]
    pub fn reservation(&self, expected: &SizeEstimate) -> usize {
        expected.bytes().min(self.0.bound / RESERVATION_DIVISOR)
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
        let mut held = HeldBytes { budget: Rc::clone(&self.0), bytes: 0 };
        held.resize(bytes, BytePurpose::Admission)?;
        Ok(held)
    }
}

impl BudgetState {
    fn is_bounded(&self) -> bool {
        self.bound < usize::MAX
    }

    fn fits(&self, added: usize, purpose: BytePurpose) -> bool {
        let most = match purpose {
            BytePurpose::Admission => self.bound - self.bound / COMPLETION_DIVISOR,
            BytePurpose::Completion => self.bound,
        };
        self.held.get().checked_add(added).is_some_and(|sum| sum <= most)
    }
}

/// Bytes that count as held until this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: Rc<BudgetState>,
    bytes: usize,
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
        self.budget.held.get() > self.budget.bound / SHORTAGE_DIVISOR
    }

    /// Changes the number of held bytes; fewer always fit.
    ///
    /// # Errors
    /// [`NoRoom`] if the number is larger and does not fit; it stays as it was.
    pub fn resize(&mut self, bytes: usize, purpose: BytePurpose) -> Result<(), NoRoom> {
        let added = bytes.saturating_sub(self.bytes);
        if added > 0 && !self.budget.fits(added, purpose) {
            return Err(NoRoom);
        }
        self.budget.held.set(self.budget.held.get() - self.bytes + bytes);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.held.set(self.budget.held.get() - self.bytes);
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
