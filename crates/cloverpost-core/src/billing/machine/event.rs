//! Events of the billing machine.

use crate::billing::ledger::Response;
use crate::billing::machine::{Action, Machine};
use crate::billing::{Message, Source};
use crate::id;
use crate::time;

impl Machine {
    /// Handles that `vm` in `zone` has joined.
    pub fn joined(&mut self, vm: id::Vm, zone: id::AvailabilityZone) {
        self.holder.joined(&vm);
        self.copies.joined(vm, zone);
    }

    /// Handles that `vm` is about to leave. It bills the copies that it holds and is
    /// sent no more.
    pub fn leaving(&mut self, vm: &id::Vm) {
        self.copies.left(vm);
    }

    /// Handles that `vm` has died or left.
    pub fn died(&mut self, vm: &id::Vm) {
        self.copies.left(vm);
        self.holder.died(vm);
    }

    /// Handles a message of `from` and returns the reply, if any.
    pub fn message(&mut self, from: id::Vm, message: Message, now: time::Moment) -> Option<Action> {
        match message {
            Message::Copy(copy) => {
                let message = Message::Copied(self.holder.copy(copy, now));
                return Some(Action::Send { to: from, message });
            }
            Message::Copied(copied) => self.copies.copied(&from, &copied, now),
            Message::Forget(forget) => self.holder.forget(&forget),
        }
        None
    }

    /// Handles the store's answer to the call for `source`.
    pub fn answer(&mut self, source: Option<&Source>, answer: Response, now: time::Moment) {
        match source {
            Some(source) => self.holder.answer(source, answer, now),
            None => self.ledger.answer(answer, &mut self.pending, now),
        }
    }
}
