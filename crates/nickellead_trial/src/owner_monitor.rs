//! Samples the owners of all shards while the trial runs.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use nickellead_core::ShardIndex;
use nickellead_standin::StandinTarget;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// Thread that samples all targets and keeps the maximum number of simultaneous owners of a shard.
pub(crate) struct OwnerMonitor {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<u32>,
}

impl OwnerMonitor {
    /// Starts sampling targets, each given with the name of its service.
    pub(crate) fn start(targets: Vec<(String, StandinTarget)>) -> std::io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread =
            std::thread::Builder::new().name("owner-watch".to_owned()).spawn(move || {
                let mut max_owners = 0;
                while !stopped.load(Ordering::Relaxed) {
                    max_owners = max_owners.max(sample_max_owners(&targets));
                    std::thread::sleep(SAMPLE_INTERVAL);
                }
                max_owners
            })?;
        Ok(Self { stop, thread })
    }

    /// Stops and returns the maximum number of owners of any shard in a sample.
    pub(crate) fn finish(self) -> u32 {
        self.stop.store(true, Ordering::Relaxed);
        // A panicked thread proves nothing; report a violation.
        self.thread.join().unwrap_or(u32::MAX)
    }
}

/// Returns the maximum number of owners of one shard.
///
/// Targets are read one after another. A shard that seems to have several owners is
/// read again, since it may have moved between two reads.
fn sample_max_owners(targets: &[(String, StandinTarget)]) -> u32 {
    let mut owners: HashMap<(&str, ShardIndex), Vec<&StandinTarget>> = HashMap::new();
    for (service, target) in targets {
        for shard in target.owned_shards() {
            owners.entry((service, shard)).or_default().push(target);
        }
    }
    let count_owners = |((_, shard), targets): ((&str, ShardIndex), Vec<&StandinTarget>)| {
        if targets.len() > 1 {
            targets.iter().filter(|target| target.owns(shard)).count() as u32
        } else {
            1
        }
    };
    owners.into_iter().map(count_owners).max().unwrap_or(0)
}
