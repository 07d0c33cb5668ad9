//! The transactional table service.
//!
//! A row is identified by a partition key and a sort key and has a version that increases with each
//! write. A transaction applies all of its writes or none, each under a [`Condition`].
//!
//! Versions increase strictly while a row exists, also on unconditional writes. Deleting a row
//! resets its version, so a row whose version is used for concurrency control must be overwritten
//! instead.

mod condition;
mod key;
mod limits;
mod outcome;
mod row;
mod write;

pub use condition::Condition;
pub use key::Key;
pub use limits::{MAX_ROW_BYTES, MAX_TRANSACTION_BYTES, MAX_WRITES, validate};
pub use outcome::Outcome;
pub use row::Row;
pub use write::Write;

use std::future::Future;

use crate::fault;

/// A transactional table.
pub trait Table: Clone + Send + Sync + 'static {
    /// Reads one row with strong consistency.
    fn read(&self, key: &Key) -> impl Future<Output = Result<Option<Row>, fault::Fault>> + Send;

    /// Reads up to `limit` rows of `partition` with a sort key greater than `after`, in ascending
    /// order and with strong consistency. An empty `after` starts at the first row.
    fn list(
        &self,
        partition: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<(Key, Row)>, fault::Fault>> + Send;

    /// Applies all `writes`, or none if a condition fails.
    fn write(
        &self,
        writes: Vec<Write>,
    ) -> impl Future<Output = Result<Outcome, fault::Fault>> + Send;
}
