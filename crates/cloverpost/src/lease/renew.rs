//! Renews a lease.

use cloverpost_core::lease;
use cloverpost_platform::table;

use crate::lease::{Error, Lease};

/// Settings of [`Lease::renew`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Maximum number of attempts.
    pub max_attempts: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { max_attempts: 3 }
    }
}

/// Result of a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The lease was extended to its full duration.
    Renewed,
    /// Another process holds the lease, or it was released.
    Lost,
}

impl<T: table::Table> Lease<T> {
    /// Renews the lease. After an error it is still held until it expires.
    pub async fn renew(&self, options: Options) -> Result<Outcome, Error> {
        let mut remaining = options.max_attempts;
        loop {
            match self.try_renew().await {
                Ok(Some(outcome)) => return Ok(outcome),
                Err(Error::Unreadable) => return Err(Error::Unreadable),
                Ok(None) | Err(Error::Unavailable) => remaining = remaining.saturating_sub(1),
            }
            if remaining == 0 {
                return Err(Error::Unavailable);
            }
            tokio::time::sleep(self.options.retry_delay).await;
        }
    }

    /// Reads the row and performs at most one write. Returns `None` if the effect of the write
    /// is unknown.
    async fn try_renew(&self) -> Result<Option<Outcome>, Error> {
        let seen = self.store.read().await?;
        let step = self.state().renew(seen.as_ref(), self.clock.now());
        let lease::renew::Step::Write(write) = step else {
            return Ok(Some(Outcome::Lost));
        };
        if !self.store.write(&write).await {
            return Ok(None);
        }
        self.state().renewed_by(&write.row, self.clock.now());
        Ok(Some(Outcome::Renewed))
    }
}
