//! Tracking of the pending request to a peer.

use std::time::Duration;

use crate::{id, time};

/// Time after which another peer may be asked as well. A healthy peer answers within 0.1 s while
/// sixteen VMs ask it over a link of 10 Mbit/s, while a failed one is detected only after a second,
/// which is too late for changes that must arrive within two.
const HEDGE_DELAY: Duration = Duration::from_millis(400);

/// The peer that was asked last, until it answers or fails.
#[derive(Clone, Debug, Default)]
pub struct PendingRequest(Option<(id::Vm, time::Moment)>);

impl PendingRequest {
    /// Whether a request may be sent: none is pending, or the pending one is overdue.
    #[must_use]
    pub fn may_send(&self, now: time::Moment) -> bool {
        let pending = self.0.as_ref();
        pending.is_none_or(|(_, at)| now.since(*at) >= HEDGE_DELAY)
    }

    /// Whether a response of `vm` is pending.
    #[must_use]
    pub fn is_pending(&self, vm: &id::Vm) -> bool {
        self.0.as_ref().is_some_and(|(one, _)| one == vm)
    }

    /// Records a request to `vm`.
    pub fn start(&mut self, vm: id::Vm, now: time::Moment) {
        self.0 = Some((vm, now));
    }

    /// Records that the request to `vm` has ended. Has no effect if another peer was asked since.
    pub fn finish(&mut self, vm: &id::Vm) {
        if self.is_pending(vm) {
            self.0 = None;
        }
    }
}
