//! Status of declared objects, as known to one VM.

use std::collections::BTreeMap;

use nickellead_api::{ObjectKind, ResourceObject, ServiceSpec};
use nickellead_core::{Name, ServiceKey, TargetKey, Version, ZoneKey};
use nickellead_route::ZoneSummary;
use serde_json::{Value, json};

/// State of a VM from which it computes the status of objects.
pub(crate) struct StatusView<'a> {
    pub(crate) vm: &'a Name,
    /// Revision of the declarations active on this VM.
    pub(crate) revision: Version,
    pub(crate) zones: &'a BTreeMap<ZoneKey, ZoneSummary>,
}

impl StatusView<'_> {
    /// Sets the status of a service or target; other kinds have none.
    pub(crate) fn add_status(&self, object: &mut ResourceObject) {
        let status = match object.kind {
            ObjectKind::Service => self.service_status(object),
            ObjectKind::Target => self.target_status(object),
            ObjectKind::Mandate | ObjectKind::Placement => return,
        };
        object.status = Some(status);
    }

    fn service_status(&self, object: &ResourceObject) -> Value {
        let spec: Option<ServiceSpec> = serde_json::from_value(object.spec.clone()).ok();
        let zones = spec.iter().flat_map(|spec| &spec.zones);
        let zones: Vec<Value> = zones.map(|zone| self.zone_status(object, zone)).collect();
        json!({"seen_by": self.vm, "in_force": self.is_active(object), "zones": zones})
    }

    fn zone_status(&self, object: &ResourceObject, zone: &Name) -> Value {
        let Some(summary) = self.zones.get(&ZoneKey::from(zone)) else {
            return json!({"zone": zone, "known": false});
        };
        let key = ServiceKey::from(&object.name);
        let counts = summary.services.get(&key).copied().unwrap_or_default();
        let (term, version) = summary.known.unwrap_or_default();
        json!({
            "zone": zone,
            "known": true,
            "term": term,
            "version": version,
            "served": counts.served,
            "moving": counts.moving,
            "nobody": counts.unowned,
        })
    }

    fn target_status(&self, object: &ResourceObject) -> Value {
        let key = TargetKey::from(&object.name);
        let shards: u32 = self.zones.values().filter_map(|zone| zone.targets.get(&key)).sum();
        json!({"seen_by": self.vm, "in_force": self.is_active(object), "shards": shards})
    }

    fn is_active(&self, object: &ResourceObject) -> bool {
        self.revision >= object.version
    }
}
