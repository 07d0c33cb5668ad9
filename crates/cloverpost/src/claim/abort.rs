//! Stops claims immediately, as if the process had died.

use cloverpost_platform::{objects, table};

use crate::claim::{Claims, Liveness};

impl<T, O, L> Claims<T, O, L>
where
    T: table::Table,
    O: objects::Objects,
    L: Liveness,
{
    /// Stops all writes immediately. Rows of open claims stay in the running state until
    /// this process is known to be dead.
    pub fn abort(self) {
        self.0.open_permits.close();
        for task in &self.0.tasks {
            task.abort();
        }
    }
}
