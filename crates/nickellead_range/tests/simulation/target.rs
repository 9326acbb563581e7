//! Simulated target: owns blocks for the duration of a lease and refuses grants with lower fences.

use nickellead_range::{OrderKind, OrderOutcome, RangeOrder, TargetInstance};

use super::{BLOCK_KEYS, BLOCKS, instance};

#[derive(Clone, Copy, Default)]
struct Block {
    highest_seen_fence: u64,
    /// Fence and end of the last lease.
    lease: Option<(u64, u64)>,
    highest_owned_fence: u64,
}

pub struct SimulatedTarget {
    index: usize,
    incarnation: u64,
    up_at: u64,
    /// How much longer than by the VMs' clocks a lease lasts, in percent.
    slow_percent: u64,
    blocks: [Block; BLOCKS],
    /// Highest fence of each block that an earlier instance owned.
    past_fences: [u64; BLOCKS],
}

/// Index of the target that an instance belongs to.
pub fn index_of(instance: &TargetInstance) -> usize {
    instance.address.parse().unwrap()
}

/// Indices of the blocks that an order covers.
pub fn blocks(order: &RangeOrder) -> std::ops::Range<usize> {
    let first = u32::from(order.first);
    let after = u32::from(order.last) + 1;
    assert_eq!((first % BLOCK_KEYS, after % BLOCK_KEYS), (0, 0), "{order:?}");
    (first / BLOCK_KEYS) as usize..(after / BLOCK_KEYS) as usize
}

impl SimulatedTarget {
    pub fn new(index: usize, rng: &mut fastrand::Rng) -> Self {
        Self {
            index,
            incarnation: 1,
            up_at: 0,
            slow_percent: rng.u64(0..=2),
            blocks: [Block::default(); BLOCKS],
            past_fences: [0; BLOCKS],
        }
    }

    /// Ends this instance; the next one starts at `up_at`.
    pub fn crash(&mut self, incarnation: u64, up_at: u64) {
        for (past, block) in self.past_fences.iter_mut().zip(&self.blocks) {
            *past = (*past).max(block.highest_owned_fence);
        }
        self.incarnation = incarnation;
        self.up_at = up_at;
        self.blocks = [Block::default(); BLOCKS];
    }

    pub fn is_up(&self, now: u64) -> bool {
        now >= self.up_at
    }

    /// Whether the target accepts connections.
    pub fn accepts_connections(&self, now: u64) -> bool {
        self.is_up(now)
    }

    pub fn instance(&self) -> TargetInstance {
        instance(self.index, self.incarnation)
    }

    /// The fence under which the target owns a block now; `None` if it does not.
    pub fn owned_fence(&self, block: usize, now: u64) -> Option<u64> {
        self.blocks[block].lease.filter(|(_, until)| *until > now).map(|(fence, _)| fence)
    }

    /// The highest fence under which any instance of the target has owned a block.
    pub fn highest_fence(&self, block: usize) -> u64 {
        self.blocks[block].highest_owned_fence.max(self.past_fences[block])
    }

    pub fn execute(&mut self, order: &RangeOrder, lease_ms: u64, now: u64) -> OrderOutcome {
        if !self.is_up(now) {
            return OrderOutcome::Unanswered;
        }
        if order.target != self.instance() {
            return OrderOutcome::Ended;
        }
        let blocks = &mut self.blocks[blocks(order)];
        match order.kind {
            OrderKind::Release => {
                for block in blocks {
                    block.lease = None;
                    block.highest_seen_fence = block.highest_seen_fence.max(order.fence);
                }
                OrderOutcome::Done(Some("token".to_owned()))
            }
            OrderKind::Grant(_) => {
                if blocks.iter().any(|block| block.highest_seen_fence > order.fence) {
                    return OrderOutcome::Outranked;
                }
                let until = now + lease_ms * (100 + self.slow_percent) / 100;
                for block in blocks {
                    block.highest_seen_fence = order.fence;
                    block.lease = Some((order.fence, until));
                    block.highest_owned_fence = block.highest_owned_fence.max(order.fence);
                }
                OrderOutcome::Done(None)
            }
        }
    }
}
