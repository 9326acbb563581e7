//! Regions of availability zones, and where a request may be served.

use std::collections::BTreeMap;

/// Regions of this VM and of all availability zones, as the settings state them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RegionMap {
    /// Region of this VM; `None` if unknown.
    pub(crate) own: Option<String>,
    /// Regions by availability zone.
    pub(crate) zones: BTreeMap<String, String>,
}

impl RegionMap {
    /// The region of an availability zone; `None` if unknown.
    pub(crate) fn of_zone(&self, zone: &str) -> Option<&str> {
        self.zones.get(zone).map(String::as_str)
    }

    /// The region of this VM; `None` if unknown.
    pub(crate) fn of_vm(&self) -> Option<&str> {
        self.own.as_deref()
    }
}

/// Whether a list of allowed regions allows a region; no list allows all, and an unknown region is
/// only allowed by no list.
#[must_use]
pub fn is_region_allowed(allowed: Option<&[String]>, region: Option<&str>) -> bool {
    allowed.is_none_or(|allowed| allowed.iter().any(|one| Some(one.as_str()) == region))
}
