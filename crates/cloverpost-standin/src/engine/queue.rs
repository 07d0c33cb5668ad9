//! Request queue with a concurrency limit.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use tokio::sync::oneshot;

use crate::engine::Options;

/// Queue order: by ascending priority value, then by arrival.
type Rank = (i64, u64);

/// The queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// Limits the running requests and queues the others.
#[derive(Debug)]
pub struct Queue {
    concurrency: usize,
    capacity: usize,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    running: usize,
    waiting: BTreeMap<Rank, oneshot::Sender<()>>,
    arrivals: u64,
}

/// Permit of a running request, released when dropped.
#[derive(Debug)]
pub struct Slot {
    queue: Arc<Queue>,
}

/// A queued request. If it is dropped before it takes its slot, it leaves the queue or, if the slot
/// was already granted, releases it.
struct Waiter {
    queue: Arc<Queue>,
    rank: Rank,
    granted: bool,
}

impl Queue {
    pub fn new(options: &Options) -> Self {
        Self {
            concurrency: options.concurrency,
            capacity: options.queue_capacity,
            inner: Mutex::default(),
        }
    }

    /// Waits for a slot.
    pub async fn acquire(self: &Arc<Self>, priority: i64) -> Result<Slot, Full> {
        let Some((rank, grant)) = self.join(priority)? else {
            return Ok(self.slot());
        };
        let mut waiter = Waiter {
            queue: self.clone(),
            rank,
            granted: false,
        };
        if grant.await.is_err() {
            return Err(Full);
        }
        waiter.granted = true;
        Ok(self.slot())
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.inner.lock().expect("queue lock poisoned").running
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        let inner = self.inner.lock().expect("queue lock poisoned");
        inner.waiting.len()
    }

    fn slot(self: &Arc<Self>) -> Slot {
        Slot {
            queue: self.clone(),
        }
    }

    /// Takes a free slot and returns `None`, or joins the queue.
    fn join(&self, priority: i64) -> Result<Option<(Rank, oneshot::Receiver<()>)>, Full> {
        let mut inner = self.inner.lock().expect("queue lock poisoned");
        if inner.running < self.concurrency {
            inner.running += 1;
            return Ok(None);
        }
        if inner.waiting.len() >= self.capacity {
            return Err(Full);
        }
        let rank = (priority, inner.arrivals);
        inner.arrivals += 1;
        let (sender, grant) = oneshot::channel();
        inner.waiting.insert(rank, sender);
        Ok(Some((rank, grant)))
    }

    /// Grants a released slot to the first queued request, or frees it if the queue is empty.
    fn release(inner: &mut Inner) {
        match inner.waiting.pop_first() {
            // If the receiver is gone, its `Waiter` releases the slot when dropped.
            Some((_, grant)) => drop(grant.send(())),
            None => inner.running -= 1,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut inner = self.queue.inner.lock().expect("queue lock poisoned");
        Queue::release(&mut inner);
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.granted {
            return;
        }
        let mut inner = self.queue.inner.lock().expect("queue lock poisoned");
        if inner.waiting.remove(&self.rank).is_none() {
            Queue::release(&mut inner);
        }
    }
}
