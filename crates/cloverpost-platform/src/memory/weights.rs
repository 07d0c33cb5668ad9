//! In-memory weight store.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cloverpost_core::id;
use tokio::time;

use crate::fault;
use crate::memory::{Faults, connection, lock};
use crate::weights::{self, Grant};

/// An in-memory weight store that grants at most one load per interval.
#[derive(Clone, Debug, Default)]
pub struct Weights {
    limiter: Arc<Mutex<RateLimiter>>,
    connection: connection::Connection,
}

#[derive(Debug, Default)]
struct RateLimiter {
    interval: Duration,
    last: Option<time::Instant>,
}

impl Weights {
    /// Creates a store that grants one load per `interval`, or all loads if it is zero.
    #[must_use]
    pub fn new(interval: Duration) -> Self {
        let weights = Self::default();
        weights.set_interval(interval);
        weights
    }

    /// Sets the minimum interval between loads.
    pub fn set_interval(&self, interval: Duration) {
        lock::lock(&self.limiter).interval = interval;
    }

    /// Returns the view of the client `name`.
    #[must_use]
    pub fn client(&self, name: &str) -> Self {
        Self {
            connection: self.connection.client(name),
            ..self.clone()
        }
    }

    /// Returns the faults of this view.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        self.connection.faults()
    }
}

impl weights::Weights for Weights {
    async fn reserve(&self, _: &id::Model, _: &id::Version) -> Result<Grant, fault::Fault> {
        let limiter = Arc::clone(&self.limiter);
        self.connection
            .write(move || lock::lock(&limiter).reserve(time::Instant::now()))
            .await
    }
}

impl RateLimiter {
    fn reserve(&mut self, now: time::Instant) -> Grant {
        let due = self.last.map_or(now, |last| last + self.interval);
        if due > now {
            return Grant::Wait(due - now);
        }
        self.last = Some(now);
        Grant::Granted
    }
}
