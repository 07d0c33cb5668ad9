//! The audit trail of changes.
//!
//! Catalogue edits are recorded in [`crate::revisions`]. Every other change made by an
//! operator or a VM, such as lifting a quarantine, is one row here. Sort keys descend
//! with time, so that the newest entry is read first.

mod entry;

pub use entry::Entry;

use cloverpost_core::id;
use cloverpost_platform::{fault, table};

/// Partition key of all entries.
const PARTITION: &str = "audit";

/// Maximum attempts per write.
const MAX_WRITE_ATTEMPTS: usize = 3;

/// The audit trail, stored in a table.
#[derive(Clone, Debug)]
pub struct Store<T> {
    table: T,
}

impl<T: table::Table> Store<T> {
    /// Creates a store on `table`.
    #[must_use]
    pub const fn new(table: T) -> Self {
        Self { table }
    }

    /// Adds `entry` under `id`, retrying failed writes.
    ///
    /// The insert is idempotent: the row is written only if absent, so a retry after a
    /// lost response does not add a second row.
    pub async fn add(&self, id: id::Edit, entry: &Entry) -> Result<(), fault::Fault> {
        let value = serde_json::to_vec(entry)
            .map_err(|error| fault::Fault::without_effect(error.to_string()))?;
        let inverted_millis = u64::MAX - entry.stamp.as_millis();
        let key = table::Key::new(PARTITION, format!("{inverted_millis:020}-{id}"));
        let mut last = fault::Fault::without_effect("no attempt");
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let write = table::Write::put(key.clone(), table::Condition::Absent, value.clone());
            match self.table.write(vec![write]).await {
                Ok(table::Outcome::Written | table::Outcome::Conflict) => return Ok(()),
                Err(fault) => last = fault,
            }
        }
        Err(last)
    }

    /// Reads up to `limit` entries, newest first.
    pub async fn newest(&self, limit: usize) -> Result<Vec<Entry>, fault::Fault> {
        let rows = self.table.list(PARTITION, "", limit).await?;
        let entries = rows.iter().map(|(_, row)| {
            serde_json::from_slice(&row.value)
                .map_err(|error| fault::Fault::without_effect(error.to_string()))
        });
        entries.collect()
    }
}
