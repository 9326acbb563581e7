//! Requests by key, handed from the request path to the control duty.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Counts by service and key since the last look.
pub(crate) type KeyCounts = HashMap<String, HashMap<u16, u32>>;

/// Counters that both duties share.
///
/// The lock is held for one insertion or one swap, so neither duty waits for the other's work.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyCounter(Arc<Mutex<KeyCounts>>);

/// Most keys counted between two looks of one service; the rest is not counted.
const KEYS_MAX: usize = 8_192;

impl KeyCounter {
    /// Counts one request.
    pub(crate) fn note(&self, service: &str, key: u16) {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !counts.contains_key(service) {
            counts.insert(service.to_owned(), HashMap::new());
        }
        if let Some(keys) = counts.get_mut(service)
            && (keys.len() < KEYS_MAX || keys.contains_key(&key))
        {
            *keys.entry(key).or_default() += 1;
        }
    }

    /// Takes the counts and starts anew.
    pub(crate) fn take(&self) -> KeyCounts {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
