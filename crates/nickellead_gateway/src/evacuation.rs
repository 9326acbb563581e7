//! State of evacuated availability zones.

use std::collections::HashMap;
use std::time::Duration;

use nickellead_core::Timestamp;

use crate::EvacuatedZones;

/// How long owners in an evacuated zone still get requests while their keys are moved to other
/// zones.
///
/// A move waits for requests in flight, so it takes about as long as the longest of them.
const OWNERS_EVACUATION_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Zones that are evacuated, and zones that returned, each with the time of the change.
#[derive(Debug, Default)]
pub(crate) struct ZoneStates {
    evacuated: HashMap<String, Timestamp>,
    returned: HashMap<String, Timestamp>,
}

impl ZoneStates {
    /// Sets the zones that are evacuated now.
    pub(crate) fn update(&mut self, zones: &EvacuatedZones, now: Timestamp) {
        let ended = self.evacuated.extract_if(|zone, _| !zones.contains(zone));
        self.returned.extend(ended.map(|(zone, _)| (zone, now)));
        for zone in zones {
            self.returned.remove(zone);
            self.evacuated.entry(zone.clone()).or_insert(now);
        }
    }

    /// Whether a zone's targets get no new requests; owners of keys do until [`Self::is_closed`].
    pub(crate) fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains_key(zone)
    }

    /// Whether owners of keys in a zone get no more requests either.
    pub(crate) fn is_closed(&self, zone: &str, now: Timestamp) -> bool {
        let since = self.evacuated.get(zone);
        since.is_some_and(|since| now.since(*since) >= OWNERS_EVACUATION_TIMEOUT)
    }

    /// When a zone's targets began to take requests again; they may be cold then.
    pub(crate) fn returned_at(&self, zone: &str) -> Option<Timestamp> {
        self.returned.get(zone).copied()
    }
}
