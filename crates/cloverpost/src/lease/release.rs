//! Releases a lease.

use cloverpost_core::lease;
use cloverpost_platform::table;

use crate::lease::{Error, Lease};

/// Settings of [`Lease::release`].
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

impl<T: table::Table> Lease<T> {
    /// Releases the lease and consumes the handle. This process stops acting as the holder
    /// at the first poll. If the row cannot be written, the lease expires instead.
    pub async fn release(self, options: Options) -> Result<(), Error> {
        self.state().stop();
        for remaining in (0..options.max_attempts).rev() {
            match self.try_release().await {
                Ok(true) => return Ok(()),
                Err(Error::Unreadable) => return Err(Error::Unreadable),
                Ok(false) | Err(Error::Unavailable) if remaining > 0 => {
                    tokio::time::sleep(self.options.retry_delay).await;
                }
                Ok(false) | Err(Error::Unavailable) => {}
            }
        }
        Err(Error::Unavailable)
    }

    /// Reads the row and performs at most one write. Returns whether the row is known to be
    /// released.
    async fn try_release(&self) -> Result<bool, Error> {
        let seen = self.store.read().await?;
        let step = self.state().release(seen.as_ref(), self.clock.now());
        match step {
            lease::release::Step::Released => Ok(true),
            lease::release::Step::Write(write) => Ok(self.store.write(&write).await),
        }
    }
}
