//! Plays many seeds, a few at a time.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Seeds that are played side by side.
const SIDE_BY_SIDE: usize = 3;

/// Plays seeds as the environment asks, three from 1 on unless it does; fails if one of them broke anything.
pub fn play_seeds(first: &str, seeds: &str, play: impl Fn(u64) -> Vec<String> + Sync) {
    let first = number_from(first, 1);
    let seeds = number_from(seeds, 3);
    let next = AtomicUsize::new(0);
    let found = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..SIDE_BY_SIDE {
            scope.spawn(|| {
                loop {
                    let seed = first + next.fetch_add(1, Ordering::Relaxed) as u64;
                    if seed >= first + seeds {
                        return;
                    }
                    let broken = play(seed);
                    if !broken.is_empty() {
                        found.lock().unwrap().push((seed, broken));
                    }
                }
            });
        }
    });
    let found = found.into_inner().unwrap();
    assert!(found.is_empty(), "{found:#?}");
}

fn number_from(variable: &str, usual: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}
