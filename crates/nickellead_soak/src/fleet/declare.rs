//! Declarations of the fleet: one service and its targets.

use std::time::Duration;

use super::{FleetTarget, SoakFleet, write_file, zone_name};
use crate::{SoakError, SoakProcess};

/// Timeout of the command that applies declarations.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of shards of the service.
const SHARD_COUNT: usize = 64;

impl SoakFleet {
    /// Declares the service and all targets as active; returns whether a VM accepted it.
    ///
    /// # Errors
    /// A [`SoakError`] if the file can't be written or the command can't be started.
    pub fn declare_all(&self) -> Result<bool, SoakError> {
        let service = self.service_declaration();
        let targets = self.targets.iter().map(|target| target_declaration(target, "active"));
        let objects: Vec<String> = std::iter::once(service).chain(targets).collect();
        self.apply(&objects.join(","))
    }

    /// Returns the declaration of the service, which is in every zone.
    fn service_declaration(&self) -> String {
        let zones: Vec<String> =
            (0..self.size.zones).map(|zone| format!("{:?}", zone_name(zone))).collect();
        format!(
            r#"{{"kind": "service", "name": "boards", "spec": {{"zones": [{}], "shards": {SHARD_COUNT},
                "key": {{"from": "path", "segment": 2}},
                "operations": [{{"name": "book", "method": "POST", "repeat": "once"}},
                               {{"name": "look", "method": "GET", "repeat": "repeatable"}}]}}}}"#,
            zones.join(",")
        )
    }

    /// Declares the state of a target; returns whether a VM accepted it.
    pub(super) fn declare_target(&self, number: usize, state: &str) -> Result<bool, SoakError> {
        self.apply(&target_declaration(&self.targets[number], state))
    }

    /// Applies declarations through one VM after another until one accepts them.
    fn apply(&self, objects: &str) -> Result<bool, SoakError> {
        let file = write_file(&self.folder.join("declared.json"), &format!("[{objects}]"))?;
        for vm in self.vms.iter().filter(|vm| vm.process.is_some()) {
            let operators = vm.operators.to_string();
            let arguments = ["apply", "--vm", &operators, "-f", &file];
            let log = self.folder.join("apply.log");
            let mut process = SoakProcess::start(&self.program, &arguments, &log)?;
            if process.wait_exit(APPLY_TIMEOUT) == Some(0) {
                return Ok(true);
            }
        }
        Ok(false)
    }
}

fn target_declaration(target: &FleetTarget, state: &str) -> String {
    format!(
        r#"{{"kind": "target", "name": "{}", "spec": {{"service": "boards", "zone": "{}",
            "address": "{}", "slots": 4, "connections": 130, "state": "{state}"}}}}"#,
        target.name, target.zone, target.link.address
    )
}
