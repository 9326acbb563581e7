//! Watching from outside who owns what, while the trial runs.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use nickellead_core::ShardIndex;
use nickellead_standin::StandinTarget;

/// Between two looks.
const PERIOD: Duration = Duration::from_millis(5);

/// Looks at every target again and again, and keeps the most owners of a shard.
pub(crate) struct OwnerWatch {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<u32>,
}

impl OwnerWatch {
    /// Starts watching targets, each with its service's name.
    pub(crate) fn start(targets: Vec<(String, StandinTarget)>) -> std::io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread =
            std::thread::Builder::new().name("owner-watch".to_owned()).spawn(move || {
                let mut most = 0;
                while !stopped.load(Ordering::Relaxed) {
                    most = most.max(most_owners(&targets));
                    std::thread::sleep(PERIOD);
                }
                most
            })?;
        Ok(Self { stop, thread })
    }

    /// Stops and returns the most owners that any shard had at a look.
    pub(crate) fn finish(self) -> u32 {
        self.stop.store(true, Ordering::Relaxed);
        // A watch that broke off has seen nothing that counts as proof.
        self.thread.join().unwrap_or(u32::MAX)
    }
}

/// The most owners of one shard now.
///
/// The targets are asked one after another, so a shard that two seem to own is
/// looked at again: the owners must hold it at the same moment.
fn most_owners(targets: &[(String, StandinTarget)]) -> u32 {
    let mut owners: HashMap<(&str, ShardIndex), Vec<&StandinTarget>> = HashMap::new();
    for (service, target) in targets {
        for shard in target.owned_shards() {
            owners.entry((service, shard)).or_default().push(target);
        }
    }
    let count = |((_, shard), targets): ((&str, ShardIndex), Vec<&StandinTarget>)| {
        if targets.len() > 1 {
            targets.iter().filter(|target| target.owns(shard)).count() as u32
        } else {
            1
        }
    };
    owners.into_iter().map(count).max().unwrap_or(0)
}
