//! Evacuated availability zones, as one duty of a VM goes by them.

use std::collections::HashMap;
use std::time::Duration;

use nickellead_core::Timestamp;

use crate::EvacuatedZones;

/// How long owners of keys in an evacuated zone are asked for them: their keys are moved meanwhile, which
/// takes about the time of a request, two seconds for the longest.
///
/// VMs hear of an evacuation within half a second of its being ordered, or a second and a half while
/// watches of the store are deaf, and the users' platform allows five seconds in all.
const OWNERS_STAY: Duration = Duration::from_millis(2_500);

/// Which zones are evacuated, since when, and which were.
#[derive(Debug, Default)]
pub(crate) struct ZoneStates {
    evacuated: HashMap<String, Timestamp>,
    returned: HashMap<String, Timestamp>,
}

impl ZoneStates {
    /// Takes over which zones are evacuated now.
    pub(crate) fn update(&mut self, zones: &EvacuatedZones, now: Timestamp) {
        let ended = self.evacuated.extract_if(|zone, _| !zones.contains(zone));
        self.returned.extend(ended.map(|(zone, _)| (zone, now)));
        for zone in zones {
            self.returned.remove(zone);
            self.evacuated.entry(zone.clone()).or_insert(now);
        }
    }

    /// Whether a zone's targets are to get no new requests.
    pub(crate) fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains_key(zone)
    }

    /// Whether not even owners of keys in a zone are asked any more.
    pub(crate) fn is_closed(&self, zone: &str, now: Timestamp) -> bool {
        let since = self.evacuated.get(zone);
        since.is_some_and(|since| now.since(*since) >= OWNERS_STAY)
    }

    /// When a zone's targets began to take requests again; they may have turned cold shortly before.
    pub(crate) fn returned_at(&self, zone: &str) -> Option<Timestamp> {
        self.returned.get(zone).copied()
    }
}
