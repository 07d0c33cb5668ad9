//! Transaction limits of the `DynamoDB` interface.

use std::collections;

use crate::fault;
use crate::table::Write;

/// Maximum number of writes in a transaction.
pub const MAX_WRITES: usize = 100;

/// Maximum size of a row in bytes, including its key.
pub const MAX_ROW_BYTES: usize = 400 * 1024;

/// Maximum total size of the rows of a transaction, in bytes.
pub const MAX_TRANSACTION_BYTES: usize = 4 * 1024 * 1024;

/// Validates a transaction against the limits.
pub fn validate(writes: &[Write]) -> Result<(), fault::Fault> {
    if writes.is_empty() || writes.len() > MAX_WRITES {
        return invalid(format!("{} writes, want 1 to {MAX_WRITES}", writes.len()));
    }
    let mut keys = collections::HashSet::new();
    let mut total = 0;
    for write in writes {
        let key = &write.key;
        if key.partition.is_empty() || key.sort.is_empty() {
            return invalid(format!("key {key} has an empty part"));
        }
        if !keys.insert(key) {
            return invalid(format!("two writes of {key}"));
        }
        let size = size(write);
        if size > MAX_ROW_BYTES {
            return invalid(format!("{size} bytes in {key}, at most {MAX_ROW_BYTES}"));
        }
        total += size;
    }
    if total > MAX_TRANSACTION_BYTES {
        return invalid(format!("{total} bytes, at most {MAX_TRANSACTION_BYTES}"));
    }
    Ok(())
}

fn size(write: &Write) -> usize {
    let value = write.value.as_ref().map_or(0, bytes::Bytes::len);
    write.key.partition.len() + write.key.sort.len() + value
}

fn invalid(reason: String) -> Result<(), fault::Fault> {
    Err(fault::Fault::without_effect(reason))
}
