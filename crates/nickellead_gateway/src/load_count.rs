//! Requests by key and speeds of targets, handed from the request path to the control duty.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bincode::{Decode, Encode};

/// Most keys counted between two looks of one service; the rest is not counted.
const KEYS_MAX: usize = 8_192;

/// Counts by service and key since the last look.
pub(crate) type KeyCounts = HashMap<String, HashMap<u16, u32>>;

/// What the request path has seen since the last look.
#[derive(Clone, Debug, Default, Encode, Decode)]
pub(crate) struct LoadCounts {
    /// Requests by service and key.
    pub(crate) keys: KeyCounts,
    /// Time of an unhurried answer by target, in milliseconds.
    pub(crate) speeds: HashMap<String, f64>,
}

/// Counters that both duties share.
///
/// The lock is held for one insertion or one swap, so neither duty waits for the other's work.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadCounter(Arc<Mutex<LoadCounts>>);

impl LoadCounter {
    /// The counts; they are sound after any panic, as each change is one insertion or swap.
    fn lock(&self) -> MutexGuard<'_, LoadCounts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts one request.
    pub(crate) fn note(&self, service: &str, key: u16) {
        let mut counts = self.lock();
        let counts = &mut counts.keys;
        if !counts.contains_key(service) {
            counts.insert(service.to_owned(), HashMap::new());
        }
        if let Some(keys) = counts.get_mut(service) {
            add_count(keys, key, 1);
        }
    }

    /// Notes how fast a target answers when it is not hurried.
    pub(crate) fn note_speed(&self, target: &str, millis: f64) {
        let mut counts = self.lock();
        match counts.speeds.get_mut(target) {
            Some(known) => *known = millis,
            None => {
                counts.speeds.insert(target.to_owned(), millis);
            }
        }
    }

    /// Adds what another VM has seen.
    pub(crate) fn add(&self, other: LoadCounts) {
        let mut counts = self.lock();
        for (service, keys) in other.keys {
            let known = counts.keys.entry(service).or_default();
            keys.into_iter().for_each(|(key, count)| add_count(known, key, count));
        }
        counts.speeds.extend(other.speeds);
    }

    /// Takes the counts and starts anew.
    pub(crate) fn take(&self) -> LoadCounts {
        std::mem::take(&mut *self.lock())
    }
}

/// Adds to a key's count, unless too many other keys are counted already.
fn add_count(keys: &mut HashMap<u16, u32>, key: u16, count: u32) {
    if keys.len() < KEYS_MAX || keys.contains_key(&key) {
        *keys.entry(key).or_default() += count;
    }
}
