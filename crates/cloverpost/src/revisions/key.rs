//! Table keys of revisions.

use cloverpost_core::id;
use cloverpost_platform::table;

/// Partition key of all revisions.
pub const PARTITION: &str = "revisions";

/// Key of the row of `revision`; newer revisions sort first.
pub fn of(revision: id::Revision) -> table::Key {
    let from_end = u64::MAX - revision.get();
    table::Key::new(PARTITION, format!("{from_end:020}"))
}
