//! Writes the map of ranges, and handles writes that fail.

use std::rc::Rc;

use nickellead_event::{EventName, log_event};
use nickellead_range::{RangeController, RangeMap, WriteOutcome, classify_write};

use super::ControlLoop;
use crate::store_call::StoreCall;
use crate::{OrderPort, Revision, Snapshot, StoreError, StorePort, Stored};

impl<S: StorePort, O: OrderPort> ControlLoop<S, O> {
    /// Writes the map if it has changed.
    pub(super) fn write_map(self: &Rc<Self>) {
        let write = self.controller.borrow_mut().as_mut().and_then(RangeController::take_write);
        let Some((map, edit)) = write else { return };
        // This revision belongs to the current controller; a controller created later has another
        // one.
        let expected = self.map_revision.get();
        let control = Rc::clone(self);
        actix_rt::spawn(async move {
            let response = control.store.write_ranges(expected, &map).await;
            control.health.record(StoreCall::WriteRanges, &response);
            let writer = map.writer;
            match response {
                Ok(revision) => control.record_map_written(revision, map, edit),
                Err(error) => control.reread_map(writer, &error).await,
            }
        });
    }

    /// Records that a map is in the store, and publishes it.
    fn record_map_written(&self, revision: Revision, map: RangeMap, edit: u64) {
        if self.controller_writer() == Some(map.writer) {
            self.map_revision.set(Some(revision));
        }
        let pairs: [(&str, &dyn std::fmt::Display); 4] = [
            ("revision", &revision),
            ("edit", &edit),
            ("fence", &map.fence),
            ("late_orders", &map.late_orders),
        ];
        log_event(EventName::RangesWritten, &pairs);
        if let Some(controller) = self.controller.borrow_mut().as_mut()
            && controller.map().writer == map.writer
        {
            controller.confirm_write(edit);
        }
        self.cluster.apply_ranges(revision, Some(Stored { revision, value: map }));
    }

    /// Reads the map after a failed write, to find out whether the write succeeded or another VM
    /// wrote.
    ///
    /// A controller that was created meanwhile has read the store itself and is not changed.
    async fn reread_map(&self, writer: u64, error: &StoreError) {
        self.health.backoff().await;
        let read = self.store.ranges().await;
        self.health.record(StoreCall::ReadRanges, &read);
        if self.controller_writer() != Some(writer) {
            return;
        }
        let Ok(Snapshot { as_of, value: found }) = read else {
            return self.record_write_failed();
        };
        match classify_write(found.as_ref(), as_of.era, writer, self.map_revision.get()) {
            WriteOutcome::Written { revision, edit } => {
                if let Some(found) = found {
                    self.record_map_written(revision, found.value, edit);
                }
            }
            WriteOutcome::Superseded => {
                log_event(EventName::CoordinatorSuperseded, &[("reason", error)]);
                self.controller.replace(None);
            }
            WriteOutcome::NotWritten(expected) => {
                self.map_revision.set(expected);
                self.record_write_failed();
            }
        }
    }

    /// Lets the controller write again.
    fn record_write_failed(&self) {
        if let Some(controller) = self.controller.borrow_mut().as_mut() {
            controller.abort_write();
        }
    }

    /// The number that distinguishes the controller's writes from others; `None` without a
    /// controller.
    pub(super) fn controller_writer(&self) -> Option<u64> {
        self.controller.borrow().as_ref().map(|controller| controller.map().writer)
    }
}
