//! Queueing of requests while upstreams are at their concurrency limits.
//!
//! Each pool has a [`Queue`]. A request that finds every upstream of its
//! pool at its limit waits there; a released [`crate::upstream::Slot`] goes to the
//! waiting request of the highest value. While the queue is not empty, new requests
//! are queued too. The fast path reads an atomic length and does not lock the queue.
//!
//! Requests report response times and overload to the control thread as
//! [`Observation`]s over a bounded channel that drops what does not fit. The control
//! thread derives the concurrency limits of the upstreams from them.

mod observation;
mod queue;
mod waiter;

pub use observation::{Event, Observation};
pub use queue::Queue;
pub use waiter::Waiter;

use std::sync::{Arc, Mutex};

use cloverpost_core::id;
use tokio::sync::mpsc;

use crate::clock;

/// Capacity of the channel to the control thread.
const OBSERVATION_CAPACITY: usize = 4_096;

/// Creates the queues of a VM and owns their observation channel; clones share it.
#[derive(Clone, Debug)]
pub struct Overload {
    clock: clock::Clock,
    sender: mpsc::Sender<Observation>,
    receiver: Arc<Mutex<Option<mpsc::Receiver<Observation>>>>,
}

impl Overload {
    /// Creates the observation channel.
    #[must_use]
    pub fn new(clock: clock::Clock) -> Self {
        let (sender, receiver) = mpsc::channel(OBSERVATION_CAPACITY);
        Self {
            clock,
            sender,
            receiver: Arc::new(Mutex::new(Some(receiver))),
        }
    }

    /// Creates the queue of `pool`.
    #[must_use]
    pub fn create_queue(&self, pool: id::Pool) -> Queue {
        Queue::new(pool, self.clock, self.sender.clone())
    }

    /// Receiver of the observations, for the control thread; `None` after the first call.
    #[must_use]
    pub fn take_observations(&self) -> Option<mpsc::Receiver<Observation>> {
        self.receiver.lock().ok()?.take()
    }
}
