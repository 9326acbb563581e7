//! What the control duty tells the request duty.

use std::sync::Arc;

use nickellead_range::RangeMap;
use tokio::sync::watch;

use crate::admission::AdmissionTable;
use crate::fleet::FleetTable;
use crate::{Declarations, EvacuatedZones, TargetList};

/// Sending ends; each value replaces the one before it.
pub(crate) struct StateSenders {
    pub(crate) declarations: watch::Sender<Option<Arc<Declarations>>>,
    pub(crate) targets: watch::Sender<Arc<TargetList>>,
    pub(crate) ranges: watch::Sender<Arc<RangeMap>>,
    pub(crate) admissions: watch::Sender<Arc<AdmissionTable>>,
    pub(crate) evacuations: watch::Sender<Arc<EvacuatedZones>>,
    pub(crate) fleet: watch::Sender<Arc<FleetTable>>,
}

/// Receiving ends.
#[derive(Clone)]
pub(crate) struct StateReceivers {
    pub(crate) declarations: watch::Receiver<Option<Arc<Declarations>>>,
    pub(crate) targets: watch::Receiver<Arc<TargetList>>,
    pub(crate) ranges: watch::Receiver<Arc<RangeMap>>,
    pub(crate) admissions: watch::Receiver<Arc<AdmissionTable>>,
    pub(crate) evacuations: watch::Receiver<Arc<EvacuatedZones>>,
    pub(crate) fleet: watch::Receiver<Arc<FleetTable>>,
}

/// Joins the two duties.
pub(crate) fn state_channels() -> (StateSenders, StateReceivers) {
    let (declarations, declared) = watch::channel(None);
    let (targets, listed) = watch::channel(Arc::default());
    let (ranges, ranged) = watch::channel(Arc::default());
    let (admissions, admitted) = watch::channel(Arc::default());
    let (evacuations, evacuated) = watch::channel(Arc::default());
    let (fleet, joined) = watch::channel(Arc::default());
    let senders = StateSenders { declarations, targets, ranges, admissions, evacuations, fleet };
    let receivers = StateReceivers {
        declarations: declared,
        targets: listed,
        ranges: ranged,
        admissions: admitted,
        evacuations: evacuated,
        fleet: joined,
    };
    (senders, receivers)
}
