//! Which peer's answer is awaited.

use std::time::Duration;

use crate::{id, time};

/// Time after which another peer may be asked as well. A sound peer answers within 0.1 s while
/// sixteen ask it over a link of 10 Mbit/s; a dead one is given up after a second, and news that
/// an upstream leaves, which may take two seconds in all, cannot wait for that.
const PATIENCE: Duration = Duration::from_millis(400);

/// The peer that was asked last, until it answers or is given up.
#[derive(Clone, Debug, Default)]
pub struct Asked(Option<(id::Vm, time::Moment)>);

impl Asked {
    /// Whether a question may be put now: none is under way, or it has been for long.
    #[must_use]
    pub fn may_ask(&self, now: time::Moment) -> bool {
        let asked = self.0.as_ref();
        asked.is_none_or(|(_, at)| now.since(*at) >= PATIENCE)
    }

    /// Whether the answer of `vm` is awaited.
    #[must_use]
    pub fn is_awaited(&self, vm: &id::Vm) -> bool {
        self.0.as_ref().is_some_and(|(one, _)| one == vm)
    }

    /// Notes that `vm` is asked.
    pub fn put(&mut self, vm: id::Vm, now: time::Moment) {
        self.0 = Some((vm, now));
    }

    /// Notes that the question to `vm` has ended. One that was overtaken changes nothing.
    pub fn end(&mut self, vm: &id::Vm) {
        if self.is_awaited(vm) {
            self.0 = None;
        }
    }
}
