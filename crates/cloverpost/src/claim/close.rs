//! Settles open claims at a graceful shutdown.

use cloverpost_platform::{objects, table};
use tokio::time;

use crate::claim::{Claims, Liveness};

/// Result of closing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Number of claims that were not settled in time. Their rows stay in the running
    /// state until this process is known to be dead.
    pub unsettled: usize,
}

impl<T, O, L> Claims<T, O, L>
where
    T: table::Table,
    O: objects::Objects,
    L: Liveness,
{
    /// Stops granting claims and waits until all are settled, for at most
    /// `Options::close_timeout`. Tickets that still exist count as unsettled.
    pub async fn close(self) -> Outcome {
        let max_open = self.0.options.max_open;
        let all = u32::try_from(max_open).unwrap_or(u32::MAX);
        // The pending acquisition takes each returned permit, so no claim is granted.
        let settled = self.0.open_permits.acquire_many(all);
        let settled = time::timeout(self.0.options.close_timeout, settled).await;
        let unsettled = match settled {
            Ok(_) => 0,
            Err(_) => max_open - self.0.open_permits.available_permits(),
        };
        self.0.open_permits.close();
        Outcome { unsettled }
    }
}
