//! Judges orders to targets: never two owners of a key, and fences only grow.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nickellead_range::{OrderKind, RangeOrder, TargetInstance};

/// How long a target holds keys after a grant.
const HOLD: Duration = Duration::from_millis(4_500);
/// Keys that are looked at.
const KEYS: [u16; 5] = [0, 20_000, 40_000, 60_000, u16::MAX];

/// Who was last granted a key, under which fence, and until when.
struct KeyHold {
    holder: TargetInstance,
    fence: u64,
    until: Instant,
}

/// What is wrong with orders that targets carried out at these times, oldest first.
pub fn broken_ownership(orders: &[(Instant, RangeOrder)]) -> Vec<String> {
    let mut held: BTreeMap<u16, KeyHold> = BTreeMap::new();
    let mut broken = Vec::new();
    for (at, order) in orders {
        for key in KEYS.into_iter().filter(|key| (order.first..=order.last).contains(key)) {
            let before = held.get_mut(&key);
            if order.kind == OrderKind::Release {
                if let Some(before) = before.filter(|before| before.holder == order.target) {
                    before.until = *at;
                }
                continue;
            }
            if let Some(before) = before.filter(|before| before.holder != order.target) {
                if before.until > *at {
                    broken.push(format!("key {key}: {} holds it at {order:?}", before.holder.id));
                }
                if order.fence <= before.fence {
                    broken.push(format!("key {key}: fence {} before {order:?}", before.fence));
                }
            }
            let hold =
                KeyHold { holder: order.target.clone(), fence: order.fence, until: *at + HOLD };
            held.insert(key, hold);
        }
    }
    broken
}
