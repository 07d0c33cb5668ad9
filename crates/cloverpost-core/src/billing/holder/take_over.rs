//! Takeover of the billing of dead VMs.

use crate::billing::ledger::{Response, Step};
use crate::billing::{Holder, Ledger, Source};
use crate::id;
use crate::time;

impl Holder {
    /// Handles the death of `vm`: starts to bill its copies.
    pub fn died(&mut self, vm: &id::Vm) {
        self.dead.insert(vm.clone());
        let held = self.entries.keys().filter(|held| held.vm == *vm);
        let held: Vec<_> = held.cloned().collect();
        for source in held {
            self.take_over(&source);
        }
    }

    /// Handles that `vm` is alive. Takeovers in progress continue, and new copies
    /// are accepted.
    pub fn joined(&mut self, vm: &id::Vm) {
        self.dead.remove(vm);
    }

    /// Returns the store calls that are due, each with its source.
    pub fn steps(&mut self, now: time::Moment) -> Vec<(Source, Step)> {
        let mut steps = Vec::new();
        for (source, entry) in &mut self.entries {
            let step = entry
                .ledger
                .as_mut()
                .and_then(|ledger| ledger.step(&entry.pending, now));
            steps.extend(step.map(|step| (source.clone(), step)));
        }
        steps
    }

    /// Handles the store's answer to the step for `source`.
    pub fn answer(&mut self, source: &Source, answer: Response, now: time::Moment) {
        if let Some(entry) = self.entries.get_mut(source)
            && let Some(ledger) = &mut entry.ledger
        {
            ledger.answer(answer, &mut entry.pending, now);
        }
        self.drop_finished();
    }

    pub(super) fn take_over(&mut self, source: &Source) {
        if let Some(entry) = self.entries.get_mut(source)
            && entry.ledger.is_none()
        {
            let read_from = entry.mark.segment;
            let owner = source.vm.clone();
            let ledger = Ledger::take_over(owner, self.vm.clone(), read_from, self.options);
            entry.ledger = Some(ledger);
        }
        self.drop_finished();
    }

    /// Drops takeovers that have no records left to bill.
    pub(super) fn drop_finished(&mut self) {
        self.entries.retain(|_, entry| {
            let ledger = entry.ledger.as_ref();
            let done = ledger.is_some_and(|ledger| !ledger.is_busy());
            !(done && entry.pending.is_empty())
        });
    }
}
