//! A target: it holds blocks for a while and refuses lower fences.

use nickellead_range::{OrderKind, OrderOutcome, RangeOrder, TargetInstance};

use super::{BLOCK_KEYS, BLOCKS, holder};

#[derive(Clone, Copy, Default)]
struct Block {
    seen: u64,
    /// Fence and end of the hold.
    held: Option<(u64, u64)>,
    highest_held: u64,
}

/// One target.
pub struct SimulatedTarget {
    place: usize,
    life: u64,
    back_at: u64,
    /// Its clock for holds runs this many percent slow.
    slow_percent: u64,
    blocks: [Block; BLOCKS],
    /// Fences of earlier lives count for the judge as well.
    past: [u64; BLOCKS],
}

/// Place of the target that an order is sent to.
pub fn place_of(holder: &TargetInstance) -> usize {
    holder.address.parse().unwrap()
}

/// Blocks of an order.
pub fn blocks(order: &RangeOrder) -> std::ops::Range<usize> {
    let first = u32::from(order.first);
    let after = u32::from(order.last) + 1;
    assert_eq!((first % BLOCK_KEYS, after % BLOCK_KEYS), (0, 0), "{order:?}");
    (first / BLOCK_KEYS) as usize..(after / BLOCK_KEYS) as usize
}

impl SimulatedTarget {
    pub fn new(place: usize, rng: &mut fastrand::Rng) -> Self {
        Self {
            place,
            life: 1,
            back_at: 0,
            slow_percent: rng.u64(0..=2),
            blocks: [Block::default(); BLOCKS],
            past: [0; BLOCKS],
        }
    }

    /// Ends this life; the next one starts at `back_at`.
    pub fn crash(&mut self, life: u64, back_at: u64) {
        for (past, block) in self.past.iter_mut().zip(&self.blocks) {
            *past = (*past).max(block.highest_held);
        }
        self.life = life;
        self.back_at = back_at;
        self.blocks = [Block::default(); BLOCKS];
    }

    pub fn is_up(&self, now: u64) -> bool {
        now >= self.back_at
    }

    /// Whether it takes connections.
    pub fn answers(&self, now: u64) -> bool {
        self.is_up(now)
    }

    pub fn holder(&self) -> TargetInstance {
        holder(self.place, self.life)
    }

    /// The fence under which a block is held now.
    pub fn holds(&self, block: usize, now: u64) -> Option<u64> {
        self.blocks[block].held.filter(|(_, until)| *until > now).map(|(fence, _)| fence)
    }

    /// The highest fence under which a block was ever held, in any life.
    pub fn highest_held(&self, block: usize) -> u64 {
        self.blocks[block].highest_held.max(self.past[block])
    }

    pub fn carry_out(&mut self, order: &RangeOrder, hold: u64, now: u64) -> OrderOutcome {
        if !self.is_up(now) {
            return OrderOutcome::Unanswered;
        }
        if order.target != self.holder() {
            return OrderOutcome::Ended;
        }
        let blocks = &mut self.blocks[blocks(order)];
        match order.kind {
            OrderKind::Release => {
                for block in blocks {
                    block.held = None;
                    block.seen = block.seen.max(order.fence);
                }
                OrderOutcome::Done(Some("token".to_owned()))
            }
            OrderKind::Grant(_) => {
                if blocks.iter().any(|block| block.seen > order.fence) {
                    return OrderOutcome::Outranked;
                }
                let until = now + hold * (100 + self.slow_percent) / 100;
                for block in blocks {
                    block.seen = order.fence;
                    block.held = Some((order.fence, until));
                    block.highest_held = block.highest_held.max(order.fence);
                }
                OrderOutcome::Done(None)
            }
        }
    }
}
