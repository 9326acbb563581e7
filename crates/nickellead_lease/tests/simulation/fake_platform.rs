//! The platform as the decision code sees it: conditional writes and reads.

use std::collections::BTreeMap;

use nickellead_core::{Name, Version};
use nickellead_lease::{
    MandateObject, PlacementObject, ReadOutcome, WriteOutcome, ZoneAction, ZoneEvent,
};

/// Objects with versions, and ways to fail.
#[derive(Clone, Debug, Default)]
pub struct FakePlatform {
    pub down: bool,
    /// Calls for placements fail, and those for the mandate do not.
    pub placements_down: bool,
    /// Writes take effect and their answers are lost.
    pub lose_answers: bool,
    pub mandate: Option<(MandateObject, Version)>,
    pub placements: BTreeMap<Name, (PlacementObject, Version)>,
    pub calls: u64,
    version: Version,
}

impl FakePlatform {
    /// Carries out a call and returns the event that answers it.
    pub fn call(&mut self, action: &ZoneAction, reachable: bool) -> ZoneEvent {
        self.calls += 1;
        let works = reachable && !self.down;
        let places = works && !self.placements_down;
        match action {
            ZoneAction::ReadMandate(id) => {
                ZoneEvent::MandateRead(*id, read(works, self.mandate.as_ref()))
            }
            ZoneAction::WriteMandate(id, expected, object) => {
                let current = self.mandate.as_ref().map(|(_, version)| *version);
                let answer = self.write(works, current, *expected);
                if let Some(version) = answer.1 {
                    self.mandate = Some((object.clone(), version));
                }
                ZoneEvent::MandateWritten(*id, answer.0)
            }
            ZoneAction::ReadPlacement(id, service, name) => {
                ZoneEvent::PlacementRead(*id, *service, read(places, self.placements.get(name)))
            }
            ZoneAction::WritePlacement(id, service, name, expected, object) => {
                let current = self.placements.get(name).map(|(_, version)| *version);
                let answer = self.write(places, current, *expected);
                if let Some(version) = answer.1 {
                    self.placements.insert(name.clone(), (object.clone(), version));
                }
                ZoneEvent::PlacementWritten(*id, *service, answer.0)
            }
            other => panic!("no call of the platform: {other:?}"),
        }
    }

    /// The answer of a write, and the new version when it took effect.
    fn write(
        &mut self,
        works: bool,
        current: Option<Version>,
        expected: Version,
    ) -> (WriteOutcome, Option<Version>) {
        if !works {
            return (WriteOutcome::Failed, None);
        }
        if current.unwrap_or_default() != expected {
            return (WriteOutcome::Conflict, None);
        }
        self.version = self.version.next();
        let answer =
            if self.lose_answers { WriteOutcome::Failed } else { WriteOutcome::Done(self.version) };
        (answer, Some(self.version))
    }
}

fn read<T: Clone>(works: bool, object: Option<&(T, Version)>) -> ReadOutcome<T> {
    match object {
        _ if !works => ReadOutcome::Failed,
        Some((object, version)) => ReadOutcome::Found(object.clone(), *version),
        None => ReadOutcome::Absent,
    }
}
