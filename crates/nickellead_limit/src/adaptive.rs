//! One VM's share of a target, found by trying.

/// Least limit: one request may always be tried.
const LEAST: f64 = 1.0;
/// What is left of the limit after a refusal.
const SHRINK: f64 = 0.7;
/// Growth for a whole limit's worth of answers.
const GROWTH: f64 = 0.35;
/// Part of the limit that must be in use for an answer to say that more would fit.
const USED_PART: f64 = 0.7;

/// A limit on requests under way that follows what the target takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdaptiveLimit {
    limit: f64,
    most: f64,
}

impl AdaptiveLimit {
    /// Starts at `start` requests and never allows more than `most`.
    #[must_use]
    pub fn new(start: u32, most: u32) -> Self {
        let most = f64::from(most.max(1));
        Self { limit: f64::from(start.max(1)).min(most), most }
    }

    /// Whether one more request may be sent while `running` are under way.
    #[must_use]
    pub fn has_room(&self, running: u32) -> bool {
        f64::from(running) + 1.0 <= self.limit + 1e-9
    }

    /// The target answered while `running` requests, this one included, were under way.
    pub fn note_answer(&mut self, running: u32) {
        if f64::from(running) >= self.limit * USED_PART {
            self.limit = (self.limit + GROWTH / self.limit).min(self.most);
        }
    }

    /// The target refused a request, or reset its connection.
    pub fn note_refusal(&mut self) {
        self.limit = (self.limit * SHRINK).max(LEAST);
    }
}
