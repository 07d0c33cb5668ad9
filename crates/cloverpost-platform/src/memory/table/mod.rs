//! In-memory table.

mod rows;

use std::sync::{Arc, Mutex};

use crate::fault;
use crate::memory::{Faults, connection, lock};
use crate::table::{self, Key, Outcome, Row, Write};

/// An in-memory table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Arc<Mutex<rows::Rows>>,
    connection: connection::Connection,
}

impl Table {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the view of the client `name`.
    #[must_use]
    pub fn client(&self, name: &str) -> Self {
        Self {
            connection: self.connection.client(name),
            ..self.clone()
        }
    }

    /// Returns the faults of this view.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        self.connection.faults()
    }
}

impl table::Table for Table {
    async fn read(&self, key: &Key) -> Result<Option<Row>, fault::Fault> {
        self.connection
            .read(|| lock::lock(&self.rows).read(key))
            .await
    }

    async fn list(
        &self,
        partition: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<(Key, Row)>, fault::Fault> {
        self.connection
            .read(|| lock::lock(&self.rows).list(partition, after, limit))
            .await
    }

    async fn write(&self, writes: Vec<Write>) -> Result<Outcome, fault::Fault> {
        table::validate(&writes)?;
        let rows = Arc::clone(&self.rows);
        self.connection
            .write(move || lock::lock(&rows).write(writes))
            .await
    }
}
