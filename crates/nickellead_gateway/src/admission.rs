//! Admission control for overloaded owners and rate limits of targets, as announced to all VMs by
//! the holder of the mandate (leader lease).

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bincode::{Decode, Encode};
use nickellead_balance::ReportedLimit;

use crate::fleet::AnnouncementStamp;

/// Time after which an announcement that was not renewed is ignored. The mandate holder renews it each
/// half second, and updates may be one second old.
const ANNOUNCEMENT_TTL: Duration = Duration::from_millis(2_000);

/// A range of keys of an overloaded owner.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub(crate) struct AdmissionRange {
    pub(crate) first: u16,
    /// Last key, inclusive.
    pub(crate) last: u16,
    /// Fraction of the requests that may be sent, 0 to 1.
    pub(crate) fraction: f32,
    /// Keys with a fraction of their own, in ascending order.
    pub(crate) hot: Vec<(u16, f32)>,
}

impl AdmissionRange {
    /// The lowest fraction of any of its keys.
    pub(crate) fn min_fraction(&self) -> f32 {
        self.hot.iter().map(|(_, fraction)| *fraction).fold(self.fraction, f32::min)
    }
}

/// Ranges of overloaded owners by service, in the order of their keys; all other keys are
/// unrestricted.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub(crate) struct AdmissionTable {
    pub(crate) stamp: AnnouncementStamp,
    pub(crate) services: BTreeMap<String, Vec<AdmissionRange>>,
    /// Rate limits of targets, by identity.
    pub(crate) limits: BTreeMap<String, InstanceLimit>,
}

/// The rate limit of one instance of a target.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) struct InstanceLimit {
    /// When the instance started, as in the target's entry.
    pub(crate) born: Option<u64>,
    /// Requests a second from all VMs together.
    pub(crate) rate: f64,
}

impl AdmissionTable {
    /// The announced limit of an instance of a target; unknown before the first announcement.
    pub(crate) fn reported_limit(&self, target: &str, born: Option<u64>) -> ReportedLimit {
        if self.stamp == AnnouncementStamp::default() {
            return ReportedLimit::Unknown;
        }
        let limit = self.limits.get(target).filter(|limit| limit.born == born);
        limit.map_or(ReportedLimit::Unlimited, |limit| ReportedLimit::Limited(limit.rate))
    }

    /// Fraction of the requests for a key that may be sent.
    pub(crate) fn fraction(&self, service: &str, key: u16) -> f64 {
        let Some(ranges) = self.services.get(service) else { return 1.0 };
        let index = ranges.partition_point(|range| range.last < key);
        let Some(range) = ranges.get(index).filter(|range| range.first <= key) else { return 1.0 };
        let hot = range.hot.binary_search_by_key(&key, |(hot, _)| *hot);
        f64::from(hot.map_or(range.fraction, |index| range.hot[index].1))
    }
}

/// The latest announcement and when it was received.
#[derive(Clone, Debug)]
pub(crate) struct CachedAdmission {
    table: std::sync::Arc<AdmissionTable>,
    received_at: Instant,
}

impl CachedAdmission {
    pub(crate) fn new(table: std::sync::Arc<AdmissionTable>) -> Self {
        Self { table, received_at: Instant::now() }
    }

    /// Fraction of the requests for a key that may be sent; 1 after [`ANNOUNCEMENT_TTL`].
    pub(crate) fn fraction(&self, service: &str, key: u16) -> f64 {
        match self.received_at.elapsed() < ANNOUNCEMENT_TTL {
            true => self.table.fraction(service, key),
            false => 1.0,
        }
    }
}
