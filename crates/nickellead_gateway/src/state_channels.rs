//! Watch channels from the control thread to the request thread.

use std::sync::Arc;

use nickellead_range::RangeMap;
use tokio::sync::watch;

use crate::admission::AdmissionTable;
use crate::fleet::FleetTable;
use crate::listed_targets::ListedTargets;
use crate::{Declarations, EvacuatedZones, StateConfirmation};

/// Senders of the control thread; each value replaces the previous one.
pub(crate) struct StateSenders {
    pub(crate) declarations: watch::Sender<Option<Arc<Declarations>>>,
    /// The last confirmation of a version of the declarations.
    pub(crate) confirmation: watch::Sender<Option<StateConfirmation<u64>>>,
    pub(crate) targets: watch::Sender<ListedTargets>,
    pub(crate) ranges: watch::Sender<Arc<RangeMap>>,
    pub(crate) admissions: watch::Sender<Arc<AdmissionTable>>,
    pub(crate) evacuations: watch::Sender<Arc<EvacuatedZones>>,
    pub(crate) fleet: watch::Sender<Arc<FleetTable>>,
}

/// Receivers of the request thread.
#[derive(Clone)]
pub(crate) struct StateReceivers {
    pub(crate) declarations: watch::Receiver<Option<Arc<Declarations>>>,
    pub(crate) confirmation: watch::Receiver<Option<StateConfirmation<u64>>>,
    pub(crate) targets: watch::Receiver<ListedTargets>,
    pub(crate) ranges: watch::Receiver<Arc<RangeMap>>,
    pub(crate) admissions: watch::Receiver<Arc<AdmissionTable>>,
    pub(crate) evacuations: watch::Receiver<Arc<EvacuatedZones>>,
    pub(crate) fleet: watch::Receiver<Arc<FleetTable>>,
}

/// Creates the channels with empty initial values.
pub(crate) fn state_channels() -> (StateSenders, StateReceivers) {
    let (declarations, declarations_receiver) = watch::channel(None);
    let (confirmation, confirmation_receiver) = watch::channel(None);
    let (targets, targets_receiver) = watch::channel(ListedTargets::default());
    let (ranges, ranges_receiver) = watch::channel(Arc::default());
    let (admissions, admissions_receiver) = watch::channel(Arc::default());
    let (evacuations, evacuations_receiver) = watch::channel(Arc::default());
    let (fleet, fleet_receiver) = watch::channel(Arc::default());
    let senders = StateSenders {
        declarations,
        confirmation,
        targets,
        ranges,
        admissions,
        evacuations,
        fleet,
    };
    let receivers = StateReceivers {
        declarations: declarations_receiver,
        confirmation: confirmation_receiver,
        targets: targets_receiver,
        ranges: ranges_receiver,
        admissions: admissions_receiver,
        evacuations: evacuations_receiver,
        fleet: fleet_receiver,
    };
    (senders, receivers)
}
