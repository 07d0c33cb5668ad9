//! A table that counts its operations.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cloverpost_platform::table::{Key, Outcome, Row, Table, Write};
use cloverpost_platform::{fault, memory};

use crate::slopes::{Meter, Quantity, Unit, meter};

/// An in-memory table that counts its operations. Clones share the data and the counts.
#[derive(Clone, Debug, Default)]
pub struct CountingTable {
    table: memory::Table,
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    reads: AtomicU64,
    writes: AtomicU64,
    rows: AtomicU64,
    bytes: AtomicU64,
}

impl CountingTable {
    /// Creates a table whose operations take `delay`.
    pub fn with_delay(delay: Duration) -> Self {
        let counting_table = Self::default();
        counting_table.table.faults().set_delay(delay);
        counting_table
    }

    /// Returns the same table with its own counts, starting at zero.
    pub fn with_new_counts(&self) -> Self {
        Self {
            table: self.table.clone(),
            counts: Arc::default(),
        }
    }

    /// Records all counts as the cost of `size` units.
    pub fn record(
        &self,
        meter: &mut Meter,
        unit: Unit,
        what: &'static str,
        by: &'static str,
        size: usize,
    ) {
        let counts = [
            (Quantity::Reads, &self.counts.reads),
            (Quantity::Writes, &self.counts.writes),
            (Quantity::Rows, &self.counts.rows),
            (Quantity::Stored, &self.counts.bytes),
        ];
        for (quantity, count) in counts {
            let cost = meter::amount_to_f64(count.load(Ordering::Relaxed));
            meter.record(unit, what, by, quantity, size, cost);
        }
    }
}

impl Table for CountingTable {
    async fn read(&self, key: &Key) -> Result<Option<Row>, fault::Fault> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        self.table.read(key).await
    }

    async fn list(
        &self,
        partition: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<(Key, Row)>, fault::Fault> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        self.table.list(partition, after, limit).await
    }

    async fn write(&self, writes: Vec<Write>) -> Result<Outcome, fault::Fault> {
        let size = |write: &Write| {
            let value = write.value.as_ref().map_or(0, bytes::Bytes::len);
            write.key.partition.len() + write.key.sort.len() + value
        };
        let bytes: usize = writes.iter().map(size).sum();
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        self.counts
            .rows
            .fetch_add(writes.len() as u64, Ordering::Relaxed);
        self.counts.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.table.write(writes).await
    }
}
