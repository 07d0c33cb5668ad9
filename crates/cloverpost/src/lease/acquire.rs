//! Acquires a lease.

use std::time::Duration;

use cloverpost_core::lease;
use cloverpost_platform::table;

use crate::lease::{Error, Lease};

/// Settings of [`Lease::acquire`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Maximum time to keep trying.
    pub timeout: Duration,
}

/// Result of an attempt to acquire a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The lease is held.
    Held,
    /// Another process holds the lease.
    Busy,
}

impl<T: table::Table> Lease<T> {
    /// Tries to acquire the lease for at most [`Options::timeout`].
    ///
    /// Observations of another holder are kept for the next call.
    pub async fn acquire(&self, options: Options) -> Result<Outcome, Error> {
        let deadline = self.clock.now() + options.timeout;
        loop {
            let result = self.try_acquire().await;
            let wait = match result {
                Ok(None) => return Ok(Outcome::Held),
                Ok(Some(wait)) => wait.min(self.options.poll_interval),
                Err(Error::Unavailable) => self.options.retry_delay,
                Err(Error::Unreadable) => return Err(Error::Unreadable),
            };
            if self.clock.now() + wait > deadline {
                return result.map(|_| Outcome::Busy);
            }
            tokio::time::sleep(wait).await;
        }
    }

    /// Reads the row and performs at most one write. Returns the delay before the next
    /// attempt, or `None` if the lease is held.
    async fn try_acquire(&self) -> Result<Option<Duration>, Error> {
        let seen = self.store.read().await?;
        let step = self.state().acquire(seen.as_ref(), self.clock.now());
        let write = match step {
            lease::acquire::Step::Held => return Ok(None),
            lease::acquire::Step::Wait(wait) => return Ok(Some(wait)),
            lease::acquire::Step::Write(write) => write,
        };
        if !self.store.write(&write).await {
            return Ok(Some(self.options.retry_delay));
        }
        self.state().acquired_by(&write.row, self.clock.now());
        Ok(None)
    }
}
