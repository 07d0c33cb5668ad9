//! Write requests that fit into one transaction.

use std::collections;

use cloverpost_platform::table;

use crate::claim::group::WriteRequest;
use crate::claim::scoped_key;

/// Maximum size of the values in one transaction, in bytes. The rest of the table's
/// limit is reserved for keys and the manifest.
const MAX_BYTES: usize = table::MAX_TRANSACTION_BYTES / 2;

/// Maximum number of requests; one write is reserved for the manifest.
const MAX_REQUESTS: usize = table::MAX_WRITES - 1;

/// Write requests that fit into one transaction.
#[derive(Debug)]
pub struct Batch {
    requests: Vec<WriteRequest>,
    scoped_keys: collections::HashSet<scoped_key::ScopedKey>,
    bytes: usize,
    limit: usize,
}

impl Batch {
    /// Creates a batch of `first` that accepts at most `limit - 1` others.
    pub fn new(first: WriteRequest, limit: usize) -> Self {
        Self {
            scoped_keys: [first.scoped_key.clone()].into(),
            bytes: size(&first),
            requests: vec![first],
            limit: limit.clamp(1, MAX_REQUESTS),
        }
    }

    /// Whether another request may fit.
    pub fn has_room(&self) -> bool {
        self.requests.len() < self.limit && self.bytes < MAX_BYTES
    }

    /// Whether `request` fits. A transaction can write each row only once.
    pub fn fits(&self, request: &WriteRequest) -> bool {
        let small = self.bytes + size(request) <= MAX_BYTES;
        self.has_room() && small && !self.scoped_keys.contains(&request.scoped_key)
    }

    /// Adds a request that fits.
    pub fn push(&mut self, request: WriteRequest) {
        self.scoped_keys.insert(request.scoped_key.clone());
        self.bytes += size(&request);
        self.requests.push(request);
    }

    /// Returns the requests.
    pub fn into_requests(self) -> Vec<WriteRequest> {
        self.requests
    }
}

fn size(request: &WriteRequest) -> usize {
    request.value.as_ref().map_or(0, bytes::Bytes::len)
}
