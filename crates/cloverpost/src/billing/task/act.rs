//! Performs the actions of the billing machine.

use cloverpost_core::billing::ledger::{Response, Step};
use cloverpost_core::billing::machine::Action;
use cloverpost_core::billing::{Durability, Sequence, Source};
use cloverpost_platform::table;
use tokio::time;

use crate::billing::Peers;
use crate::billing::counters::count;
use crate::billing::task::Task;

impl<T: table::Table, P: Peers> Task<T, P> {
    pub(super) fn poll(&mut self) {
        for action in self.machine.poll(self.clock.now()) {
            self.perform(action);
        }
        self.counters.update_gauges(&self.machine);
        if self.machine.is_idle() {
            // The receiver is dropped once the time limit of `flush` has passed.
            self.flushed.take().map(|done| done.send(()));
        }
    }

    pub(super) fn perform(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => {
                count(&self.counters.messages);
                self.peers.send(&to, message);
            }
            Action::Call { source, step } => self.spawn_call(source, step),
            Action::Release {
                sequence,
                durability,
            } => self.release(sequence, durability),
        }
    }

    pub(super) fn on_response(&mut self, source: Option<&Source>, response: Response) {
        match &response {
            Response::Written(_) if source.is_some() => count(&self.counters.take_over_segments),
            Response::Written(_) => count(&self.counters.segments),
            Response::Conflict => count(&self.counters.conflicts),
            Response::Failed | Response::Lost => count(&self.counters.store_failures),
            Response::Account(_) | Response::Segments(_) => {}
        }
        self.machine.answer(source, response, self.clock.now());
    }

    /// A call that times out may still take effect, so its response counts as lost.
    fn spawn_call(&mut self, source: Option<Source>, step: Step) {
        count(&self.counters.store_calls);
        let store = self.store.clone();
        let limit = self.limits.store_timeout;
        self.calls.spawn(async move {
            let response = time::timeout(limit, store.call(step)).await;
            (source, response.unwrap_or(Response::Lost))
        });
    }

    fn release(&mut self, sequence: Sequence, durability: Durability) {
        self.counters.count_released(durability, self.limits.copies);
        for caller in self.waiting_callers.remove(&sequence).unwrap_or_default() {
            // The receiver is dropped if the caller has disconnected.
            let _ = caller.send(durability);
        }
    }
}
