//! Checks orders to targets: a key never has two owners at a time, and fences increase with each
//! owner.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nickellead_range::{OrderKind, RangeOrder, TargetInstance};

/// How long a target owns keys after a grant.
const LEASE_DURATION: Duration = Duration::from_millis(4_500);
const SAMPLED_KEYS: [u16; 5] = [0, 20_000, 40_000, 60_000, u16::MAX];

/// The last grant of a key.
struct KeyLease {
    owner: TargetInstance,
    fence: u64,
    until: Instant,
}

/// Violations of exclusive ownership by orders that targets received at these times, oldest first.
pub fn ownership_violations(orders: &[(Instant, RangeOrder)]) -> Vec<String> {
    let mut leases: BTreeMap<u16, KeyLease> = BTreeMap::new();
    let mut violations = Vec::new();
    for (at, order) in orders {
        for key in SAMPLED_KEYS.into_iter().filter(|key| (order.first..=order.last).contains(key)) {
            let previous = leases.get_mut(&key);
            if order.kind == OrderKind::Release {
                if let Some(previous) = previous.filter(|previous| previous.owner == order.target) {
                    previous.until = *at;
                }
                continue;
            }
            if let Some(previous) = previous.filter(|previous| previous.owner != order.target) {
                if previous.until > *at {
                    violations.push(format!(
                        "key {key}: {} still owns it at {order:?}",
                        previous.owner.id
                    ));
                }
                if order.fence <= previous.fence {
                    violations.push(format!(
                        "key {key}: fence {} is not below that of {order:?}",
                        previous.fence
                    ));
                }
            }
            let lease = KeyLease {
                owner: order.target.clone(),
                fence: order.fence,
                until: *at + LEASE_DURATION,
            };
            leases.insert(key, lease);
        }
    }
    violations
}
