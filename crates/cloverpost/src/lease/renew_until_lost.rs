//! Keeps a lease by renewing it periodically.

use cloverpost_platform::table;

use crate::lease::{Error, Lease, renew};

impl<T: table::Table> Lease<T> {
    /// Renews the lease periodically and returns once it is lost.
    ///
    /// The lease expires while the table is unavailable, and [`Lease::fence_for`] then
    /// returns `None`. A later renewal resumes it unless another process acquired it in
    /// the meantime.
    pub async fn renew_until_lost(&self) -> Result<(), Error> {
        loop {
            tokio::time::sleep(self.options.renew_interval).await;
            match self.renew(renew::Options::default()).await {
                Ok(renew::Outcome::Renewed) | Err(Error::Unavailable) => {}
                Ok(renew::Outcome::Lost) => return Ok(()),
                Err(Error::Unreadable) => return Err(Error::Unreadable),
            }
        }
    }
}
