//! Reads and writes the row of a lease.

use std::fmt;
use std::time::Duration;

use cloverpost_core::lease;
use cloverpost_platform::table;

/// The error returned when an operation on a lease failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The table failed or did not respond in time.
    Unavailable,
    /// The row could not be decoded, for example because a newer version wrote it.
    Unreadable,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unavailable => "lease table failed or did not respond in time",
            Self::Unreadable => "cannot decode lease row",
        })
    }
}

impl std::error::Error for Error {}

/// Reads and writes the row of one lease.
#[derive(Clone, Debug)]
pub struct Store<T> {
    table: T,
    key: table::Key,
    call_timeout: Duration,
}

impl<T: table::Table> Store<T> {
    pub const fn new(table: T, key: table::Key, call_timeout: Duration) -> Self {
        Self {
            table,
            key,
            call_timeout,
        }
    }

    pub async fn read(&self) -> Result<Option<lease::VersionedRow>, Error> {
        let read = tokio::time::timeout(self.call_timeout, self.table.read(&self.key));
        let result = read.await.map_err(|_elapsed| Error::Unavailable)?;
        let row = result.map_err(|_fault| Error::Unavailable)?;
        row.as_ref().map(decode).transpose()
    }

    /// Performs `write` and returns whether it is known to have taken effect. If not, it may
    /// have done so nevertheless; read the row to find out.
    pub async fn write(&self, write: &lease::Write) -> bool {
        let condition = write
            .expected_version
            .map_or(table::Condition::Absent, table::Condition::Version);
        let put = table::Write::put(self.key.clone(), condition, write.row.encode());
        let call = tokio::time::timeout(self.call_timeout, self.table.write(vec![put]));
        matches!(call.await, Ok(Ok(table::Outcome::Written)))
    }
}

fn decode(row: &table::Row) -> Result<lease::VersionedRow, Error> {
    let decoded = lease::Row::decode(&row.value).map_err(|_| Error::Unreadable)?;
    Ok(lease::VersionedRow {
        version: row.version,
        row: decoded,
    })
}
