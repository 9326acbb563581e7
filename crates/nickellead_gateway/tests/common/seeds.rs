//! Runs a simulation for many seeds, a few at a time.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

const CONCURRENT_SEEDS: usize = 3;

/// Runs the seeds that two environment variables select (by default three, from 1 on); panics if
/// one of them reports violations. `first` and `seeds` name the variables.
pub fn run_seeds(first: &str, seeds: &str, run_seed: impl Fn(u64) -> Vec<String> + Sync) {
    let first = number_from(first, 1);
    let seeds = number_from(seeds, 3);
    let next = AtomicUsize::new(0);
    let failures = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..CONCURRENT_SEEDS {
            scope.spawn(|| {
                loop {
                    let seed = first + next.fetch_add(1, Ordering::Relaxed) as u64;
                    if seed >= first + seeds {
                        return;
                    }
                    let violations = run_seed(seed);
                    if !violations.is_empty() {
                        failures.lock().unwrap().push((seed, violations));
                    }
                }
            });
        }
    });
    let failures = failures.into_inner().unwrap();
    assert!(failures.is_empty(), "{failures:#?}");
}

fn number_from(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}
