//! A queued request.

use std::sync::Arc;

use cloverpost_core::time;
use tokio::sync::oneshot;

use crate::overload::Queue;
use crate::upstream::Slot;

/// A queued request; dropping it removes it from the queue.
///
/// Removal happens in `Drop` because the task that holds it is cancelled when the
/// caller disconnects, and a stale entry would cause other requests to be shed. A
/// slot already sent to it is dropped too, and passes to the next waiting request.
#[derive(Debug)]
pub struct Waiter {
    queue: Arc<Queue>,
    receiver: oneshot::Receiver<Slot>,
}

impl Waiter {
    pub(super) const fn new(queue: Arc<Queue>, receiver: oneshot::Receiver<Slot>) -> Self {
        Self { queue, receiver }
    }

    /// Waits for a slot; `None` if the request is shed or `deadline` passes.
    pub async fn slot(mut self, deadline: time::Moment) -> Option<Slot> {
        let remaining = deadline.since(self.queue.clock().now());
        let slot = tokio::time::timeout(remaining, &mut self.receiver).await;
        slot.ok()?.ok()
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.receiver.close();
        self.queue.remove_cancelled();
    }
}
