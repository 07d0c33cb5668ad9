//! Injected faults of a service or of one client's connection to it.

mod calls;
mod delivery;
mod loss;

pub use calls::Calls;
pub use delivery::Delivery;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::memory::lock;

/// A shared handle to the faults of a service or a client.
#[derive(Clone, Debug, Default)]
pub struct Faults(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    down: bool,
    delay: Duration,
    lost_requests: u64,
    delayed_requests: u64,
    request_delay: Duration,
    lost_responses: u64,
    loss: Option<loss::Loss>,
    calls: Calls,
}

impl Faults {
    /// While `down` is set, fails every call without effect.
    pub fn set_down(&self, down: bool) {
        lock::lock(&self.0).down = down;
    }

    /// Delays every call by `delay`, half of it before the call takes effect and half after, so
    /// that a caller's timeout may expire in either half.
    pub fn set_delay(&self, delay: Duration) {
        lock::lock(&self.0).delay = delay;
    }

    /// Loses the responses of the next `count` writes, which take effect.
    pub fn lose_responses(&self, count: u64) {
        lock::lock(&self.0).lost_responses = count;
    }

    /// Loses the next `count` writes, which fail with unknown effect and are not applied.
    pub fn lose_requests(&self, count: u64) {
        lock::lock(&self.0).lost_requests = count;
    }

    /// Fails the next `count` writes with unknown effect and applies them after `delay`, so that a
    /// read-back before then does not see them.
    pub fn delay_requests(&self, count: u64, delay: Duration) {
        let mut state = lock::lock(&self.0);
        state.delayed_requests = count;
        state.request_delay = delay;
    }

    /// Loses a random `share` of all calls, from 0 to 1, determined by `seed`.
    pub fn set_loss(&self, seed: u64, share: f64) {
        lock::lock(&self.0).loss = Some(loss::Loss::new(seed, share));
    }

    /// Clears all faults and keeps the call counters.
    pub fn clear(&self) {
        let mut state = lock::lock(&self.0);
        let calls = state.calls;
        *state = State {
            calls,
            ..State::default()
        };
    }

    /// Returns the call counters.
    #[must_use]
    pub fn calls(&self) -> Calls {
        lock::lock(&self.0).calls
    }

    pub(super) fn delay(&self) -> Duration {
        lock::lock(&self.0).delay
    }

    /// Counts a read and returns whether it succeeds.
    pub(super) fn read(&self) -> bool {
        let mut state = lock::lock(&self.0);
        state.calls.reads += 1;
        let lost = state.loss.as_mut().is_some_and(loss::Loss::read);
        !state.down && !lost
    }

    /// Counts a write and returns its delivery.
    pub(super) fn write(&self) -> Delivery {
        let mut state = lock::lock(&self.0);
        state.calls.writes += 1;
        if state.down {
            return Delivery::Rejected;
        }
        if decrement(&mut state.lost_requests) {
            return Delivery::RequestLost;
        }
        if decrement(&mut state.delayed_requests) {
            return Delivery::RequestDelayed(state.request_delay);
        }
        if decrement(&mut state.lost_responses) {
            return Delivery::ResponseLost;
        }
        state
            .loss
            .as_mut()
            .map_or(Delivery::Delivered, loss::Loss::write)
    }
}

/// Decrements `count` and returns whether it was nonzero.
fn decrement(count: &mut u64) -> bool {
    let nonzero = *count > 0;
    *count = count.saturating_sub(1);
    nonzero
}
