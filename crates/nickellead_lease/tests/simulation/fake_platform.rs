//! Fake platform with conditional writes and reads.

use std::collections::BTreeMap;

use nickellead_core::{Name, Version};
use nickellead_lease::{
    MandateObject, PlacementObject, ReadOutcome, WriteOutcome, ZoneAction, ZoneEvent,
};

/// Versioned objects with injectable failures.
#[derive(Clone, Debug, Default)]
pub struct FakePlatform {
    pub down: bool,
    /// Calls for placements fail; calls for the mandate succeed.
    pub placements_down: bool,
    /// Writes take effect, but their outcome is [`WriteOutcome::Failed`].
    pub lose_responses: bool,
    pub mandate: Option<(MandateObject, Version)>,
    pub placements: BTreeMap<Name, (PlacementObject, Version)>,
    pub calls: u64,
    version: Version,
}

impl FakePlatform {
    /// Executes a call and returns its outcome as an event.
    pub fn call(&mut self, action: &ZoneAction, reachable: bool) -> ZoneEvent {
        self.calls += 1;
        let available = reachable && !self.down;
        let placements_available = available && !self.placements_down;
        match action {
            ZoneAction::ReadMandate(id) => {
                ZoneEvent::MandateRead(*id, read(available, self.mandate.as_ref()))
            }
            ZoneAction::WriteMandate(id, expected, object) => {
                let current = self.mandate.as_ref().map(|(_, version)| *version);
                let outcome = self.write(available, current, *expected);
                if let Some(version) = outcome.1 {
                    self.mandate = Some((object.clone(), version));
                }
                ZoneEvent::MandateWritten(*id, outcome.0)
            }
            ZoneAction::ReadPlacement(id, service, name) => ZoneEvent::PlacementRead(
                *id,
                *service,
                read(placements_available, self.placements.get(name)),
            ),
            ZoneAction::WritePlacement(id, service, name, expected, object) => {
                let current = self.placements.get(name).map(|(_, version)| *version);
                let outcome = self.write(placements_available, current, *expected);
                if let Some(version) = outcome.1 {
                    self.placements.insert(name.clone(), (object.clone(), version));
                }
                ZoneEvent::PlacementWritten(*id, *service, outcome.0)
            }
            other => panic!("not a platform call: {other:?}"),
        }
    }

    /// Returns the outcome of a write, and the new version if it took effect.
    fn write(
        &mut self,
        available: bool,
        current: Option<Version>,
        expected: Version,
    ) -> (WriteOutcome, Option<Version>) {
        if !available {
            return (WriteOutcome::Failed, None);
        }
        if current.unwrap_or_default() != expected {
            return (WriteOutcome::Conflict, None);
        }
        self.version = self.version.next();
        let outcome = if self.lose_responses {
            WriteOutcome::Failed
        } else {
            WriteOutcome::Done(self.version)
        };
        (outcome, Some(self.version))
    }
}

fn read<T: Clone>(available: bool, object: Option<&(T, Version)>) -> ReadOutcome<T> {
    match object {
        _ if !available => ReadOutcome::Failed,
        Some((object, version)) => ReadOutcome::Found(object.clone(), *version),
        None => ReadOutcome::Absent,
    }
}
