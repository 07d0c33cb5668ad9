//! Catalogue revisions, stored in the table.
//!
//! Revisions are immutable rows that are never deleted. Row N+1 is inserted on
//! condition that it is absent, by a writer that has read row N. Therefore the
//! numbers have no gaps, exactly one of several concurrent editors succeeds, and
//! an absent row N+1 proves that N is the newest, so that polling transfers no
//! catalogue while nothing changes. A writer that lost a response reads the row
//! back and compares the edit id to determine whether its write succeeded.
//!
//! Sort keys count down, so that the newest row is the first of the partition and
//! is found with one read.

mod body;
mod key;
mod read;
mod record;
pub mod write;

pub use body::Body;
pub use read::Error;
pub use record::Record;

/// Stores catalogue revisions in a table and an object store.
#[derive(Clone, Debug)]
pub struct Store<T, O> {
    table: T,
    objects: O,
}

impl<T, O> Store<T, O> {
    /// A store in `table`, with large texts in `objects`.
    #[must_use]
    pub const fn new(table: T, objects: O) -> Self {
        Self { table, objects }
    }
}
