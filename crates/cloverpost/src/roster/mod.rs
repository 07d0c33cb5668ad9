//! Rosters, stored in the table.
//!
//! Like catalogue revisions (see [`crate::revisions`]), rosters are immutable rows,
//! one per epoch, with sort keys that count down. If several VMs write the same
//! epoch, one succeeds; the others read the new roster and try again.

use cloverpost_core::{id, spread};
use cloverpost_platform::{fault, table};

/// Partition key of all rosters.
const PARTITION: &str = "roster";

/// Stores rosters in a table.
#[derive(Clone, Debug)]
pub struct Store<T> {
    table: T,
}

impl<T: table::Table> Store<T> {
    /// A store in `table`.
    #[must_use]
    pub const fn new(table: T) -> Self {
        Self { table }
    }

    /// The newest roster if it is newer than `after`.
    pub async fn newest(&self, after: id::Epoch) -> Result<Option<spread::Roster>, fault::Fault> {
        if after > id::Epoch::default() && self.table.read(&key(after.next())).await?.is_none() {
            return Ok(None);
        }
        let rows = self.table.list(PARTITION, "", 1).await?;
        let newest = rows.first().map(|(_, row)| decode(row)).transpose()?;
        Ok(newest.filter(|roster| roster.epoch > after))
    }

    /// Writes `roster` unless a row for its epoch exists.
    ///
    /// Does not report whether the write succeeded: the next read returns the
    /// roster that was written for the epoch.
    pub async fn write(&self, roster: &spread::Roster) -> Result<(), fault::Fault> {
        let value = serde_json::to_vec(roster)
            .map_err(|error| fault::Fault::without_effect(error.to_string()))?;
        let write = table::Write::put(key(roster.epoch), table::Condition::Absent, value);
        self.table.write(vec![write]).await.map(drop)
    }
}

fn key(epoch: id::Epoch) -> table::Key {
    let from_end = u64::MAX - epoch.get();
    table::Key::new(PARTITION, format!("{from_end:020}"))
}

fn decode(row: &table::Row) -> Result<spread::Roster, fault::Fault> {
    serde_json::from_slice(&row.value)
        .map_err(|error| fault::Fault::without_effect(error.to_string()))
}
