//! Which part of the requests for an owner's keys may be sent, and which targets name limits, as the mandate's
//! holder tells all VMs.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bincode::{Decode, Encode};
use nickellead_balance::ReportedLimit;

use crate::fleet::AnnouncementStamp;

/// A word that was not renewed for this long counts no more: its holder is lost, or this VM is.
///
/// The holder renews it each half second, and news may be one second old.
const WORD_LASTS: Duration = Duration::from_millis(2_000);

/// A run of keys of a crowded owner.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub(crate) struct AdmissionRange {
    pub(crate) first: u16,
    /// Last key, included.
    pub(crate) last: u16,
    /// Part of the requests that may be sent, 0 to 1.
    pub(crate) fraction: f32,
    /// Keys that have a part of their own, in order.
    pub(crate) hot: Vec<(u16, f32)>,
}

impl AdmissionRange {
    /// The least share of any of its keys.
    pub(crate) fn min_fraction(&self) -> f32 {
        self.hot.iter().map(|(_, share)| *share).fold(self.fraction, f32::min)
    }
}

/// Ranges of crowded owners by service, in the order of their keys; all others take every request.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub(crate) struct AdmissionTable {
    pub(crate) stamp: AnnouncementStamp,
    pub(crate) services: BTreeMap<String, Vec<AdmissionRange>>,
    /// Targets that name limits, by identity.
    pub(crate) limits: BTreeMap<String, InstanceLimit>,
}

/// The limit of one life of a target.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) struct InstanceLimit {
    /// When that life started, as in the target's entry.
    pub(crate) born: Option<u64>,
    /// Requests a second from all VMs together.
    pub(crate) rate: f64,
}

impl AdmissionTable {
    /// What is told of the limit of a life of a target; the first table of a process, without a word of any
    /// holder, tells nothing.
    pub(crate) fn reported_limit(&self, target: &str, born: Option<u64>) -> ReportedLimit {
        if self.stamp == AnnouncementStamp::default() {
            return ReportedLimit::Unknown;
        }
        let limit = self.limits.get(target).filter(|limit| limit.born == born);
        limit.map_or(ReportedLimit::Unlimited, |limit| ReportedLimit::Limited(limit.rate))
    }

    /// Part of the requests for a key that may be sent.
    pub(crate) fn fraction(&self, service: &str, key: u16) -> f64 {
        let Some(ranges) = self.services.get(service) else { return 1.0 };
        let place = ranges.partition_point(|range| range.last < key);
        let Some(range) = ranges.get(place).filter(|range| range.first <= key) else { return 1.0 };
        let hot = range.hot.binary_search_by_key(&key, |(hot, _)| *hot);
        f64::from(hot.map_or(range.fraction, |place| range.hot[place].1))
    }
}

/// The newest word, and when it came.
#[derive(Clone, Debug)]
pub(crate) struct CachedAdmission {
    table: std::sync::Arc<AdmissionTable>,
    received_at: Instant,
}

impl CachedAdmission {
    pub(crate) fn new(table: std::sync::Arc<AdmissionTable>) -> Self {
        Self { table, received_at: Instant::now() }
    }

    /// Part of the requests for a key that may be sent now.
    pub(crate) fn fraction(&self, service: &str, key: u16) -> f64 {
        match self.received_at.elapsed() < WORD_LASTS {
            true => self.table.fraction(service, key),
            false => 1.0,
        }
    }
}
